//! `fighall-ctl key`.

use crate::{
    access::{FleetAccess, patience},
    errors::{Error, Result},
    table::TextTable,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use fighall_config::keys::{KeyEntry, KeyState};
use fighall_core::{
    clock::{boot_time, wall_millis},
    secret::{key_digest, new_key},
};
use fighall_entry::status::HostStatus;
use fighall_peer::message::MirrorDelta;
use fighall_store::{
    client::WriteOutcome,
    object::{ObjectChange, kinds::KEYS},
};
use std::time::Duration;

/// Pause between looks at the hosts.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Length of a hexadecimal digest.
const DIGEST_LENGTH: usize = 64;
/// Attempts against racing writers.
const ATTEMPTS: usize = 5;

/// Creates the subcommand.
pub fn command() -> Command {
    let wait = || {
        Arg::new("seconds")
            .long("seconds")
            .value_parser(value_parser!(u64))
            .default_value("30")
            .help("Longest wait")
    };
    Command::new("key")
        .about("Issues, withdraws and lists keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("issue")
                .about("Issues a key; it is shown this once")
                .arg(Arg::new("organisation").required(true))
                .arg(Arg::new("note").long("note").default_value("")),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key for good and tells all hosts")
                .arg(
                    Arg::new("key")
                        .required(true)
                        .help("The key, its digest, or the start of its digest"),
                ),
        )
        .subcommand(Command::new("list").about("Lists the digests of all keys"))
        .subcommand(
            Command::new("wait")
                .about("Waits until every live host has all changes of keys in force")
                .arg(wait()),
        )
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns the store's errors, and an error for unknown keys.
pub async fn run(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("issue", matches)) => issue(access, matches).await,
        Some(("withdraw", matches)) => withdraw(access, matches).await,
        Some(("list", _)) => list(access).await,
        Some(("wait", matches)) => wait(access, matches).await,
        _ => Ok(()),
    }
}

async fn issue(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let organisation = matches.get_one::<String>("organisation").cloned();
    let note = matches.get_one::<String>("note").cloned();
    let key = new_key().map_err(|source| Error::File {
        path: "randomness".to_owned(),
        source,
    })?;
    let digest = key_digest(&key);
    let entry = KeyEntry {
        organisation: organisation.unwrap_or_default(),
        state: KeyState::Active,
        issued_at: wall_millis(),
        note: note.unwrap_or_default(),
    };
    let text = serde_json::to_string(&entry).unwrap_or_default();
    access.store.create(KEYS, &digest, &text).await?;
    if access.json {
        println!("{{\"key\":\"{key}\",\"digest\":\"{digest}\"}}");
    } else {
        println!("key    {key}\ndigest {digest}\nThe key is not kept anywhere; note it now.");
    }
    Ok(())
}

async fn withdraw(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let given = matches
        .get_one::<String>("key")
        .cloned()
        .unwrap_or_default();
    let digest = find_digest(access, &given).await?;
    let change = withdraw_digest(access, &digest).await?;
    let told = tell_hosts(access, change).await?;
    println!("withdrawn {digest}; {told} hosts have it in force");
    Ok(())
}

// Withdrawal is final, so that a racing writer can only have withdrawn the key as well.
async fn withdraw_digest(access: &FleetAccess, digest: &str) -> Result<ObjectChange> {
    for _ in 0..ATTEMPTS {
        let object = access.store.get(KEYS, digest).await?;
        let object = object.ok_or_else(|| Error::not_found("no such key"))?;
        let entry: KeyEntry = serde_json::from_str(&object.value)
            .map_err(|error| Error::not_found(format!("the key's object is damaged: {error}")))?;
        let withdrawn = KeyEntry {
            state: KeyState::Withdrawn,
            ..entry
        };
        let text = serde_json::to_string(&withdrawn).unwrap_or_default();
        let outcome = access
            .store
            .put(KEYS, digest, &text, object.version)
            .await?;
        if let WriteOutcome::Written { version } = outcome {
            return Ok(ObjectChange {
                name: digest.to_owned(),
                version,
                value: Some(text),
            });
        }
    }
    Err(Error::Conflict {
        what: "the key's object keeps changing".to_owned(),
    })
}

// Hosts learn of the withdrawal by watch; telling them also covers a store that fails right now.
async fn tell_hosts(access: &FleetAccess, change: ObjectChange) -> Result<usize> {
    let delta = MirrorDelta {
        kind: KEYS.to_owned(),
        version: change.version,
        after: change.version,
        changes: vec![change],
    };
    let body = serde_json::to_string(&delta).unwrap_or_default();
    let mut told = 0;
    for lease in access.leases().await? {
        match access.post(&lease, "/keys", body.clone()).await {
            Ok(()) => told += 1,
            Err(error) => eprintln!("{error}"),
        }
    }
    Ok(told)
}

async fn find_digest(access: &FleetAccess, given: &str) -> Result<String> {
    if given.len() == DIGEST_LENGTH && given.chars().all(|c| c.is_ascii_hexdigit()) {
        return Ok(given.to_owned());
    }
    let digest = key_digest(given);
    let list = access.store.list(KEYS).await?;
    let mut found = Vec::new();
    for object in &list.objects {
        if object.name == digest || object.name.starts_with(given) {
            found.push(object.name.clone());
        }
    }
    match found.as_slice() {
        [only] => Ok(only.clone()),
        [] => Err(Error::not_found("no such key")),
        several => Err(Error::not_found(format!(
            "{} keys start like this; give more of the digest",
            several.len()
        ))),
    }
}

async fn list(access: &FleetAccess) -> Result<()> {
    let list = access.store.list(KEYS).await?;
    let mut table = TextTable::new(&["DIGEST", "ORGANISATION", "STATE", "ISSUED (ms)", "NOTE"]);
    let mut entries = Vec::new();
    for object in &list.objects {
        let Ok(entry) = serde_json::from_str::<KeyEntry>(&object.value) else {
            continue;
        };
        table.push(&[
            object.name.chars().take(16).collect(),
            entry.organisation.clone(),
            format!("{:?}", entry.state).to_lowercase(),
            entry.issued_at.to_string(),
            entry.note.clone(),
        ]);
        entries.push((object.name.clone(), entry));
    }
    if access.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&entries).unwrap_or_default()
        );
    } else {
        print!("{table}");
    }
    Ok(())
}

async fn wait(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(30);
    let until = boot_time() + Duration::from_secs(seconds);
    let version = access.store.list(KEYS).await?.version;
    loop {
        let mut behind = Vec::new();
        for lease in access.leases().await? {
            match access.page::<HostStatus>(&lease, "/status").await {
                Ok(status) if status.keys_version >= version => {}
                // A host that is silent for longer than this serves no keyed route.
                Ok(_) | Err(_) => behind.push(lease.host),
            }
        }
        if behind.is_empty() {
            println!("all hosts have key version {version} in force");
            return Ok(());
        }
        if boot_time() >= until {
            return Err(Error::NotYet {
                what: format!(
                    "not in force on {}; a host that stays silent for {} s serves no keyed route",
                    behind.join(", "),
                    patience().as_secs()
                ),
            });
        }
        eprintln!("waiting for {}", behind.join(", "));
        compio::time::sleep(LOOK_PAUSE).await;
    }
}
