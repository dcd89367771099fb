//! The users' measures at both their sizes, with the baseline beside it in the same run: rates
//! split statically and targets drawn at random. Delays between regions are not part of it.

use fighall_config::commands::{DrainScope, OperatorCommand};
use fighall_core::clock::{boot_time, wall_millis};
use fighall_entry::{
    names,
    quotas::{LendingPolicy, QuotaService},
    targets::TargetService,
};
use fighall_platform::object::kinds::COMMANDS;
use fighall_route::placement::PlacementPolicy;
use fighall_testkit::{
    behaviour::TargetBehaviour,
    cluster::{ClusterPlan, LocalCluster, SERVICE, SERVICE_HOST, organisation},
    load::{LoadStream, run as run_load},
    report::LoadReport,
};
use std::time::Duration;

struct UserSize {
    name: &'static str,
    regions: [&'static str; 3],
    targets: u32,
    slots: u32,
    service_us: u64,
    probe_us: u64,
}

const USERS: [UserSize; 2] = [
    UserSize {
        name: "Cóndor Alado",
        regions: ["lima", "arequipa", "iquitos"],
        targets: 9,
        slots: 8,
        service_us: 20_000,
        probe_us: 1_000,
    },
    UserSize {
        name: "Norrvatten",
        regions: ["norr", "mitt", "syd"],
        targets: 9,
        slots: 9,
        service_us: 20_000,
        probe_us: 6_000,
    },
];
/// Rates of the organisations, in requests a second: a few are large.
const RATES: [u32; 8] = [160, 120, 80, 20, 16, 12, 8, 4];
/// Part of its rate that each offers; the last but two offers a multiple.
const OFFERED: [f64; 8] = [0.9, 0.9, 0.9, 0.9, 0.9, 6.0, 0.9, 0.9];
/// Requests that an organisation sends at once.
const BATCH: u32 = 4;
/// Time in which every bucket is full again after the warm-up.
const REFILL_TIME: Duration = Duration::from_secs(2);

pub(crate) fn run(seconds: u64) {
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        return;
    };
    runtime.block_on(async {
        println!(
            "user          policy          p50 ms  p99 ms  worst-served %  refused within rate  drain ms  most busy/slots"
        );
        for user in &USERS {
            for (label, lending, placement) in [
                ("fighall", LendingPolicy::Loans, PlacementPolicy::TwoChoices),
                ("static split", LendingPolicy::Static, PlacementPolicy::TwoChoices),
                ("random target", LendingPolicy::Loans, PlacementPolicy::Random),
                ("both baselines", LendingPolicy::Static, PlacementPolicy::Random),
            ] {
                let time = Duration::from_secs(seconds);
                match one_run(user, lending, placement, time).await {
                    Some(row) => println!("{:<13} {label:<15} {row}", user.name),
                    None => println!("{:<13} {label:<15} could not be started", user.name),
                }
            }
        }
    });
}

async fn one_run(
    user: &UserSize,
    lending: LendingPolicy,
    placement: PlacementPolicy,
    time: Duration,
) -> Option<String> {
    let cluster = LocalCluster::start(plan(user)).await.ok()?;
    for node in cluster.nodes.values() {
        let quotas = node.kernel().find::<QuotaService>(names::QUOTAS).ok()?;
        quotas.set_lending(lending);
        let targets = node.kernel().find::<TargetService>(names::TARGETS).ok()?;
        targets.set_policy(placement);
    }
    let streams = streams(&cluster);
    let entries = cluster.entries();
    run_load(&streams, &entries, time / 5).await;
    compio::time::sleep(REFILL_TIME).await;
    let load = {
        let streams = streams.clone();
        let entries = entries.clone();
        compio::runtime::spawn(async move { run_load(&streams, &entries, time).await })
    };
    compio::time::sleep(time / 2).await;
    let drain = drain_time(&cluster, &format!("{}-t0", user.regions[0])).await;
    let report = load.await.ok()?;
    Some(row(&cluster, user, &report, drain))
}

fn plan(user: &UserSize) -> ClusterPlan {
    let mut organisations = Vec::new();
    for (index, rate) in RATES.iter().enumerate() {
        let rate = u64::from(*rate);
        organisations.push(organisation(
            &format!("org-{index}"),
            rate,
            (rate / 2).max(4),
        ));
    }
    ClusterPlan {
        regions: user.regions.map(str::to_owned).to_vec(),
        targets: user.targets,
        slots: user.slots,
        organisations,
        behaviour: TargetBehaviour {
            service_us: user.service_us,
            probe_us: user.probe_us,
            ..TargetBehaviour::default()
        },
        ..ClusterPlan::default()
    }
}

// Callers of an organisation keep to few hosts, by look-up.
fn streams(cluster: &LocalCluster) -> Vec<LoadStream> {
    let mut streams = Vec::new();
    for (index, rate) in RATES.iter().enumerate() {
        let name = format!("org-{index}");
        streams.push(LoadStream {
            key: cluster.key(&name),
            organisation: name.clone(),
            name,
            service: SERVICE.to_owned(),
            host: SERVICE_HOST.to_owned(),
            target: "/quotes".to_owned(),
            rate: f64::from(*rate) * OFFERED[index],
            batch: BATCH,
            marked: false,
            ..LoadStream::default()
        });
    }
    streams
}

async fn drain_time(cluster: &LocalCluster, target: &str) -> Duration {
    let command = OperatorCommand::Drain {
        scope: DrainScope::Target,
        name: target.to_owned(),
        since: wall_millis(),
    };
    let text = command_text(&command);
    let started = boot_time();
    cluster
        .platform
        .put(COMMANDS, &command.object_name(), &text);
    // A drain is over when the target has been without a request for a while.
    let mut idle_since = None;
    for _ in 0..4_000 {
        compio::time::sleep(Duration::from_millis(1)).await;
        let now = boot_time();
        let busy = cluster
            .targets
            .get(target)
            .map_or(0, |target| target.with_record(|record| record.in_flight));
        if busy > 0 {
            idle_since = None;
            continue;
        }
        let since = *idle_since.get_or_insert(now);
        if now.saturating_sub(since) > Duration::from_millis(300) {
            return since.saturating_sub(started);
        }
    }
    boot_time().saturating_sub(started)
}

fn command_text(command: &OperatorCommand) -> String {
    fighall_testkit::cluster::to_json(command)
}

fn row(cluster: &LocalCluster, user: &UserSize, report: &LoadReport, drain: Duration) -> String {
    let mut worst = f64::INFINITY;
    let mut within = 0;
    let mut all = fighall_testkit::report::StreamReport::new("all");
    for (index, stream) in report.streams.iter().enumerate() {
        // Whoever offers more than its rate waits for tokens; that is no latency of the system.
        if OFFERED[index] > 1.0 {
            continue;
        }
        all.merge(stream);
        within += stream.refused_total();
        let served = crate::memory::ratio(stream.answered * 100, stream.sent);
        worst = worst.min(served);
    }
    let most = cluster
        .targets
        .values()
        .map(|target| target.with_record(|record| record.max_in_flight))
        .max()
        .unwrap_or(0);
    let latency = all.latency();
    format!(
        "{:>6.1} {:>7.1} {worst:>15.1} {within:>20} {:>9} {:>10}/{}",
        crate::memory::ratio(latency.p50, 1_000),
        crate::memory::ratio(latency.p99, 1_000),
        drain.as_millis(),
        most,
        user.slots
    )
}
