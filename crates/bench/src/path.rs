//! Throughput of one entry host on one thread as a share of calling the same target directly, and
//! the latency that it adds at a tenth of that load. Target, entry host and callers have a thread
//! each.

use fighall_core::{clock::boot_time, log::discarding_logger};
use fighall_entry::{node::EntryNode, settings::EntrySettings};
use fighall_testkit::{
    behaviour::TargetBehaviour,
    caller::{CallRequest, CallerConnection},
    cluster::{ClusterPlan, LocalCluster, SERVICE_HOST, loopback, organisation},
    load::{LoadStream, run as run_load},
    platform::PlatformStandIn,
    target::TargetStandIn,
};
use std::{
    cell::Cell,
    rc::Rc,
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

/// Connections of the callers.
const CONNECTIONS: usize = 32;
/// Slots of the target.
const SLOTS: u32 = 64;
/// Part of the throughput at which latency is taken.
const LATENCY_PART: f64 = 0.1;

struct PathSetup {
    target: String,
    entry: String,
    key: String,
}

pub(crate) fn run(seconds: u64) {
    let setup = match start() {
        Some(setup) => setup,
        None => {
            println!("the deployment could not be started");
            return;
        }
    };
    let time = Duration::from_secs(seconds);
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        return;
    };
    runtime.block_on(async {
        // In turn, so that a drift of the machine's speed meets both.
        let mut ratios = Vec::new();
        let mut direct_rate = 0.0;
        for round in 0..3 {
            let direct = closed_loop(&setup.target, "", time / 2).await;
            let through = closed_loop(&setup.entry, &setup.key, time / 2).await;
            println!(
                "round {round}: direct {direct:.0}/s, through one entry host {through:.0}/s, share {:.2}",
                through / direct
            );
            ratios.push(through / direct);
            direct_rate = through;
        }
        ratios.sort_by(f64::total_cmp);
        println!("median share: {:.2} (aim 0.4)", ratios[1]);
        let rate = direct_rate * LATENCY_PART;
        let direct = open_loop(&setup.target, "", rate, time).await;
        let through = open_loop(&setup.entry, &setup.key, rate, time).await;
        println!("latency at {rate:.0}/s in us: direct {direct:?}");
        println!("latency at {rate:.0}/s in us: through {through:?}");
        println!(
            "added: median {} us (aim 150), p99 {} us (aim 1000)",
            through.0.saturating_sub(direct.0),
            through.1.saturating_sub(direct.1)
        );
    });
}

// Target and store on one thread, the entry host on another.
fn start() -> Option<PathSetup> {
    let (send_target, target): (_, Receiver<String>) = channel();
    thread::spawn(move || {
        let Ok(runtime) = compio::runtime::Runtime::new() else {
            return;
        };
        runtime.block_on(async move {
            let behaviour = TargetBehaviour {
                slots: SLOTS,
                service_us: 0,
                ..TargetBehaviour::default()
            };
            let Ok(target) = TargetStandIn::start("lima-t0", loopback(), behaviour).await else {
                return;
            };
            let _ = send_target.send(target.address().to_string());
            std::future::pending::<()>().await;
        });
    });
    let target = target.recv().ok()?;
    let (send_entry, entry): (_, Receiver<(String, String)>) = channel();
    let address = target.clone();
    thread::spawn(move || {
        let Ok(runtime) = compio::runtime::Runtime::new() else {
            return;
        };
        runtime.block_on(async move {
            if let Some((node, key, _platform)) = start_entry(&address).await {
                let _ = send_entry.send((node.identity().caller_address.clone(), key));
                std::future::pending::<()>().await;
            }
        });
    });
    let (entry, key) = entry.recv().ok()?;
    Some(PathSetup { target, entry, key })
}

async fn start_entry(target: &str) -> Option<(Rc<EntryNode>, String, LocalCluster)> {
    let plan = ClusterPlan {
        regions: vec!["lima".to_owned()],
        hosts: 1,
        targets: 0,
        slots: SLOTS,
        organisations: vec![organisation("andes", 1_000_000, 1_000_000)],
        ..ClusterPlan::default()
    };
    let platform = PlatformStandIn::start(loopback(), 1).await.ok()?;
    let store = platform.address().to_string();
    let mut cluster = LocalCluster::with_platform(plan, platform).ok()?;
    let mut service = cluster.service_document();
    service
        .targets
        .push(fighall_config::service::ServiceTarget {
            name: "lima-t0".to_owned(),
            address: target.parse().ok()?,
            zone: "lima-a".to_owned(),
            region: String::new(),
            slots: SLOTS,
            connections: 330,
        });
    let documents = vec![
        fighall_config::source::ConfigDocument::Fleet(cluster.fleet_document()),
        fighall_config::source::ConfigDocument::Service(service),
    ];
    cluster.publish(documents).await.ok()?;
    let key = cluster.issue_key("andes").ok()?;
    let settings = EntrySettings::with_host("lima-0", "lima", "lima-a", &store);
    let node = EntryNode::start(settings, discarding_logger()).await.ok()?;
    node.ready().await;
    compio::time::sleep(Duration::from_millis(1_500)).await;
    Some((node, key, cluster))
}

fn request(key: &str) -> CallRequest {
    let request = CallRequest::new("GET", SERVICE_HOST, "/quotes");
    if key.is_empty() {
        return request;
    }
    request.with_key(key)
}

async fn closed_loop(address: &str, key: &str, time: Duration) -> f64 {
    let count = Rc::new(Cell::new(0_u32));
    let until = boot_time() + time;
    let mut tasks = Vec::new();
    for _ in 0..CONNECTIONS {
        let count = Rc::clone(&count);
        let address = address.to_owned();
        let request = request(key);
        tasks.push(compio::runtime::spawn(async move {
            let Ok(mut connection) = CallerConnection::open(&address).await else {
                return;
            };
            while boot_time() < until {
                let answer = connection.call(&request).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    count.set(count.get() + 1);
                }
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    f64::from(count.get()) / time.as_secs_f64()
}

async fn open_loop(address: &str, key: &str, rate: f64, time: Duration) -> (u64, u64) {
    let stream = LoadStream {
        name: "path".to_owned(),
        key: key.to_owned(),
        host: SERVICE_HOST.to_owned(),
        target: "/quotes".to_owned(),
        rate,
        marked: false,
        entry: address.to_owned(),
        ..LoadStream::default()
    };
    let report = run_load(&[stream], &[], time).await;
    let latency = report.streams.first().map(|row| row.latency());
    latency.map_or((0, 0), |latency| (latency.p50, latency.p99))
}
