//! `fighall-local`: the whole path on one machine in one process.

use crate::{
    access::FleetAccess,
    codes,
    errors::Result,
    overview,
    table::TextTable,
    timeline::{collect, line, merge},
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fighall_config::commands::{DrainScope, OperatorCommand};
use fighall_core::{
    clock::{boot_time, wall_millis},
    event::{EventKind, TimelineEvent},
};
use fighall_entry::problem::reason_name;
use fighall_store::{
    client::{ClientOptions, StoreClient},
    object::kinds::COMMANDS,
};
use fighall_testkit::{
    behaviour::TargetBehaviour,
    caller::CallRequest,
    cluster::{ClusterPlan, LocalCluster, SERVICE_HOST, organisation},
};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Length of the tour's traffic.
const TRAFFIC_TIME: Duration = Duration::from_secs(9);
/// Events printed at the end.
const SHOWN_EVENTS: usize = 40;
/// Operators' token of the local deployment.
const LOCAL_TOKEN: &str = "local-operator";

/// Creates the command line.
pub fn command() -> Command {
    Command::new("fighall-local")
        .version(clap::crate_version!())
        .about("Runs a whole deployment on stand-ins in one process")
        .after_help(codes::HELP)
        .arg(
            Arg::new("stay")
                .long("stay")
                .action(ArgAction::SetTrue)
                .help("Stays up after the tour and prints addresses to call"),
        )
        .arg(
            Arg::new("html")
                .long("html")
                .value_name("FILE")
                .help("Writes the time line as a page"),
        )
}

#[derive(Debug, Default)]
struct OrgTally {
    answered: u64,
    refused: BTreeMap<String, u64>,
    worst: Duration,
}

type TallySheet = Rc<RefCell<BTreeMap<String, OrgTally>>>;

/// Runs the command line.
///
/// # Errors
///
/// Returns an error when the deployment cannot start.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let plan = ClusterPlan {
        behaviour: TargetBehaviour {
            service_us: 8_000,
            ..TargetBehaviour::default()
        },
        organisations: vec![
            organisation("andes", 150, 60),
            organisation("brisa", 150, 60),
            organisation("condor", 40, 20),
        ],
        ..ClusterPlan::default()
    };
    println!("starting 3 regions, 9 entry hosts, 12 targets and the store on loopback");
    let mut cluster = LocalCluster::start(plan).await?;
    let doomed = cluster.issue_key("brisa")?;
    cluster.ready().await?;
    let tally: TallySheet = Rc::new(RefCell::new(BTreeMap::new()));
    println!("andes and brisa offer 60 requests/s each; condor offers 160/s with a rate of 40/s");
    for (organisation, rate) in [("andes", 60), ("brisa", 60), ("condor", 160)] {
        let key = cluster.key(organisation);
        spawn_traffic(&cluster, organisation, &key, rate, &tally);
    }
    spawn_traffic(&cluster, "brisa (withdrawn key)", &doomed, 20, &tally);
    compio::time::sleep(TRAFFIC_TIME / 3).await;
    drain_target(&cluster, "arequipa-t0");
    println!("3 s: target arequipa-t0 is drained");
    compio::time::sleep(TRAFFIC_TIME / 3).await;
    cluster.withdraw_key(&doomed, "brisa");
    println!("6 s: one key of brisa is withdrawn");
    compio::time::sleep(TRAFFIC_TIME / 3 + Duration::from_millis(500)).await;
    summarize(&cluster, &tally, &matches).await?;
    if matches.get_flag("stay") {
        stay(&cluster).await;
    }
    Ok(())
}

fn spawn_traffic(
    cluster: &LocalCluster,
    organisation: &str,
    key: &str,
    rate: u32,
    tally: &TallySheet,
) {
    let name = organisation.split(' ').next().unwrap_or_default();
    let caller = Rc::new(cluster.caller(name));
    let key = key.to_owned();
    let label = organisation.to_owned();
    let tally = Rc::clone(tally);
    let pause = Duration::from_secs(1) / rate;
    let until = boot_time() + TRAFFIC_TIME;
    compio::runtime::spawn(async move {
        while boot_time() < until {
            let request = CallRequest::new("GET", SERVICE_HOST, "/quotes").with_key(&key);
            let caller = Rc::clone(&caller);
            let tally = Rc::clone(&tally);
            let label = label.clone();
            compio::runtime::spawn(async move {
                let answer = caller.call(&request).await;
                let mut sheet = tally.borrow_mut();
                let row = sheet.entry(label).or_default();
                match answer {
                    Ok(answer) if answer.status.is_success() => {
                        row.answered += 1;
                        row.worst = row.worst.max(answer.elapsed);
                    }
                    Ok(answer) => {
                        let reason = answer.reason().map(reason_name);
                        let reason = reason.unwrap_or_else(|| answer.status.to_string());
                        *row.refused.entry(reason).or_default() += 1;
                    }
                    Err(error) => *row.refused.entry(error.to_string()).or_default() += 1,
                }
            })
            .detach();
            compio::time::sleep(pause).await;
        }
    })
    .detach();
}

fn drain_target(cluster: &LocalCluster, target: &str) {
    let command = OperatorCommand::Drain {
        scope: DrainScope::Target,
        name: target.to_owned(),
        since: wall_millis(),
    };
    let text = serde_json::to_string(&command).unwrap_or_default();
    cluster
        .platform
        .put(COMMANDS, &command.object_name(), &text);
}

async fn summarize(cluster: &LocalCluster, tally: &TallySheet, matches: &ArgMatches) -> Result<()> {
    let access = local_access(cluster)?;
    let events = merge(collect(&access, &mut BTreeMap::new()).await?);
    println!("\nthe time line's rarer events, and the first decisions:");
    for event in chosen_events(&events) {
        println!("{}", line(event));
    }
    println!("\nby organisation:");
    let mut table = TextTable::new(&["ORGANISATION", "ANSWERED", "WORST", "REFUSED"]);
    for (name, row) in tally.borrow().iter() {
        let refused: Vec<_> = row
            .refused
            .iter()
            .map(|(reason, count)| format!("{count} {reason}"))
            .collect();
        table.push(&[
            name.clone(),
            row.answered.to_string(),
            format!("{:.1} ms", row.worst.as_secs_f64() * 1_000.0),
            refused.join(", "),
        ]);
    }
    println!("{table}");
    let saw_key = cluster
        .targets
        .values()
        .any(|target| target.with_record(|record| record.saw_key));
    let most = cluster
        .targets
        .values()
        .map(|target| target.with_record(|record| record.max_in_flight));
    let last = cluster
        .targets
        .get("arequipa-t0")
        .map(|target| target.with_record(|record| record.last_start_us));
    println!(
        "most requests at once at any target: {} of {} slots",
        most.max().unwrap_or(0),
        cluster.plan.slots
    );
    println!("a target saw a key: {saw_key}");
    println!(
        "latest start at the drained target: {} ms before now",
        age_millis(last.unwrap_or(0))
    );
    println!("\nthe fleet now:");
    overview::run(&access).await?;
    if let Some(path) = matches.get_one::<String>("html") {
        std::fs::write(path, crate::page::render(&events)).map_err(|source| {
            crate::errors::Error::File {
                path: path.clone(),
                source,
            }
        })?;
        println!("\nthe time line is in {path}");
    }
    Ok(())
}

fn age_millis(micros: u64) -> u128 {
    boot_time()
        .saturating_sub(Duration::from_micros(micros))
        .as_millis()
}

fn chosen_events(events: &[TimelineEvent]) -> Vec<&TimelineEvent> {
    let mut chosen = Vec::new();
    let mut placed = 0;
    for event in events {
        let keep = match event.kind {
            EventKind::Placed { .. } | EventKind::Answered { .. } => {
                placed += 1;
                placed <= 4
            }
            EventKind::TargetChanged { .. } => event.host.starts_with("arequipa"),
            EventKind::KeyWithdrawn { .. } => true,
            EventKind::LeaseChanged { .. } | EventKind::ConfigApplied { .. } => {
                event.host.ends_with('0')
            }
            _ => false,
        };
        if keep && chosen.len() < SHOWN_EVENTS {
            chosen.push(event);
        }
    }
    chosen
}

fn local_access(cluster: &LocalCluster) -> Result<FleetAccess> {
    let address = cluster.platform.address().to_string();
    let store = StoreClient::new(ClientOptions::with_address(address))?;
    FleetAccess::with_parts(store, LOCAL_TOKEN, false)
}

async fn stay(cluster: &LocalCluster) {
    let entry = cluster.entries().first().cloned().unwrap_or_default();
    let store = cluster.platform.address();
    println!("\nstaying up; end with Ctrl-C");
    println!("curl 'http://{entry}/.fighall/hosts?service=desk'");
    println!("curl -H 'Host: {SERVICE_HOST}' http://{entry}/open/prices");
    for (organisation, key) in &cluster.keys {
        println!(
            "curl -H 'Host: {SERVICE_HOST}' -H 'X-Api-Key: {key}' http://{entry}/quotes  # {organisation}"
        );
    }
    println!("export FIGHALL_STORE={store} FIGHALL_OPERATOR_TOKEN={LOCAL_TOKEN}");
    println!("cargo run --release --bin fighall-ctl -- status");
    fighall_kernel::kernel::wait_for_stop_signal().await;
}
