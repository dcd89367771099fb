//! Decisions of a host that may be cut off from targets, in virtual time.

use fighall_gateway::{
    decision::OwnHost,
    directory::{LookupQuery, OwnEndpoint, select_addresses},
    fleet::FleetTable,
    message::{CopyStatus, HostStatus, PeerHeartbeat, ZoneDigest, ZoneVersions},
    reach::{ReachChange, TargetReach},
    registry::HostEntry,
    roster::{TargetEntry, TargetRoster},
    router::RequestRouter,
    settings::GatewayBounds,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

const NOW: Duration = Duration::from_secs(100);

fn name_of(number: u16) -> String {
    format!("host-{number}")
}

// Hosts alternate between two availability zones; the own one is `host-0` in `lima-0`.
fn entry_of(number: u16) -> HostEntry {
    HostEntry {
        host: name_of(number),
        incarnation: 1,
        region: "lima".to_owned(),
        zone: format!("lima-{}", number % 2),
        callers: callers_of(number),
        peers: ([127, 0, 0, 1], 1).into(),
    }
}

fn callers_of(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + number).into()
}

fn heartbeat_of(number: u16, targets_unreachable: bool) -> PeerHeartbeat {
    PeerHeartbeat {
        host: name_of(number),
        incarnation: 1,
        sent_us: 1,
        echo: None,
        ready: true,
        leaving: false,
        targets_unreachable,
        copies: CopyStatus::default(),
        usages: Vec::new(),
        demands: BTreeMap::new(),
        limits: Vec::new(),
        crashes: Vec::new(),
    }
}

// Reports the hosts: those of the own zone by heartbeats, those of the other one by its digest.
fn report(fleet: &mut FleetTable, hosts: u16, unreachable: impl Fn(u16) -> bool) {
    let mut statuses = Vec::new();
    for number in 1..hosts {
        fleet.register(entry_of(number));
        let heartbeat = heartbeat_of(number, unreachable(number));
        if number % 2 == 0 {
            fleet.apply_heartbeat(NOW, heartbeat);
            continue;
        }
        statuses.push(HostStatus {
            host: heartbeat.host,
            incarnation: 1,
            age_ms: 0,
            ready: true,
            leaving: false,
            store_unreachable: false,
            targets_unreachable: heartbeat.targets_unreachable,
        });
    }
    let digest = ZoneDigest {
        region: "lima".to_owned(),
        zone: "lima-1".to_owned(),
        relay: name_of(1),
        incarnation: 1,
        sent_us: 1,
        forwarded: false,
        hosts: statuses,
        copies: CopyStatus::default(),
        usages: Vec::new(),
        demands: BTreeMap::new(),
        limits: Vec::new(),
        crashes: Vec::new(),
        versions: ZoneVersions::default(),
    };
    fleet.apply_digest(NOW, digest);
}

fn new_router(hosts: u16, unreachable: impl Fn(u16) -> bool) -> RequestRouter {
    let own_host = OwnHost {
        host: name_of(0),
        region: "lima".to_owned(),
        zone: "lima-0".to_owned(),
        incarnation: 1,
    };
    let zones = BTreeMap::from_iter((0..4).map(|zone| (format!("lima-{zone}"), "lima".to_owned())));
    let roster = TargetRoster::new(zones);
    let mut router = RequestRouter::new(NOW, own_host, GatewayBounds::default(), roster);
    report(&mut router.fleet, hosts, unreachable);
    router
}

// Adds targets, of which `zone_sizes` are in each availability zone; their ports are their numbers.
fn add_targets(router: &mut RequestRouter, zone_sizes: &[u16]) {
    let mut number = 0;
    for (zone, size) in zone_sizes.iter().enumerate() {
        for _ in 0..*size {
            number += 1;
            let entry = TargetEntry {
                name: format!("t{number}"),
                service: "quotes".to_owned(),
                address: ([127, 0, 0, 1], number).into(),
                zone: format!("lima-{zone}"),
                slots: 8,
                leaving: false,
                warmup_left: Duration::ZERO,
                started_ms: Some(1),
                sequence: 0,
            };
            router.roster.upsert(NOW, entry);
        }
    }
}

fn probed_ports(router: &RequestRouter, round: usize) -> BTreeSet<u16> {
    let targets = router.probed_targets(NOW, round);
    targets.iter().map(|target| target.address.port()).collect()
}

fn lost() -> TargetReach {
    let mut reach = TargetReach::default();
    assert_eq!(reach.record_probes(false), Some(ReachChange::Lost));
    reach
}

#[test]
fn targets_that_fail_one_after_the_other_are_checked_by_probes() {
    let mut reach = TargetReach::default();
    reach.record_failure("t1");
    reach.record_failure("t1");
    assert!(
        !reach.needs_probes(),
        "one target that fails is its own fault"
    );
    reach.record_silence("t2");
    assert!(reach.needs_probes());
    reach.record_response(NOW);
    assert!(
        !reach.needs_probes(),
        "a response shows that silence was the target's"
    );
    reach.record_failure("t2");
    reach.record_response(NOW);
    assert!(
        reach.needs_probes(),
        "kept connections may live on while new ones fail"
    );
    reach.record_connection();
    assert!(!reach.needs_probes());
}

#[test]
fn a_link_that_flaps_does_not_bring_a_host_back() {
    let mut reach = lost();
    for _ in 0..5 {
        assert_eq!(reach.record_probes(true), None);
        assert_eq!(reach.record_probes(false), None);
        assert!(reach.is_unreachable());
    }
    assert_eq!(reach.record_probes(true), None);
    assert_eq!(reach.record_probes(true), Some(ReachChange::Regained));
    assert!(!reach.is_unreachable() && !reach.needs_probes());
}

#[test]
fn refused_connections_of_a_host_that_is_cut_off_report_no_ended_targets() {
    let mut reach = TargetReach::default();
    reach.record_failure("t1");
    assert!(!reach.hold_end(NOW, "t1"));
    reach.record_failure("t2");
    assert!(reach.hold_end(NOW, "t2"));
    reach.record_probes(false);
    assert_eq!(reach.take_ends(), Vec::new());
    let mut reach = TargetReach::default();
    reach.record_failure("t1");
    reach.record_failure("t2");
    assert!(reach.hold_end(NOW, "t2"));
    reach.record_probes(true);
    assert_eq!(reach.take_ends(), [(NOW, "t2".to_owned())]);
}

#[test]
fn probes_cover_all_zones_and_prefer_targets_that_have_not_failed() {
    let mut router = new_router(3, |_| false);
    add_targets(&mut router, &[10, 10, 1]);
    let ports = probed_ports(&router, 0);
    assert_eq!(ports.len(), 6);
    assert!(
        ports.contains(&21),
        "the only target of its zone: {ports:?}"
    );
    assert_ne!(ports, probed_ports(&router, 1));
    for number in 1..=20 {
        router.reach.record_failure(&format!("t{number}"));
    }
    assert!(probed_ports(&router, 3).contains(&21));
}

#[test]
fn a_host_is_cut_off_only_while_another_one_reaches_targets() {
    for hosts in [3, 9, 80, 300] {
        let mut router = new_router(hosts, |_| false);
        assert!(!router.is_cut_off(NOW));
        router.reach.record_probes(false);
        assert!(router.is_cut_off(NOW));
        let mut router = new_router(hosts, |_| true);
        router.reach.record_probes(false);
        assert!(!router.is_cut_off(NOW), "{hosts} hosts");
    }
}

#[test]
fn look_ups_leave_out_hosts_that_reach_no_target_unless_all_are_such() {
    let own = OwnEndpoint {
        region: "lima".to_owned(),
        callers: callers_of(0),
        accepts_callers: true,
        targets_unreachable: true,
    };
    let look_up = |router: &RequestRouter| {
        let query = LookupQuery {
            region: "lima".to_owned(),
            ..LookupQuery::default()
        };
        let addresses = select_addresses(&router.fleet, NOW, &own, &query);
        BTreeSet::from_iter(addresses)
    };
    // A whole zone, and all but one host.
    let router = new_router(60, |number| number % 2 == 0);
    let expected = (0..60).filter(|number| number % 2 == 1).map(callers_of);
    assert_eq!(look_up(&router), expected.collect());
    let router = new_router(60, |number| number != 17);
    assert_eq!(look_up(&router), BTreeSet::from([callers_of(17)]));
    let router = new_router(60, |_| true);
    assert_eq!(look_up(&router), (0..60).map(callers_of).collect());
}

#[test]
fn other_hosts_serve_only_within_the_regions_of_a_request() {
    let mut router = new_router(6, |number| number == 2);
    let mut remote = entry_of(7);
    remote.region = "norr".to_owned();
    remote.zone = "lima-0".to_owned();
    router.fleet.register(remote);
    router.fleet.apply_heartbeat(NOW, heartbeat_of(7, false));
    let serving = |regions: Option<&[String]>| -> Vec<String> {
        let hosts = router.serving_hosts(NOW, regions, "m1");
        hosts.into_iter().map(|(host, _)| host).collect()
    };
    let all = serving(None);
    assert_eq!(all.len(), 5, "{all:?}");
    assert_eq!(
        all.last(),
        Some(&name_of(7)),
        "a remote host is the last resort"
    );
    assert!(!all.contains(&name_of(2)), "it reaches no target itself");
    assert_eq!(serving(Some(&["norr".to_owned()])), [name_of(7)]);
    assert_eq!(serving(Some(&["lima".to_owned()])).len(), 4);
    assert!(serving(Some(&["mitt".to_owned()])).is_empty());
}
