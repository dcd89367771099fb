//! The roster of targets, the fleet table and the policy's copy.

use fighall_gateway::{
    fleet::{FAR_SILENCE, FleetTable, SILENCE},
    health::TargetHealth,
    knowledge::PolicyCopy,
    message::{BeatEcho, CopyMarks, HostSign, OrgUse, PeerBeat, RegionDigest},
    policy::{TrafficPolicy, joined_homes},
    registry::HostEntry,
    roster::{TargetEntry, TargetRoster},
    split::SplitWheel,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

// Incarnation of the host whose table is tested.
const OWN: u64 = 3;

fn second(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn roster() -> TargetRoster {
    let zones = [("lima-a", "lima"), ("iquitos-a", "iquitos")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    TargetRoster::new(zones.into_iter().collect())
}

fn entry(name: &str) -> TargetEntry {
    TargetEntry {
        name: name.to_owned(),
        service: "quotes".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "lima-a".to_owned(),
        slots: 8,
        leaving: false,
        cold_for: Duration::ZERO,
        born: Some(1),
    }
}

#[test]
fn an_entry_that_lapses_and_returns_keeps_its_place() {
    let mut roster = roster();
    assert!(roster.list(second(1), entry("t1")));
    roster.note_away(second(10));
    roster.unlist(second(10), "t1");
    assert!(roster.expire(second(11)).is_empty());
    assert!(!roster.list(second(11), entry("t1")));
    assert!(roster.expire(second(60)).is_empty());
    assert_eq!(roster.of_service("quotes").len(), 1);
}

#[test]
fn an_entry_that_stays_away_is_dropped_after_the_grace() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    roster.note_away(second(10));
    roster.keep_only(second(10), &BTreeSet::new());
    assert!(roster.expire(second(12)).is_empty());
    assert_eq!(roster.expire(second(13)), ["t1"]);
    assert!(roster.is_empty());
}

#[test]
fn an_entry_that_vanishes_from_a_steady_store_takes_no_work_well_within_the_drain() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    roster.unlist(second(10), "t1");
    // Drains are bound to 2.5 s, of which up to 0.5 s pass before the change is known here.
    let record = roster.get("t1").expect("it is kept for a moment");
    assert!(!roster.takes_work(second(11), record));
    assert_eq!(roster.expire(second(11)), ["t1"]);
}

#[test]
fn a_leaving_target_takes_no_work_and_goes_at_once() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    let leaving = TargetEntry {
        leaving: true,
        ..entry("t1")
    };
    roster.list(second(2), leaving);
    let record = roster.get("t1").expect("it is still listed");
    assert!(!roster.takes_work(second(2), record));
    roster.unlist(second(3), "t1");
    assert!(roster.is_empty());
}

#[test]
fn a_new_incarnation_under_the_same_name_starts_anew() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    roster.get_mut("t1").expect("listed").load.start();
    let reborn = TargetEntry {
        born: Some(2),
        cold_for: second(3),
        ..entry("t1")
    };
    assert!(roster.list(second(5), reborn));
    let record = roster.get("t1").expect("listed");
    assert_eq!(record.load.in_flight(), 0);
    assert!(record.is_cold(second(7)));
    assert!(!record.is_cold(second(9)));
}

#[test]
fn targets_of_a_zone_that_is_taken_back_count_as_cold() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    let zones = BTreeSet::from(["lima-a".to_owned()]);
    roster.evacuate(second(5), zones, |_| second(3));
    assert!(!roster.takes_work(second(5), roster.get("t1").expect("listed")));
    roster.evacuate(second(9), BTreeSet::new(), |_| second(3));
    let record = roster.get("t1").expect("listed");
    assert!(roster.takes_work(second(2), record));
    assert!(record.is_cold(second(11)));
}

#[test]
fn a_target_that_flaps_rests_longer_each_time() {
    let mut health = TargetHealth::default();
    let mut now = second(1);
    let mut rests = Vec::new();
    for _ in 0..6 {
        assert!(health.note_unreachable(now));
        let from = now;
        while health.is_resting(now) {
            now += Duration::from_millis(100);
        }
        rests.push(now - from);
    }
    assert!(rests.is_sorted(), "{rests:?}");
    assert!(
        rests[5] >= rests[0] * 8 && rests[5] <= second(5),
        "{rests:?}"
    );
}

fn host(name: &str) -> HostEntry {
    HostEntry {
        host: name.to_owned(),
        incarnation: 7,
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
    }
}

const COPIES: CopyMarks = CopyMarks {
    policy: 5,
    policy_age_us: Some(100_000),
    store_age_us: Some(100_000),
    away: false,
    targets: 6,
    evacuations: 0,
};

fn beat(name: &str, sent_us: u64) -> PeerBeat {
    PeerBeat {
        host: name.to_owned(),
        incarnation: 7,
        sent_us,
        echo: None,
        ready: true,
        leaving: false,
        copies: COPIES,
        uses: Vec::new(),
        demands: BTreeMap::new(),
    }
}

#[test]
fn a_silent_host_and_a_leaving_one_take_no_callers() {
    let mut fleet = FleetTable::new("lima", OWN);
    fleet.register(host("h1"));
    let takes = |fleet: &FleetTable, now| fleet.peers().any(|peer| peer.takes_callers(now));
    assert!(!takes(&fleet, second(10)), "it was never heard");
    fleet.take_beat(second(10), beat("h1", 1));
    assert!(takes(&fleet, second(10)));
    assert!(!takes(&fleet, second(10) + SILENCE));
    let leaving = PeerBeat {
        leaving: true,
        ..beat("h1", 2)
    };
    fleet.take_beat(second(10), leaving);
    assert!(!takes(&fleet, second(10)));
    // A datagram that was overtaken changes nothing.
    assert!(fleet.take_beat(second(10), beat("h1", 1)).is_none());
    assert!(!takes(&fleet, second(10)));
}

#[test]
fn a_peer_confirms_no_more_than_it_knew_when_it_was_asked() {
    let mut fleet = FleetTable::new("lima", OWN);
    fleet.register(host("h1"));
    let answered = PeerBeat {
        echo: Some(BeatEcho {
            incarnation: OWN,
            sent_us: 9_000_000,
            held_us: 300_000,
        }),
        ..beat("h1", 1)
    };
    // The beat was on its way for 5 s: the confirmation is as old as the echoed beat says.
    fleet.take_beat(second(14), answered);
    let confirmed = fleet.confirmed_at(second(14), 5);
    assert_eq!(confirmed, Some(Duration::from_millis(9_200)));
    assert_eq!(fleet.confirmed_at(second(14), 4), None);
}

#[test]
fn the_policy_in_force_never_goes_back() {
    let mut copy = PolicyCopy::default();
    let policy = |version| TrafficPolicy {
        version,
        ..TrafficPolicy::default()
    };
    assert!(copy.take(policy(7)));
    assert!(!copy.take(policy(6)));
    assert!(!copy.take(policy(7)));
    assert_eq!(copy.policy().expect("taken").version, 7);
    copy.confirm(second(5));
    copy.confirm(second(4));
    assert_eq!(copy.age(second(6)), Some(second(1)));
    assert!(!copy.is_fresh(second(6), second(1)));
}

#[test]
fn homes_of_route_and_organisation_both_bind() {
    let list = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    assert_eq!(joined_homes(&[], &[]), None);
    assert_eq!(joined_homes(&list(&["a"]), &[]), Some(list(&["a"])));
    let both = joined_homes(&list(&["a", "b"]), &list(&["b", "c"]));
    assert_eq!(both, Some(list(&["b"])));
    assert_eq!(joined_homes(&list(&["a"]), &list(&["b"])), Some(Vec::new()));
}

#[test]
fn a_split_is_exact() {
    let parts =
        [("x", 90), ("y", 10)].map(|(service, weight)| fighall_gateway::policy::SplitPart {
            service: service.to_owned(),
            weight,
        });
    let mut wheel = SplitWheel::default();
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let part = wheel.next(&parts).expect("a part");
        *counts.entry(part.service.clone()).or_insert(0) += 1;
    }
    assert_eq!(counts["x"], 180);
    assert_eq!(counts["y"], 20);
}

fn digest(relay: &str, sent_us: u64, admitted: u64) -> RegionDigest {
    let sign = |host: &str, age_ms| HostSign {
        host: host.to_owned(),
        incarnation: 7,
        age_ms,
        ready: true,
        leaving: false,
    };
    RegionDigest {
        region: "iquitos".to_owned(),
        relay: relay.to_owned(),
        incarnation: 7,
        sent_us,
        forwarded: false,
        hosts: vec![sign("far-1", 0), sign("far-2", 2_000)],
        copies: COPIES,
        uses: vec![OrgUse {
            organisation: "andes".to_owned(),
            admitted,
            demand: 4.0,
        }],
        demands: BTreeMap::new(),
    }
}

fn far_fleet() -> FleetTable {
    let mut fleet = FleetTable::new("lima", OWN);
    for name in ["far-1", "far-2"] {
        fleet.register(HostEntry {
            region: "iquitos".to_owned(),
            ..host(name)
        });
    }
    fleet
}

#[test]
fn a_digest_tells_of_the_hosts_of_its_region_and_how_old_their_signs_are() {
    let mut fleet = far_fleet();
    fleet.take_digest(second(100), digest("far-1", 1, 10));
    let heard = |fleet: &FleetTable, now| fleet.heard(now) - 1;
    assert_eq!(heard(&fleet, second(100)), 2);
    // The second one was silent for 2 s already.
    assert_eq!(heard(&fleet, second(98) + FAR_SILENCE), 1);
    assert_eq!(heard(&fleet, second(100) + FAR_SILENCE), 0);
}

#[test]
fn admissions_of_a_region_count_once_whoever_relays_them() {
    let mut fleet = far_fleet();
    let take = |fleet: &mut FleetTable, at, digest| {
        let admitted = fleet.take_digest(at, digest);
        admitted.map(|list| list.iter().map(|(_, count)| count).sum::<u64>())
    };
    // What was admitted before the first digest is not this host's to know.
    assert_eq!(
        take(&mut fleet, second(100), digest("far-1", 1, 10)),
        Some(0)
    );
    assert_eq!(
        take(&mut fleet, second(101), digest("far-1", 2, 25)),
        Some(15)
    );
    assert_eq!(take(&mut fleet, second(101), digest("far-1", 2, 25)), None);
    // A second relay is not listened to while the first one is heard.
    assert_eq!(take(&mut fleet, second(101), digest("far-2", 1, 90)), None);
    assert_eq!(
        take(&mut fleet, second(104), digest("far-2", 2, 95)),
        Some(0)
    );
    assert_eq!(
        take(&mut fleet, second(105), digest("far-2", 3, 99)),
        Some(4)
    );
}

#[test]
fn one_host_of_a_region_relays_and_another_one_follows_it() {
    let names = ["h1", "h2", "h3"];
    let now = second(10);
    let relays = |alive: &[&str]| {
        let mut relays = Vec::new();
        for own in alive {
            let mut fleet = FleetTable::new("lima", OWN);
            for name in names.iter().filter(|name| *name != own) {
                fleet.register(host(name));
            }
            for name in alive.iter().filter(|name| *name != own) {
                fleet.take_beat(now, beat(name, 1));
            }
            if fleet.is_relay(now, own) {
                relays.push((*own).to_owned());
            }
        }
        relays
    };
    let first = relays(&names);
    assert_eq!(first.len(), 1);
    let left: Vec<_> = names.into_iter().filter(|name| *name != first[0]).collect();
    let second = relays(&left);
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
}

#[test]
fn a_host_that_starts_anew_does_not_count_what_others_admitted_long_ago() {
    let mut fleet = FleetTable::new("lima", OWN);
    fleet.register(host("h1"));
    let told = |sent_us, admitted| PeerBeat {
        uses: vec![OrgUse {
            organisation: "andes".to_owned(),
            admitted,
            demand: 4.0,
        }],
        ..beat("h1", sent_us)
    };
    let first = fleet.take_beat(second(10), told(1, 5_000));
    assert_eq!(first, Some(vec![("andes".to_owned(), 0)]));
    let next = fleet.take_beat(second(11), told(2, 5_007));
    assert_eq!(next, Some(vec![("andes".to_owned(), 7)]));
}

#[test]
fn a_policy_that_cannot_be_read_leaves_the_last_one_unconfirmed() {
    let mut copy = PolicyCopy::default();
    let policy = |version| TrafficPolicy {
        version,
        ..TrafficPolicy::default()
    };
    copy.take(policy(7));
    copy.confirm(second(5));
    copy.note_unread();
    copy.confirm(second(6));
    assert!(
        !copy.is_fresh(second(6), second(60)),
        "keys may have been withdrawn"
    );
    assert_eq!(copy.policy().expect("it stays").version, 7);
    assert!(copy.take(policy(8)));
    copy.confirm(second(7));
    assert!(copy.is_fresh(second(7), second(1)));
}

// Hosts of one region that beat to each other; `on_the_way` is how long a beat takes. Gives the
// latest confirmation that any of them believes in at the end.
fn confirmations_by_beats(steps: u64, on_the_way: Duration) -> Duration {
    let names = ["h1", "h2", "h3"];
    let mut copies = Vec::new();
    let mut fleets = Vec::new();
    let mut received: BTreeMap<(usize, usize), (u64, Duration)> = BTreeMap::new();
    for own in names {
        let mut copy = PolicyCopy::default();
        copy.take(TrafficPolicy::default());
        copy.confirm(second(10));
        copies.push(copy);
        let mut fleet = FleetTable::new("lima", OWN);
        for name in names.iter().filter(|name| **name != own) {
            fleet.register(host(name));
        }
        fleets.push(fleet);
    }
    for step in 0..steps {
        let now = second(10) + Duration::from_millis(step * 100);
        let from = usize::try_from(step % 3).expect("small");
        for to in (0..3).filter(|to| *to != from) {
            let age = copies[from].age(now).expect("confirmed");
            let echo = received.get(&(to, from)).map(|(sent_us, at)| BeatEcho {
                incarnation: OWN,
                sent_us: *sent_us,
                held_us: u64::try_from((now - *at).as_micros()).expect("small"),
            });
            let sent_us = u64::try_from(now.as_micros()).expect("small");
            let sent = PeerBeat {
                echo,
                copies: CopyMarks {
                    policy_age_us: u64::try_from(age.as_micros()).ok(),
                    ..COPIES
                },
                ..beat(names[from], sent_us)
            };
            let arrival = now + on_the_way;
            fleets[to].take_beat(arrival, sent);
            received.insert((from, to), (sent_us, arrival));
            if let Some(at) = fleets[to].confirmed_at(arrival, 5) {
                copies[to].confirm(at);
            }
        }
    }
    let end = second(1_000);
    let ages = copies.iter().map(|copy| copy.age(end).expect("confirmed"));
    end - ages.min().expect("three hosts")
}

#[test]
fn hosts_that_the_store_turns_away_cannot_keep_each_other_confirmed() {
    for millis in [0, 1, 30, 90] {
        let latest = confirmations_by_beats(600, Duration::from_millis(millis));
        assert!(latest <= second(10), "{latest:?} at {millis} ms");
    }
}

#[test]
fn an_echo_of_a_former_incarnation_confirms_nothing() {
    // Before its restart the host's clock stood at 5,000 s; now it stands at 14 s.
    for incarnation in [OWN - 1, OWN] {
        let mut fleet = FleetTable::new("lima", OWN);
        fleet.register(host("h1"));
        let echo = BeatEcho {
            incarnation,
            sent_us: 5_000_000_000,
            held_us: 300_000,
        };
        let answered = PeerBeat {
            echo: Some(echo),
            ..beat("h1", 1)
        };
        fleet.take_beat(second(14), answered);
        assert_eq!(fleet.confirmed_at(second(14), 5), None);
    }
}

#[test]
fn a_feeder_that_the_store_turns_away_feeds_nobody_however_fresh_its_policy_is() {
    let mut fleet = FleetTable::new("lima", OWN);
    fleet.register(host("h1"));
    let bound = Duration::from_millis(1_600);
    fleet.take_beat(second(10), beat("h1", 1));
    assert!(fleet.is_fed(second(10), "own", bound));
    assert!(
        !fleet.is_fed(second(10) + bound, "own", bound),
        "it went silent"
    );
    let turned_away = PeerBeat {
        copies: CopyMarks {
            store_age_us: Some(1_700_000),
            ..COPIES
        },
        ..beat("h1", 2)
    };
    fleet.take_beat(second(11), turned_away);
    assert!(!fleet.is_fed(second(11), "own", bound));
}

#[test]
fn an_entry_that_vanishes_after_the_stores_return_is_kept_no_longer_than_lapsed_ones() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    roster.note_away(second(10));
    // Lapsed entries are back two seconds after the return; this one vanishes later.
    roster.unlist(second(12), "t1");
    assert_eq!(roster.expire(second(13)), ["t1"]);
}

#[test]
fn feeders_follow_the_store_and_the_relay_does_not() {
    let names = ["h1", "h2", "h3", "h4"];
    let now = second(10);
    let fleet = |own: &str, away: &[&str]| {
        let mut fleet = FleetTable::new("lima", OWN);
        for name in names.iter().filter(|name| **name != own) {
            fleet.register(host(name));
            let mut beat = beat(name, 1);
            beat.copies.away = away.contains(name);
            fleet.take_beat(now, beat);
        }
        fleet.set_away(away.contains(&own));
        fleet
    };
    let feeders = fleet("h1", &[]).feeders(now, "h1");
    let turned: Vec<_> = feeders.iter().map(String::as_str).collect();
    for own in names {
        let before = fleet(own, &[]);
        let after = fleet(own, &turned);
        for feeder in after.feeders(now, own) {
            assert!(!feeders.contains(&feeder), "{own}: {feeder}");
        }
        assert_eq!(before.is_relay(now, own), after.is_relay(now, own), "{own}");
        assert_eq!(
            fleet(own, &names).feeders(now, own),
            feeders,
            "all are away"
        );
    }
}
