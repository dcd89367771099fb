//! Decisions of a router over time, from the state of one host.

use fighall_gateway::{
    decision::{OwnHost, PlacementQuery},
    demand::estimate_demand,
    message::{CopyStatus, PeerHeartbeat},
    policy::{ServicePolicy, TrafficPolicy},
    refusal::{RequestLimits, RequestPriority},
    registry::HostEntry,
    roster::{TargetEntry, TargetRoster},
    router::RequestRouter,
    settings::GatewayBounds,
};
use std::{collections::BTreeMap, time::Duration};

const SERVICE: &str = "quotes";

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn policy() -> TrafficPolicy {
    let service = ServicePolicy {
        name: SERVICE.to_owned(),
        max_connections: 1_650,
        warmup: Duration::ZERO,
        warmup_rate: 0.0,
    };
    TrafficPolicy {
        services: BTreeMap::from([(SERVICE.to_owned(), service)]),
        ..TrafficPolicy::default()
    }
}

fn router(regions: &[&str]) -> RequestRouter {
    let own_host = OwnHost {
        host: "h1".to_owned(),
        region: "norr".to_owned(),
        zone: "norr-a".to_owned(),
        incarnation: 1,
    };
    let zones = regions
        .iter()
        .map(|region| (format!("{region}-a"), (*region).to_owned()));
    let roster = TargetRoster::new(zones.collect());
    RequestRouter::new(seconds(1), own_host, GatewayBounds::default(), roster)
}

fn add_targets(router: &mut RequestRouter, region: &str, count: usize) {
    for number in 0..count {
        let entry = TargetEntry {
            name: format!("{region}-{number}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: format!("{region}-a"),
            slots: 9,
            leaving: false,
            warmup_left: Duration::ZERO,
            started_ms: Some(1),
            sequence: 0,
        };
        router.roster.upsert(seconds(1), entry);
    }
}

fn query(object: &str) -> PlacementQuery {
    PlacementQuery {
        service: SERVICE.to_owned(),
        route: "read".to_owned(),
        object: object.to_owned(),
        sticky: true,
        allowed_regions: None,
        tried: Vec::new(),
        priority: RequestPriority::default(),
        limits: RequestLimits {
            objective: seconds(1),
            timeout: seconds(2),
        },
    }
}

// Returns the fraction of `count` objects that are placed outside the router's region.
fn remote_fraction(router: &mut RequestRouter, now: Duration, count: u32) -> f64 {
    let policy = policy();
    let mut remote = 0;
    for object in 0..count {
        let query = query(&format!("object-{object}"));
        let placement = router.place(now, &query, &policy.services[SERVICE]);
        remote += u32::from(placement.expect("a target is available").region != "norr");
    }
    f64::from(remote) / f64::from(count)
}

// Regression: a host whose state was updated before it knew its targets started without spillover, and
// then approached it at the slow rate that applies to running traffic. A region with a tenth of the
// targets served four fifths of its own traffic for half a minute after each start.
#[test]
fn region_short_of_capacity_spills_from_the_first_request() {
    let mut router = router(&["norr", "mitt", "syd"]);
    let policy = policy();
    for step in 0..5 {
        router.tick(seconds(1) + Duration::from_millis(200 * step), &policy);
    }
    add_targets(&mut router, "norr", 30);
    router.tick(seconds(3), &policy);
    add_targets(&mut router, "mitt", 120);
    add_targets(&mut router, "syd", 144);
    router.tick(seconds(4), &policy);
    router.start_request(seconds(4), SERVICE);
    router.tick(seconds(5), &policy);
    let remote = remote_fraction(&mut router, seconds(5), 600);
    assert!((0.5..0.75).contains(&remote), "{remote}");
}

// Regression: after a restart of all hosts, those without requests took the first requests in flight at
// other hosts for the whole demand. A region with a tenth of the targets kept four fifths of its traffic,
// and a fifth of the requests that it served timed out for ten seconds.
#[test]
fn first_requests_of_peers_are_not_taken_for_the_whole_demand() {
    let policy = policy();
    let mut first_router = router(&["norr", "mitt", "syd"]);
    let mut second_router = router(&["norr", "mitt", "syd"]);
    for router in [&mut first_router, &mut second_router] {
        add_targets(router, "norr", 30);
        add_targets(router, "mitt", 120);
        add_targets(router, "syd", 144);
        router.tick(seconds(4), &policy);
    }
    let peer = HostEntry {
        host: "h0".to_owned(),
        incarnation: 1,
        region: "norr".to_owned(),
        zone: "norr-a".to_owned(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
    };
    second_router.fleet.register(peer);
    for _ in 0..40 {
        first_router.start_request(seconds(4), SERVICE);
    }
    for step in 1..8 {
        let now = seconds(4) + Duration::from_millis(200 * step);
        first_router.tick(now, &policy);
        let heartbeat = PeerHeartbeat {
            host: "h0".to_owned(),
            incarnation: 1,
            sent_us: step,
            echo: None,
            ready: true,
            leaving: false,
            targets_unreachable: false,
            copies: CopyStatus::default(),
            limits: Vec::new(),
            crashes: Vec::new(),
            usages: Vec::new(),
            demands: to_single(&first_router.own_demands(now)),
        };
        second_router.fleet.apply_heartbeat(now, heartbeat);
        second_router.tick(now, &policy);
    }
    second_router.start_request(seconds(6), SERVICE);
    let remote = remote_fraction(&mut second_router, seconds(6), 600);
    assert!((0.5..0.75).contains(&remote), "{remote}");
}

#[allow(clippy::cast_possible_truncation)]
fn to_single(demands: &BTreeMap<String, Option<f64>>) -> BTreeMap<String, Option<f32>> {
    let demands = demands.iter();
    demands
        .map(|(name, demand)| (name.clone(), demand.map(|demand| demand as f32)))
        .collect()
}

#[test]
fn hosts_without_a_measurement_are_assumed_to_have_mean_demand() {
    let demand = estimate_demand(&[Some(6.0), None, Some(4.0), None]);
    assert_eq!(demand, Some(20.0));
    assert_eq!(estimate_demand(&[None, None]), None);
}

// Entries come from other writers too, so each value may be an extreme one.
#[test]
fn extreme_values_of_entries_do_not_end_the_process() {
    let mut router = router(&["norr", "syd"]);
    let (warmups, slots) = ([Duration::ZERO, Duration::MAX], [0, 1, u32::MAX]);
    for (number, (warmup_left, slots)) in warmups
        .into_iter()
        .flat_map(|warmup_left| slots.map(|slots| (warmup_left, slots)))
        .enumerate()
    {
        let entry = TargetEntry {
            name: format!("t{number}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 0).into(),
            zone: "norr-a".to_owned(),
            slots,
            leaving: false,
            warmup_left,
            started_ms: Some(u64::MAX),
            sequence: u64::MAX,
        };
        router.roster.upsert(seconds(5_000), entry);
    }
    for step in 0..200 {
        let now = seconds(5_000) + Duration::from_millis(step * 100);
        router.tick(now, &policy());
        let query = query(&format!("object-{step}"));
        let service = &policy().services[SERVICE];
        let Ok(placement) = router.place(now, &query, service) else {
            continue;
        };
        let sent = router.start_attempt(&query, &placement);
        router.end_attempt(&sent);
        router.record_response(now, &sent, Duration::from_millis(step), step % 3 != 0);
        router.record_unreachable(now, &sent, service);
    }
}
