//! `fighall-ctl drain` and `undrain`.

use crate::{
    access::FleetAccess,
    errors::{Error, Result},
};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fighall_config::commands::{DrainScope, OperatorCommand};
use fighall_core::clock::{boot_time, wall_millis};
use fighall_entry::status::{HostStatus, TargetStatus};
use fighall_store::{client::WriteOutcome, object::kinds::COMMANDS};
use std::time::Duration;

/// Pause between looks at the hosts.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

fn scope_arguments(command: Command) -> Command {
    command
        .arg(
            Arg::new("scope")
                .required(true)
                .value_parser(["target", "zone", "region", "host"]),
        )
        .arg(Arg::new("name").required(true))
}

/// Creates the subcommand that drains.
pub fn drain_command() -> Command {
    scope_arguments(
        Command::new("drain").about("Gives no new work to a target, zone, region or host"),
    )
    .arg(
        Arg::new("no-wait")
            .long("no-wait")
            .action(ArgAction::SetTrue)
            .help("Returns at once"),
    )
    .arg(
        Arg::new("seconds")
            .long("seconds")
            .value_parser(value_parser!(u64))
            .default_value("300")
            .help("Longest wait until nothing is in flight"),
    )
}

/// Creates the subcommand that ends a drain.
pub fn undrain_command() -> Command {
    scope_arguments(
        Command::new("undrain").about("Ends a drain; targets come back over their slow start"),
    )
}

fn command_of(matches: &ArgMatches) -> OperatorCommand {
    let scope = match matches.get_one::<String>("scope").map(String::as_str) {
        Some("zone") => DrainScope::Zone,
        Some("region") => DrainScope::Region,
        Some("host") => DrainScope::Host,
        _ => DrainScope::Target,
    };
    OperatorCommand::Drain {
        scope,
        name: matches
            .get_one::<String>("name")
            .cloned()
            .unwrap_or_default(),
        since: wall_millis(),
    }
}

/// Drains, and follows the drain until nothing is in flight.
///
/// # Errors
///
/// Returns the store's errors, and an error when the wait ends early.
pub async fn drain(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let command = command_of(matches);
    let text = serde_json::to_string(&command).unwrap_or_default();
    let outcome = access
        .store
        .create(COMMANDS, &command.object_name(), &text)
        .await?;
    match outcome {
        WriteOutcome::Written { .. } => println!("drain is in force"),
        WriteOutcome::Conflict { .. } => println!("drain was in force already"),
    }
    if matches.get_flag("no-wait") {
        return Ok(());
    }
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(300);
    follow(access, &command, Duration::from_secs(seconds)).await
}

async fn follow(access: &FleetAccess, command: &OperatorCommand, limit: Duration) -> Result<()> {
    let started_at = boot_time();
    let mut last = None;
    loop {
        let left = in_flight(access, command).await?;
        let elapsed = boot_time().saturating_sub(started_at);
        // The drain reaches all hosts within 2 s; before that, nothing in flight means nothing.
        if left == 0 && elapsed >= Duration::from_secs(2) {
            println!("nothing in flight after {:.1} s", elapsed.as_secs_f64());
            return Ok(());
        }
        if elapsed >= limit {
            return Err(Error::NotYet {
                what: format!("{left} requests are still in flight"),
            });
        }
        if last != Some(left) {
            println!("{left} in flight after {:.1} s", elapsed.as_secs_f64());
            last = Some(left);
        }
        compio::time::sleep(LOOK_PAUSE).await;
    }
}

async fn in_flight(access: &FleetAccess, command: &OperatorCommand) -> Result<u32> {
    let mut left = 0;
    for lease in access.leases().await? {
        // A host that does not answer holds no connection that would matter here.
        let Ok(status) = access.page::<HostStatus>(&lease, "/status").await else {
            continue;
        };
        if let OperatorCommand::Drain {
            scope: DrainScope::Host,
            name,
            ..
        } = command
        {
            if *name == status.host {
                // The operator's own connection is one of them.
                left += u32::try_from(status.work.saturating_sub(1)).unwrap_or(u32::MAX);
            }
            continue;
        }
        for target in &status.targets {
            if concerns(command, target) {
                left += target.in_flight;
            }
        }
    }
    Ok(left)
}

fn concerns(command: &OperatorCommand, target: &TargetStatus) -> bool {
    let OperatorCommand::Drain { scope, name, .. } = command else {
        return false;
    };
    match scope {
        DrainScope::Target => target.target == *name,
        DrainScope::Region => target.region == *name,
        DrainScope::Zone => target.zone == *name,
        DrainScope::Host => false,
    }
}

/// Ends a drain.
///
/// # Errors
///
/// Returns the store's errors, and an error when there is no such drain.
pub async fn undrain(access: &FleetAccess, matches: &ArgMatches) -> Result<()> {
    let name = command_of(matches).object_name();
    let object = access.store.get(COMMANDS, &name).await?;
    let object = object.ok_or_else(|| Error::not_found("there is no such drain"))?;
    let outcome = access.store.delete(COMMANDS, &name, object.version).await?;
    match outcome {
        WriteOutcome::Written { .. } => {
            println!("drain is lifted");
            Ok(())
        }
        WriteOutcome::Conflict { .. } => Err(Error::Conflict {
            what: "another operator changed the drain meanwhile".to_owned(),
        }),
    }
}
