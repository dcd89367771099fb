//! Target entries over time, ejection of targets, traffic splits and the replica of the policy.

use fighall_gateway::{
    health::TargetHealth,
    policy::{TrafficPolicy, intersect_regions},
    policy_copy::PolicyCopy,
    roster::{TargetEntry, TargetRoster},
    split::RoundRobin,
    target_pause::TargetPause,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
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
        warmup_left: Duration::ZERO,
        started_ms: Some(1),
        sequence: 0,
    }
}

#[test]
fn entry_that_returns_within_the_grace_period_keeps_its_record() {
    let mut roster = roster();
    assert!(roster.upsert(seconds(1), entry("t1")));
    roster.record_outage(seconds(10));
    roster.mark_unlisted(seconds(10), "t1");
    assert!(roster.expire(seconds(11)).is_empty());
    assert!(!roster.upsert(seconds(11), entry("t1")));
    assert!(roster.expire(seconds(60)).is_empty());
    assert_eq!(roster.of_service("quotes").len(), 1);
}

#[test]
fn missing_entry_is_dropped_after_the_grace_period() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    roster.record_outage(seconds(10));
    roster.retain_listed(seconds(10), &BTreeSet::new());
    assert!(roster.expire(seconds(12)).is_empty());
    assert_eq!(roster.expire(seconds(13)), ["t1"]);
    assert!(roster.is_empty());
}

#[test]
fn entry_deleted_from_an_available_store_gets_no_requests_within_the_drain_limit() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    roster.mark_unlisted(seconds(10), "t1");
    // Drains are limited to 2.5 s, of which up to 0.5 s pass before this host learns of the change.
    let record = roster.get("t1").expect("still in its grace period");
    assert!(!roster.accepts_requests(seconds(11), record));
    assert_eq!(roster.expire(seconds(11)), ["t1"]);
}

#[test]
fn leaving_target_gets_no_requests_and_is_removed_at_once() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    let leaving = TargetEntry {
        leaving: true,
        ..entry("t1")
    };
    roster.upsert(seconds(2), leaving);
    let record = roster.get("t1").expect("still listed");
    assert!(!roster.accepts_requests(seconds(2), record));
    roster.mark_unlisted(seconds(3), "t1");
    assert!(roster.is_empty());
}

#[test]
fn new_incarnation_of_a_target_starts_with_fresh_state() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    roster.get_mut("t1").expect("listed").load.start();
    let restarted = TargetEntry {
        started_ms: Some(2),
        sequence: 0,
        warmup_left: seconds(3),
        ..entry("t1")
    };
    assert!(roster.upsert(seconds(5), restarted));
    let record = roster.get("t1").expect("listed");
    assert_eq!(record.load.in_flight(), 0);
    assert!(record.is_warming_up(seconds(7)));
    assert!(!record.is_warming_up(seconds(9)));
}

#[test]
fn targets_of_a_reopened_zone_warm_up_again() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    let zones = BTreeSet::from(["lima-a".to_owned()]);
    roster.set_evacuated(seconds(5), zones, |_| seconds(3));
    assert!(!roster.accepts_requests(seconds(5), roster.get("t1").expect("listed")));
    roster.set_evacuated(seconds(9), BTreeSet::new(), |_| seconds(3));
    let record = roster.get("t1").expect("listed");
    assert!(roster.accepts_requests(seconds(2), record));
    assert!(record.is_warming_up(seconds(11)));
}

#[test]
fn ejections_of_a_flapping_target_grow() {
    let mut health = TargetHealth::default();
    let mut now = seconds(1);
    let mut ejections = Vec::new();
    for _ in 0..6 {
        assert!(health.record_unreachable(now));
        let from = now;
        while health.is_ejected(now) {
            now += Duration::from_millis(100);
        }
        ejections.push(now - from);
    }
    assert!(ejections.is_sorted(), "{ejections:?}");
    assert!(
        ejections[5] >= ejections[0] * 8 && ejections[5] <= seconds(5),
        "{ejections:?}"
    );
}

#[test]
fn policy_version_never_decreases() {
    let mut copy = PolicyCopy::default();
    let policy = |version| TrafficPolicy {
        version,
        ..TrafficPolicy::default()
    };
    assert!(copy.apply(policy(7)));
    assert!(!copy.apply(policy(6)));
    assert!(!copy.apply(policy(7)));
    assert_eq!(copy.policy().expect("a policy is in force").version, 7);
    copy.confirm(seconds(5));
    copy.confirm(seconds(4));
    assert_eq!(copy.age(seconds(6)), Some(seconds(1)));
    assert!(!copy.is_fresh(seconds(6), seconds(1)));
}

#[test]
fn allowed_regions_of_route_and_organisation_intersect() {
    let list = |names: &[&str]| {
        names
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<Vec<_>>()
    };
    assert_eq!(intersect_regions(&[], &[]), None);
    assert_eq!(intersect_regions(&list(&["a"]), &[]), Some(list(&["a"])));
    let both = intersect_regions(&list(&["a", "b"]), &list(&["b", "c"]));
    assert_eq!(both, Some(list(&["b"])));
    assert_eq!(
        intersect_regions(&list(&["a"]), &list(&["b"])),
        Some(Vec::new())
    );
}

#[test]
fn split_is_exact() {
    let parts =
        [("x", 90), ("y", 10)].map(|(service, weight)| fighall_gateway::policy::SplitPart {
            service: service.to_owned(),
            weight,
        });
    let mut round_robin = RoundRobin::default();
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let part = round_robin
            .next_part(&parts)
            .expect("the weights are above zero");
        *counts.entry(part.service.clone()).or_insert(0) += 1;
    }
    assert_eq!(counts["x"], 180);
    assert_eq!(counts["y"], 20);
}

#[test]
fn unreadable_policy_leaves_the_last_one_unconfirmed() {
    let mut copy = PolicyCopy::default();
    let policy = |version| TrafficPolicy {
        version,
        ..TrafficPolicy::default()
    };
    copy.apply(policy(7));
    copy.confirm(seconds(5));
    copy.note_undecodable();
    copy.confirm(seconds(6));
    assert!(
        !copy.is_fresh(seconds(6), seconds(60)),
        "the unread policy may withdraw keys"
    );
    assert_eq!(
        copy.policy()
            .expect("the last policy stays in force")
            .version,
        7
    );
    assert!(copy.apply(policy(8)));
    copy.confirm(seconds(7));
    assert!(copy.is_fresh(seconds(7), seconds(1)));
}

#[test]
fn entry_missing_after_an_outage_is_dropped_after_the_same_grace_period() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    roster.record_outage(seconds(10));
    // Expired entries are back within two seconds of the store's return; this one disappears later.
    roster.mark_unlisted(seconds(12), "t1");
    assert_eq!(roster.expire(seconds(13)), ["t1"]);
}

// Regression: the store's entry of a target that had announced its leaving in a response still said that it
// was ready, and the host continued to send to it.
#[test]
fn announced_leaving_outlives_entries_that_say_ready_but_not_the_incarnation() {
    let mut roster = roster();
    roster.upsert(seconds(1), entry("t1"));
    let record = roster.get_mut("t1").expect("a listed target");
    assert!(record.record_leaving());
    assert!(!record.record_leaving(), "known already");
    let later = TargetEntry {
        sequence: 1,
        ..entry("t1")
    };
    roster.upsert(seconds(2), later.clone());
    let accepts = |roster: &TargetRoster| {
        let record = roster.get("t1");
        record.is_some_and(|record| roster.accepts_requests(seconds(3), record))
    };
    assert!(!accepts(&roster));
    roster.mark_unlisted(seconds(3), "t1");
    roster.upsert(seconds(3), later);
    assert!(!accepts(&roster), "listed again by the same incarnation");
    let restarted = TargetEntry {
        started_ms: Some(2),
        ..entry("t1")
    };
    roster.upsert(seconds(3), restarted);
    assert!(accepts(&roster));
}

#[test]
fn pause_is_never_shortened_and_ends_by_itself() {
    let mut pause = TargetPause::default();
    assert!(!pause.is_active(seconds(1)));
    assert!(pause.extend(seconds(1), seconds(3)));
    assert!(
        !pause.extend(seconds(2), seconds(1)),
        "it is active already"
    );
    assert_eq!(pause.time_left(seconds(2)), seconds(2));
    assert!(!pause.is_active(seconds(4)));
    assert!(!pause.extend(seconds(5), Duration::ZERO));
    assert!(pause.extend(seconds(5), Duration::MAX));
}
