//! Whole regions: delays between them, one cut off, one killed, and all hosts killed at once.

mod support;

use fighall_core::clock::boot_time;
use fighall_testkit::{
    caller::{CallRequest, CallerConnection},
    cluster::{ClusterPlan, LocalCluster, SERVICE_HOST},
    faults::StoreFaults,
    load::{self, LoadStream},
    network::NetworkDelays,
    report::LoadReport,
};
use std::time::Duration;
use support::{records, run, stream, with_rates};

const SECOND: Duration = Duration::from_secs(1);
const REGIONS: [&str; 3] = ["lima", "arequipa", "iquitos"];

/// Three regions with the delays of Cóndor Alado.
fn distant() -> ClusterPlan {
    let plan = ClusterPlan {
        delays: Some(NetworkDelays {
            zones: Duration::from_millis(1),
            regions: Duration::from_millis(20),
            callers: Duration::from_millis(1),
        }),
        ..ClusterPlan::default()
    };
    with_rates(plan, &[("andes", 200, 100), ("brisa", 200, 100)])
}

fn region_entries(cluster: &LocalCluster, region: &str) -> Vec<String> {
    let nodes = cluster.nodes.values();
    let near = nodes.filter(|node| node.identity().region == region);
    near.map(|node| node.identity().caller_address.clone())
        .collect()
}

/// A stream of callers that keep to one host.
fn at_host(cluster: &LocalCluster, organisation: &str, method: &str, host: &str) -> LoadStream {
    let entry = cluster.nodes[host].identity().caller_address.clone();
    LoadStream {
        name: format!("{organisation}-{method}-{host}"),
        entry,
        ..stream(cluster, organisation, method, 25.0)
    }
}

fn assert_true_counts(cluster: &LocalCluster, report: &LoadReport) {
    let counts = report.counts(&records(cluster));
    let wrong = counts.doubled + counts.lost + counts.untrue;
    assert_eq!(wrong, 0, "{counts:?}");
    for record in records(cluster) {
        assert!(!record.saw_key);
        assert!(record.max_in_flight <= cluster.plan.slots);
    }
}

async fn answers(entry: &str, key: &str) -> bool {
    let request = CallRequest::new("GET", SERVICE_HOST, "/quotes").with_key(key);
    let Ok(mut connection) = CallerConnection::open(entry).await else {
        return false;
    };
    let answer = compio::time::timeout(SECOND * 3, connection.call(&request)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

/// Waits until every host answers; gets the time that this took.
async fn all_answer(cluster: &LocalCluster, bound: Duration) -> Duration {
    let key = cluster.key("andes");
    let started_at = boot_time();
    for entry in cluster.entries() {
        while !answers(&entry, &key).await {
            let waited = boot_time().saturating_sub(started_at);
            assert!(waited < bound, "{entry} does not answer after {waited:?}");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    boot_time().saturating_sub(started_at)
}

#[test]
fn ninety_percent_of_a_rate_at_one_host_is_served_over_distances() {
    run(async {
        let cluster = LocalCluster::start(distant()).await.unwrap();
        let mut focused = at_host(&cluster, "andes", "GET", "iquitos-1");
        focused.rate = 180.0;
        load::run(&[focused.clone()], &cluster.entries(), SECOND).await;
        focused.name = "measured".to_owned();
        let report = load::run(&[focused], &cluster.entries(), SECOND * 6).await;
        let row = &report.streams[0];
        assert_eq!(row.answered, row.sent, "{:?}", row.refused);
        assert_true_counts(&cluster, &report);
    });
}

#[test]
fn a_region_cut_off_for_ten_lease_times_breaks_no_promise_and_comes_back() {
    run(async {
        let cluster = LocalCluster::start(distant()).await.unwrap();
        let mut streams = Vec::new();
        for region in REGIONS {
            for (organisation, method) in [("andes", "GET"), ("brisa", "POST")] {
                streams.push(at_host(
                    &cluster,
                    organisation,
                    method,
                    &format!("{region}-1"),
                ));
            }
        }
        let entries = cluster.entries();
        let time = SECOND * 30;
        let load = compio::runtime::spawn(async move { load::run(&streams, &entries, time).await });
        compio::time::sleep(SECOND * 2).await;
        let network = cluster.network.clone().unwrap();
        // The store lies in lima: iquitos loses it as well.
        network.cut("iquitos");
        let until = boot_time() + SECOND * 20;
        while boot_time() < until {
            let held = support::held_of(&cluster, "andes");
            assert!(held.0 <= 200.0 && held.1 <= 100.0, "{held:?}");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        network.heal();
        all_answer(&cluster, SECOND * 8).await;
        let report = load.await.unwrap();
        assert_true_counts(&cluster, &report);
        for row in &report.streams {
            if row.name.contains("iquitos") {
                // Without a proof that its keys are fresh, the region serves no keyed route.
                assert!(row.refused_total() > 25 * 14, "{row:?}");
                assert!(
                    row.refused.keys().all(|reason| reason == "keys_stale"),
                    "{row:?}"
                );
                continue;
            }
            assert_eq!(row.answered, row.sent, "{}: {:?}", row.name, row.refused);
        }
    });
}

#[test]
fn a_killed_region_costs_only_what_was_in_its_hands() {
    run(async {
        let mut cluster = LocalCluster::start(distant()).await.unwrap();
        let streams = [
            stream(&cluster, "andes", "GET", 60.0),
            stream(&cluster, "brisa", "POST", 60.0),
        ];
        // Callers that ask arequipa's hosts first, and lima's when these are gone.
        let mut entries = region_entries(&cluster, "arequipa");
        entries.extend(region_entries(&cluster, "lima"));
        let load =
            compio::runtime::spawn(async move { load::run(&streams, &entries, SECOND * 12).await });
        compio::time::sleep(SECOND * 3).await;
        for index in 0..3 {
            cluster.kill_host(&format!("arequipa-{index}"));
        }
        for (name, target) in &cluster.targets {
            if name.starts_with("arequipa") {
                target.close();
            }
        }
        let report = load.await.unwrap();
        assert_true_counts(&cluster, &report);
        for row in &report.streams {
            // In flight at once were at most a tenth of a second's requests.
            assert!(row.broken <= 6, "{}: {:?}", row.name, row.refused);
            let missing = row.sent - row.answered;
            assert!(missing <= 6, "{}: {:?}", row.name, row.refused);
        }
    });
}

async fn kill_all(cluster: &mut LocalCluster) {
    for region in REGIONS {
        for index in 0..3 {
            cluster.kill_host(&format!("{region}-{index}"));
        }
    }
    compio::time::sleep(SECOND / 2).await;
}

async fn start_all(cluster: &mut LocalCluster) {
    for region in REGIONS {
        for index in 0..3 {
            let name = format!("{region}-{index}");
            cluster.start_host(&name, region, index).await.unwrap();
        }
    }
}

#[test]
fn a_fleet_whose_hosts_all_died_comes_back_with_what_the_store_keeps() {
    run(async {
        let mut cluster = LocalCluster::start(distant()).await.unwrap();
        let withdrawn = cluster.issue_key("andes").unwrap();
        cluster.withdraw_key(&withdrawn, "andes");
        cluster.plan.organisations[1].rate = 150;
        cluster.publish_all().await.unwrap();
        kill_all(&mut cluster).await;
        start_all(&mut cluster).await;
        // The rest of slots and loans of the dead, and a few seconds.
        let rest = Duration::from_millis(cluster.plan.slot_loan_ms);
        all_answer(&cluster, rest + SECOND * 8).await;
        for entry in cluster.entries() {
            assert!(!answers(&entry, &withdrawn).await);
        }
        compio::time::sleep(SECOND * 7).await;
        assert_eq!(support::held_of(&cluster, "brisa"), (150.0, 100.0));
    });
}

#[test]
fn a_fleet_that_starts_without_the_store_serves_once_it_is_back() {
    run(async {
        let mut cluster = LocalCluster::start(distant()).await.unwrap();
        let key = cluster.key("andes");
        cluster.platform.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        kill_all(&mut cluster).await;
        start_all(&mut cluster).await;
        compio::time::sleep(SECOND * 3).await;
        for entry in cluster.entries() {
            assert!(!answers(&entry, &key).await);
        }
        cluster.platform.set_faults(StoreFaults::default());
        let rest = Duration::from_millis(cluster.plan.slot_loan_ms);
        all_answer(&cluster, rest + SECOND * 8).await;
    });
}
