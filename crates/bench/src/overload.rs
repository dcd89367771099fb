//! One organisation at eight times its rate, the others at four fifths of theirs, beside a run
//! without it. The entry hosts of each region have a thread of their own, so that what a refused
//! request costs is not paid by the targets and callers.

use fighall_core::log::discarding_logger;
use fighall_entry::{node::EntryNode, settings::EntrySettings};
use fighall_testkit::{
    behaviour::TargetBehaviour,
    cluster::{ClusterPlan, LocalCluster, SERVICE, SERVICE_HOST, organisation, zone_name},
    load::{LoadStream, run as run_load},
    report::LoadReport,
};
use std::{sync::mpsc::channel, thread, time::Duration};

/// Organisations that stay within their rate.
const QUIET: [&str; 4] = ["andes", "brisa", "costa", "delta"];
/// Organisation that does not.
const LOUD: &str = "ruido";
/// Rate of each organisation, in requests a second.
const RATE: u32 = 60;
/// Time that the hosts are given to find each other.
const START_TIME: Duration = Duration::from_secs(4);

pub(crate) fn run(seconds: u64) {
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        return;
    };
    runtime.block_on(async {
        let time = Duration::from_secs(seconds);
        println!("run      organisation   sent answered refused  p50 us  p99 us");
        let calm = one_run(false, time).await;
        let loud = one_run(true, time).await;
        let (Some(calm), Some(loud)) = (calm, loud) else {
            println!("a deployment could not be started");
            return;
        };
        print(&calm, "without");
        print(&loud, "with");
        let p99 = |report: &LoadReport| {
            let rows = report.streams.iter().filter(|row| row.name != LOUD);
            rows.map(|row| row.latency().p99).max().unwrap_or(0)
        };
        let refused: u64 = loud
            .streams
            .iter()
            .filter(|row| row.name != LOUD)
            .map(|row| row.refused_total())
            .sum();
        println!(
            "worst p99 of the others: {} us without, {} us with; refused of the others: {refused}",
            p99(&calm),
            p99(&loud)
        );
    });
}

async fn one_run(loud: bool, time: Duration) -> Option<LoadReport> {
    let mut organisations = vec![organisation(LOUD, u64::from(RATE), 30)];
    for name in QUIET {
        organisations.push(organisation(name, u64::from(RATE), 30));
    }
    let plan = ClusterPlan {
        organisations,
        behaviour: TargetBehaviour {
            service_us: 20_000,
            ..TargetBehaviour::default()
        },
        ..ClusterPlan::default()
    };
    let cluster = LocalCluster::start_without_hosts(plan).await.ok()?;
    let entries = start_hosts(&cluster);
    compio::time::sleep(START_TIME).await;
    let mut streams = Vec::new();
    for name in QUIET {
        streams.push(stream(&cluster, name, f64::from(RATE) * 0.8));
    }
    if loud {
        streams.push(stream(&cluster, LOUD, f64::from(RATE) * 8.0));
    }
    run_load(&streams, &entries, time / 4).await;
    Some(run_load(&streams, &entries, time).await)
}

// Starts the entry hosts of each region on a thread; they end with the process.
fn start_hosts(cluster: &LocalCluster) -> Vec<String> {
    let store = cluster.platform.address().to_string();
    let mut entries = Vec::new();
    for region in cluster.plan.regions.clone() {
        let (send, started) = channel();
        let (store, hosts) = (store.clone(), cluster.plan.hosts);
        thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else {
                return;
            };
            runtime.block_on(async move {
                let mut nodes = Vec::new();
                for index in 0..hosts {
                    let host = format!("{region}-{index}");
                    let zone = zone_name(&region, index);
                    let settings = EntrySettings::with_host(&host, &region, &zone, &store);
                    let Ok(node) = EntryNode::start(settings, discarding_logger()).await else {
                        return;
                    };
                    let _ = send.send(node.identity().caller_address.clone());
                    nodes.push(node);
                }
                drop(send);
                std::future::pending::<()>().await;
            });
        });
        entries.extend(started);
    }
    entries
}

fn stream(cluster: &LocalCluster, name: &str, rate: f64) -> LoadStream {
    LoadStream {
        name: name.to_owned(),
        organisation: name.to_owned(),
        key: cluster.key(name),
        service: SERVICE.to_owned(),
        host: SERVICE_HOST.to_owned(),
        target: "/quotes".to_owned(),
        rate,
        marked: false,
        ..LoadStream::default()
    }
}

fn print(report: &LoadReport, label: &str) {
    for row in &report.streams {
        let latency = row.latency();
        println!(
            "{label:<8} {:<13} {:>5} {:>8} {:>7} {:>7} {:>7}",
            row.name,
            row.sent,
            row.answered,
            row.refused_total(),
            latency.p50,
            latency.p99
        );
    }
}
