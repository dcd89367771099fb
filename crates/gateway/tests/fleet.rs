//! The fleet table: liveness of hosts, confirmations of the policy, and the selection of relays and store
//! watchers.

use fighall_gateway::{
    fleet::{FleetTable, LIVENESS_TIMEOUT, REMOTE_LIVENESS_TIMEOUT},
    message::{
        CopyStatus, HeartbeatEcho, HostStatus, OrgUsage, PeerHeartbeat, ZoneDigest, ZoneVersions,
    },
    policy::TrafficPolicy,
    policy_copy::PolicyCopy,
    registry::HostEntry,
};
use std::{collections::BTreeMap, time::Duration};

// Incarnation of the host that the table under test belongs to.
const OWN_INCARNATION: u64 = 3;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn host_entry(name: &str) -> HostEntry {
    HostEntry {
        host: name.to_owned(),
        incarnation: 7,
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
    }
}

const COPIES: CopyStatus = CopyStatus {
    policy_number: 0,
    policy: 5,
    policy_age_us: Some(100_000),
    store_age_us: Some(100_000),
    store_unreachable: false,
    targets: 6,
    evacuations: 0,
    settings: 0,
};

fn heartbeat(name: &str, sent_us: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        host: name.to_owned(),
        incarnation: 7,
        sent_us,
        echo: None,
        ready: true,
        leaving: false,
        targets_unreachable: false,
        copies: COPIES,
        usages: Vec::new(),
        demands: BTreeMap::new(),
        limits: Vec::new(),
        crashes: Vec::new(),
    }
}

#[test]
fn dead_and_leaving_hosts_accept_no_callers() {
    let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
    fleet.register(host_entry("h1"));
    let accepts = |fleet: &FleetTable, now| fleet.peers().any(|peer| peer.accepts_callers(now));
    assert!(
        !accepts(&fleet, seconds(10)),
        "no heartbeat has been received"
    );
    fleet.apply_heartbeat(seconds(10), heartbeat("h1", 1));
    assert!(accepts(&fleet, seconds(10)));
    assert!(!accepts(&fleet, seconds(10) + LIVENESS_TIMEOUT));
    let leaving = PeerHeartbeat {
        leaving: true,
        ..heartbeat("h1", 2)
    };
    fleet.apply_heartbeat(seconds(10), leaving);
    assert!(!accepts(&fleet, seconds(10)));
    // A reordered datagram is ignored.
    assert!(
        fleet
            .apply_heartbeat(seconds(10), heartbeat("h1", 1))
            .is_none()
    );
    assert!(!accepts(&fleet, seconds(10)));
}

#[test]
fn confirmation_is_dated_by_the_echoed_heartbeat() {
    let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
    fleet.register(host_entry("h1"));
    let reply = PeerHeartbeat {
        echo: Some(HeartbeatEcho {
            incarnation: OWN_INCARNATION,
            sent_us: 9_000_000,
            held_us: 300_000,
        }),
        ..heartbeat("h1", 1)
    };
    // 5 s have passed since the echoed heartbeat was sent, an unknown fraction of them before the peer replied:
    // the confirmation counts from that send time.
    fleet.apply_heartbeat(seconds(14), reply);
    let confirmed = fleet.confirmed_at(seconds(14), 5);
    assert_eq!(confirmed, Some(Duration::from_millis(9_200)));
    assert_eq!(fleet.confirmed_at(seconds(14), 4), None);
}

fn digest(relay: &str, sent_us: u64, admitted: u64) -> ZoneDigest {
    let host_status = |host: &str, age_ms| HostStatus {
        host: host.to_owned(),
        incarnation: 7,
        age_ms,
        ready: true,
        leaving: false,
        store_unreachable: false,
        targets_unreachable: false,
    };
    ZoneDigest {
        versions: ZoneVersions::default(),
        region: "iquitos".to_owned(),
        zone: "iquitos-a".to_owned(),
        relay: relay.to_owned(),
        incarnation: 7,
        sent_us,
        forwarded: false,
        hosts: vec![host_status("far-1", 0), host_status("far-2", 2_000)],
        copies: COPIES,
        usages: vec![OrgUsage {
            organisation: "andes".to_owned(),
            admitted,
            demand: 4.0,
            recent: Vec::new(),
        }],
        demands: BTreeMap::new(),
        limits: Vec::new(),
        crashes: Vec::new(),
    }
}

fn remote_fleet() -> FleetTable {
    let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
    for name in ["far-1", "far-2"] {
        fleet.register(HostEntry {
            region: "iquitos".to_owned(),
            zone: "iquitos-a".to_owned(),
            ..host_entry(name)
        });
    }
    fleet
}

#[test]
fn digest_reports_the_liveness_of_the_hosts_of_its_zone() {
    let mut fleet = remote_fleet();
    fleet.apply_digest(seconds(100), digest("far-1", 1, 10));
    let live_peers = |fleet: &FleetTable, now| fleet.live_count(now) - 1;
    assert_eq!(live_peers(&fleet, seconds(100)), 2);
    // The relay had received no heartbeat of the second host for 2 s.
    assert_eq!(live_peers(&fleet, seconds(98) + REMOTE_LIVENESS_TIMEOUT), 1);
    assert_eq!(
        live_peers(&fleet, seconds(100) + REMOTE_LIVENESS_TIMEOUT),
        0
    );
}

#[test]
fn admissions_of_a_zone_are_counted_once_across_relays() {
    let mut fleet = remote_fleet();
    let admissions_of = |fleet: &mut FleetTable, at, digest| {
        let admitted = fleet.apply_digest(at, digest);
        admitted.map(|list| list.iter().map(|(_, count)| count).sum::<u64>())
    };
    // Admissions before the first digest are not counted.
    assert_eq!(
        admissions_of(&mut fleet, seconds(100), digest("far-1", 1, 10)),
        Some(0)
    );
    assert_eq!(
        admissions_of(&mut fleet, seconds(101), digest("far-1", 2, 25)),
        Some(15)
    );
    assert_eq!(
        admissions_of(&mut fleet, seconds(101), digest("far-1", 2, 25)),
        None
    );
    // Digests of a second relay are ignored while those of the first one arrive.
    assert_eq!(
        admissions_of(&mut fleet, seconds(101), digest("far-2", 1, 90)),
        None
    );
    assert_eq!(
        admissions_of(&mut fleet, seconds(104), digest("far-2", 2, 95)),
        Some(0)
    );
    assert_eq!(
        admissions_of(&mut fleet, seconds(105), digest("far-2", 3, 99)),
        Some(4)
    );
}

#[test]
fn one_host_per_zone_is_the_relay_and_another_takes_over() {
    let names = ["h1", "h2", "h3"];
    let now = seconds(10);
    let relays = |alive: &[&str]| {
        let mut relays = Vec::new();
        for own in alive {
            let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
            for name in names.iter().filter(|name| *name != own) {
                fleet.register(host_entry(name));
            }
            for name in alive.iter().filter(|name| *name != own) {
                fleet.apply_heartbeat(now, heartbeat(name, 1));
            }
            if fleet.is_relay(now, own) {
                relays.push((*own).to_owned());
            }
        }
        relays
    };
    let first = relays(&names);
    assert_eq!(first.len(), 1);
    let remaining: Vec<_> = names.into_iter().filter(|name| *name != first[0]).collect();
    let second = relays(&remaining);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

#[test]
fn restarted_host_does_not_count_earlier_admissions_of_peers() {
    let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
    fleet.register(host_entry("h1"));
    let heartbeat_with_usage = |sent_us, admitted| PeerHeartbeat {
        usages: vec![OrgUsage {
            organisation: "andes".to_owned(),
            admitted,
            demand: 4.0,
            recent: Vec::new(),
        }],
        ..heartbeat("h1", sent_us)
    };
    let first = fleet.apply_heartbeat(seconds(10), heartbeat_with_usage(1, 5_000));
    assert_eq!(first, Some(vec![("andes".to_owned(), 0)]));
    let next = fleet.apply_heartbeat(seconds(11), heartbeat_with_usage(2, 5_007));
    assert_eq!(next, Some(vec![("andes".to_owned(), 7)]));
}

// Simulates hosts of one region that only exchange heartbeats, which take `transit_time` to arrive. Returns
// the latest time of a confirmation that any of them has at the end.
fn confirmations_by_heartbeats(steps: u64, transit_time: Duration) -> Duration {
    let names = ["h1", "h2", "h3"];
    let mut copies = Vec::new();
    let mut fleets = Vec::new();
    let mut received: BTreeMap<(usize, usize), (u64, Duration)> = BTreeMap::new();
    for own in names {
        let mut copy = PolicyCopy::default();
        copy.apply(TrafficPolicy::default());
        copy.confirm(seconds(10));
        copies.push(copy);
        let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
        for name in names.iter().filter(|name| **name != own) {
            fleet.register(host_entry(name));
        }
        fleets.push(fleet);
    }
    for step in 0..steps {
        let now = seconds(10) + Duration::from_millis(step * 100);
        let from = usize::try_from(step % 3).expect("small");
        for to in (0..3).filter(|to| *to != from) {
            let age = copies[from].age(now).expect("confirmed");
            let echo = received
                .get(&(to, from))
                .map(|(sent_us, at)| HeartbeatEcho {
                    incarnation: OWN_INCARNATION,
                    sent_us: *sent_us,
                    held_us: u64::try_from((now - *at).as_micros()).expect("small"),
                });
            let sent_us = u64::try_from(now.as_micros()).expect("small");
            let sent = PeerHeartbeat {
                echo,
                copies: CopyStatus {
                    policy_age_us: u64::try_from(age.as_micros()).ok(),
                    ..COPIES
                },
                ..heartbeat(names[from], sent_us)
            };
            let arrival = now + transit_time;
            fleets[to].apply_heartbeat(arrival, sent);
            received.insert((from, to), (sent_us, arrival));
            if let Some(at) = fleets[to].confirmed_at(arrival, 5) {
                copies[to].confirm(at);
            }
        }
    }
    let end = seconds(1_000);
    let ages = copies.iter().map(|copy| copy.age(end).expect("confirmed"));
    end - ages.min().expect("three hosts")
}

#[test]
fn hosts_without_the_store_cannot_refresh_confirmations_among_themselves() {
    for millis in [0, 1, 30, 90] {
        let latest = confirmations_by_heartbeats(600, Duration::from_millis(millis));
        assert!(latest <= seconds(10), "{latest:?} at {millis} ms");
    }
}

#[test]
fn echo_of_a_previous_incarnation_confirms_nothing() {
    // The host's clock was at 5,000 s before its restart, and is at 14 s now.
    for incarnation in [OWN_INCARNATION - 1, OWN_INCARNATION] {
        let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
        fleet.register(host_entry("h1"));
        let echo = HeartbeatEcho {
            incarnation,
            sent_us: 5_000_000_000,
            held_us: 300_000,
        };
        let reply = PeerHeartbeat {
            echo: Some(echo),
            ..heartbeat("h1", 1)
        };
        fleet.apply_heartbeat(seconds(14), reply);
        assert_eq!(fleet.confirmed_at(seconds(14), 5), None);
    }
}

#[test]
fn store_watcher_without_store_responses_does_not_count_despite_a_fresh_policy() {
    let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
    fleet.register(host_entry("h1"));
    let bound = Duration::from_millis(1_600);
    fleet.apply_heartbeat(seconds(10), heartbeat("h1", 1));
    assert!(fleet.has_live_store_watcher(seconds(10), "own", bound));
    assert!(
        !fleet.has_live_store_watcher(seconds(10) + bound, "own", bound),
        "the store watcher is not live"
    );
    let without_responses = PeerHeartbeat {
        copies: CopyStatus {
            store_age_us: Some(1_700_000),
            ..COPIES
        },
        ..heartbeat("h1", 2)
    };
    fleet.apply_heartbeat(seconds(11), without_responses);
    assert!(!fleet.has_live_store_watcher(seconds(11), "own", bound));
}

#[test]
fn store_watchers_depend_on_store_calls_and_the_relay_does_not() {
    let names = ["h1", "h2", "h3", "h4"];
    let now = seconds(10);
    let fleet = |own: &str, failing_hosts: &[&str]| {
        let mut fleet = FleetTable::new("lima", "lima-a", OWN_INCARNATION);
        for name in names.iter().filter(|name| **name != own) {
            fleet.register(host_entry(name));
            let mut message = heartbeat(name, 1);
            message.copies.store_unreachable = failing_hosts.contains(name);
            fleet.apply_heartbeat(now, message);
        }
        fleet.set_store_failing(failing_hosts.contains(&own));
        fleet
    };
    let watchers = fleet("h1", &[]).store_watchers(now, "h1");
    let failing: Vec<_> = watchers.iter().map(String::as_str).collect();
    for own in names {
        let before = fleet(own, &[]);
        let after = fleet(own, &failing);
        for watcher in after.store_watchers(now, own) {
            assert!(!watchers.contains(&watcher), "{own}: {watcher}");
        }
        assert_eq!(before.is_relay(now, own), after.is_relay(now, own), "{own}");
        assert_eq!(
            fleet(own, &names).store_watchers(now, own),
            watchers,
            "the store fails for all hosts"
        );
    }
}
