//! Target entries over time, ejection of targets, traffic splits and the replica of the policy.

use fighall_gateway::{
    health::TargetHealth,
    knowledge::PolicyCopy,
    policy::{TrafficPolicy, joined_homes},
    roster::{TargetEntry, TargetRoster},
    split::SplitWheel,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

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
        sequence: 0,
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
    // Drains are limited to 2.5 s, of which up to 0.5 s pass before this host learns of the change.
    let record = roster.get("t1").expect("still in its grace period");
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
    let record = roster.get("t1").expect("still listed");
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
        sequence: 0,
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
    assert_eq!(copy.policy().expect("a policy is in force").version, 7);
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
        let part = wheel.next(&parts).expect("the weights are above zero");
        *counts.entry(part.service.clone()).or_insert(0) += 1;
    }
    assert_eq!(counts["x"], 180);
    assert_eq!(counts["y"], 20);
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
        "the unread policy may withdraw keys"
    );
    assert_eq!(
        copy.policy()
            .expect("the last policy stays in force")
            .version,
        7
    );
    assert!(copy.take(policy(8)));
    copy.confirm(second(7));
    assert!(copy.is_fresh(second(7), second(1)));
}

#[test]
fn an_entry_that_vanishes_after_the_stores_return_is_kept_no_longer_than_lapsed_ones() {
    let mut roster = roster();
    roster.list(second(1), entry("t1"));
    roster.note_away(second(10));
    // Expired entries are back within two seconds of the store's return; this one disappears later.
    roster.unlist(second(12), "t1");
    assert_eq!(roster.expire(second(13)), ["t1"]);
}
