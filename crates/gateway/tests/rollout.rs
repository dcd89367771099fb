//! What the hosts of each zone have in force, and when a change has reached all of them.

mod support;

use fighall_core::clock::boot_time;
use fighall_gateway::{
    message::{CopyStatus, ZoneVersions},
    rollout::{FleetVersions, RolloutEvent, RolloutSubject, RolloutTracker, summarise},
};
use std::time::Duration;
use support::{TestFleet, settings_in_zone, start_gateway};

const SETTINGS: u64 = 11;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn host(policy_number: u64, settings: u64) -> CopyStatus {
    CopyStatus {
        policy_number,
        settings,
        targets: 40 + policy_number,
        ..CopyStatus::default()
    }
}

fn fleet(zones: &[(&str, ZoneVersions)]) -> FleetVersions {
    let zones = zones.iter();
    zones
        .map(|(zone, versions)| ((*zone).to_owned(), versions.clone()))
        .collect()
}

#[test]
fn zone_is_summarised_by_its_lowest_versions() {
    let hosts = [host(7, SETTINGS), host(9, SETTINGS), host(8, 12)];
    let versions = summarise(&hosts, 9);
    assert_eq!(
        (versions.hosts, versions.policy, versions.hosts_behind),
        (3, 7, 2)
    );
    assert_eq!(versions.targets, 47);
    assert_eq!(
        versions.settings.into_iter().collect::<Vec<_>>(),
        [(SETTINGS, 2), (12, 1)]
    );
    // A later policy in another zone makes all of them late.
    assert_eq!(summarise(&hosts, 10).hosts_behind, 3);
}

#[test]
fn policy_reaches_zones_and_then_the_fleet_once() {
    let own = host(7, SETTINGS);
    let late = summarise(&[host(6, SETTINGS), own], 7);
    let done = summarise(&[own, own], 7);
    let mut tracker = RolloutTracker::default();
    let policies = |events: Vec<RolloutEvent>| {
        let policies = events.into_iter();
        policies
            .filter(|event| event.subject == RolloutSubject::Policy(7))
            .map(|event| (event.zone, event.hosts, event.elapsed))
            .collect::<Vec<_>>()
    };
    let first = fleet(&[("a", done.clone()), ("b", late.clone())]);
    let reached = policies(tracker.update(seconds(10), &own, &first));
    assert_eq!(reached, [(Some("a".to_owned()), 2, Duration::ZERO)]);
    assert!(policies(tracker.update(seconds(11), &own, &first)).is_empty());
    let second = fleet(&[("a", done.clone()), ("b", done)]);
    let reached = policies(tracker.update(seconds(13), &own, &second));
    let expected = [(Some("b".to_owned()), 2, seconds(3)), (None, 4, seconds(3))];
    assert_eq!(reached, expected);
    // A host that comes back late is no new rollout.
    assert!(policies(tracker.update(seconds(14), &own, &first)).is_empty());
    assert!(policies(tracker.update(seconds(15), &own, &second)).is_empty());
}

#[test]
fn settings_are_in_force_when_no_host_has_others() {
    let own = host(7, SETTINGS);
    let mixed = summarise(&[own, host(7, 12)], 7);
    let same = summarise(&[own, own], 7);
    let mut tracker = RolloutTracker::default();
    let settings = |events: Vec<RolloutEvent>| {
        let is_settings =
            |event: &&RolloutEvent| matches!(event.subject, RolloutSubject::Settings(_));
        events.iter().filter(is_settings).count()
    };
    assert_eq!(
        settings(tracker.update(seconds(1), &own, &fleet(&[("a", mixed)]))),
        0
    );
    assert_eq!(
        settings(tracker.update(seconds(2), &own, &fleet(&[("a", same)]))),
        2
    );
}

async fn metric(address: std::net::SocketAddr, name: &str) -> Vec<String> {
    let client = cyper::Client::new().expect("a client");
    let response = client
        .get(format!("http://{address}/metrics"))
        .expect("a request");
    let text = response.send().await.expect("a response").text().await;
    let text = text.expect("a text");
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines.map(str::to_owned).collect()
}

// The metrics of any host show which policy all hosts of each zone have.
#[test]
fn metrics_of_one_host_show_the_versions_of_all_zones() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = TestFleet::start(1, "").await;
        let mut metrics = None;
        for (name, zone, bounds) in [
            ("z1", "lima-a", ""),
            ("z2", "lima-b", ""),
            ("z3", "lima-b", "\"drain=1500\""),
        ] {
            let (_, settings) = settings_in_zone(name, zone, fleet.store.address(), bounds);
            metrics = Some(settings.metrics);
            start_gateway(settings).await;
        }
        let address = metrics.expect("hosts");
        fleet.publish(|_| {}).await;
        fleet.publish(|_| {}).await;
        let started_at = boot_time();
        let policies = [
            "fighall_zone_policy_version{zone=\"lima-a\"} 2",
            "fighall_zone_policy_version{zone=\"lima-b\"} 2",
        ];
        let hosts = [
            "fighall_zone_hosts{zone=\"lima-a\"} 2",
            "fighall_zone_hosts{zone=\"lima-b\"} 2",
        ];
        // A zone is summarised by its live hosts, so all of them have to be live first.
        while metric(address, "fighall_zone_hosts{").await != hosts
            || metric(address, "fighall_zone_policy_version").await != policies
        {
            assert!(
                boot_time() - started_at < seconds(6),
                "the policy did not reach all hosts of both zones"
            );
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        let behind = metric(address, "fighall_zone_hosts_behind").await;
        assert!(behind.iter().all(|line| line.ends_with(" 0")), "{behind:?}");
        // One host of the second zone has other bounds.
        let settings = metric(address, "fighall_zone_settings_hosts").await;
        assert_eq!(settings.len(), 3, "{settings:?}");
        assert_eq!(metric(address, "fighall_settings{").await.len(), 1);
    });
}
