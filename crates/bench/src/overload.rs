//! One organisation at eight times its rate, the others at four fifths of theirs, beside a run
//! without it.

use fighall_testkit::{
    behaviour::TargetBehaviour,
    cluster::{ClusterPlan, LocalCluster, SERVICE, SERVICE_HOST, organisation},
    load::{LoadStream, run as run_load},
    report::LoadReport,
};
use std::time::Duration;

/// Organisations that stay within their rate.
const QUIET: [&str; 4] = ["andes", "brisa", "costa", "delta"];
/// Organisation that does not.
const LOUD: &str = "ruido";
/// Rate of each organisation, in requests a second.
const RATE: u32 = 60;

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
    let cluster = LocalCluster::start(plan).await.ok()?;
    let mut streams = Vec::new();
    for name in QUIET {
        streams.push(stream(&cluster, name, f64::from(RATE) * 0.8));
    }
    if loud {
        streams.push(stream(&cluster, LOUD, f64::from(RATE) * 8.0));
    }
    let entries = cluster.entries();
    run_load(&streams, &entries, time / 4).await;
    Some(run_load(&streams, &entries, time).await)
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
