//! Configuration, membership and hosts through outages, races and restarts.

mod support;

use fighall_config::{
    errors::Error as ConfigError,
    pointer::{ConfigPointer, POINTER_NAME},
    publish::read_pointer,
    source::ConfigDocument,
};
use fighall_core::clock::boot_time;
use fighall_entry::{
    configuration::ConfigService, members::MemberService, names, quotas::QuotaService,
};
use fighall_membership::lease::MemberKey;
use fighall_quota::slots::SlotPosition;
use fighall_store::object::kinds::{HOSTS, POINTERS};
use fighall_testkit::{
    cluster::{ClusterError, ClusterPlan, LocalCluster, loopback, organisation, to_json},
    faults::StoreFaults,
    load,
    platform::PlatformStandIn,
};
use std::{rc::Rc, time::Duration};
use support::{held_of, pair, records, run, small, stream, with_rates};

const SECOND: Duration = Duration::from_secs(1);

fn generations(cluster: &LocalCluster) -> Vec<u64> {
    let nodes = cluster.nodes.values();
    let found = nodes.map(|node| {
        let config = node
            .kernel()
            .find::<ConfigService>(names::CONFIGURATION)
            .unwrap();
        config.generation()
    });
    found.collect()
}

async fn in_force_within(cluster: &LocalCluster, generation: u64, bound: Duration) {
    let until = boot_time() + bound;
    while generations(cluster).iter().any(|found| *found < generation) {
        assert!(boot_time() < until, "{:?}", generations(cluster));
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_publication_is_in_force_everywhere_within_two_seconds() {
    run(async {
        let mut cluster = LocalCluster::start(ClusterPlan::default()).await.unwrap();
        for round in 2..8 {
            cluster.plan.organisations[0].rate += 10;
            let report = cluster.publish_all().await.unwrap();
            assert_eq!(report.generation, round);
            in_force_within(&cluster, round, SECOND * 2).await;
        }
    });
}

#[test]
fn a_publication_is_in_force_within_five_seconds_when_watches_end_silently() {
    run(async {
        let mut cluster = LocalCluster::start(pair()).await.unwrap();
        cluster.platform.set_faults(StoreFaults {
            silent_watches: true,
            ..StoreFaults::default()
        });
        compio::time::sleep(SECOND).await;
        cluster.plan.organisations[0].rate += 10;
        cluster.publish_all().await.unwrap();
        cluster.platform.set_faults(StoreFaults::default());
        in_force_within(&cluster, 2, SECOND * 5).await;
    });
}

#[test]
fn an_old_answer_of_the_store_reverts_nothing() {
    run(async {
        let mut cluster = LocalCluster::start(small()).await.unwrap();
        let old = cluster.platform.get(POINTERS, POINTER_NAME).unwrap();
        cluster.plan.organisations[0].rate += 10;
        cluster.publish_all().await.unwrap();
        in_force_within(&cluster, 2, SECOND * 2).await;
        cluster.platform.set_faults(StoreFaults {
            stale_reads: true,
            ..StoreFaults::default()
        });
        compio::time::sleep(SECOND * 3).await;
        assert_eq!(generations(&cluster), [2, 2, 2]);
        // Even a store that wrote the old pointer anew is not followed back.
        cluster.platform.set_faults(StoreFaults::default());
        cluster.platform.put(POINTERS, POINTER_NAME, &old.value);
        compio::time::sleep(SECOND * 3).await;
        assert_eq!(generations(&cluster), [2, 2, 2]);
        // A restarted host takes the generation that its peers have in force.
        cluster.stop_host("lima-0").await;
        cluster.start_host("lima-0", "lima", 0).await.unwrap();
        in_force_within(&cluster, 1, SECOND * 10).await;
    });
}

#[test]
fn of_racing_publications_one_wins_and_the_others_are_told_what_differs() {
    run(async {
        let cluster = LocalCluster::start(small()).await.unwrap();
        // Both read the pointer before either writes it, however long a new connection takes.
        cluster.platform.set_faults(StoreFaults {
            delay_ms: 100,
            ..StoreFaults::default()
        });
        let mut first = cluster.fleet_document();
        first.organisations.push(organisation("first", 5, 5));
        let mut second = cluster.fleet_document();
        second.organisations.push(organisation("second", 5, 5));
        let (one, two) = futures_util::join!(
            cluster.publish(vec![ConfigDocument::Fleet(first)]),
            cluster.publish(vec![ConfigDocument::Fleet(second)]),
        );
        let outcomes = [one, two];
        assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1);
        let lost = outcomes.into_iter().find_map(Result::err).unwrap();
        let ClusterError::Config {
            source: ConfigError::Conflict { changed, .. },
        } = lost
        else {
            panic!("{lost}");
        };
        assert_eq!(changed, "fleet");
    });
}

#[test]
fn a_publication_whose_answer_is_lost_is_accepted_once() {
    run(async {
        let mut cluster = LocalCluster::start(small()).await.unwrap();
        cluster.platform.set_faults(StoreFaults {
            lost_answer_percent: 50,
            ..StoreFaults::default()
        });
        for generation in 2..12 {
            cluster.plan.organisations[0].rate += 1;
            let report = cluster.publish_all().await.unwrap();
            assert_eq!(report.generation, generation);
        }
        cluster.platform.set_faults(StoreFaults::default());
        let stored = read_pointer(&cluster.store).await.unwrap();
        let pointer: ConfigPointer = stored.pointer;
        assert_eq!(pointer.generation, 11);
        let mut numbers: Vec<_> = pointer.history.iter().map(|row| row.generation).collect();
        numbers.sort_unstable();
        numbers.dedup();
        assert_eq!(numbers.len(), 11);
        in_force_within(&cluster, 11, SECOND * 3).await;
    });
}

#[test]
fn a_host_that_starts_while_the_store_is_down_boots_from_its_peers() {
    run(async {
        let mut cluster = LocalCluster::start(small()).await.unwrap();
        let before = generations(&cluster)[0];
        cluster.kill_host("lima-2");
        cluster.platform.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        // The new host knows the others by its settings alone.
        cluster.start_host("lima-7", "lima", 2).await.unwrap();
        let node = Rc::clone(&cluster.nodes["lima-7"]);
        let config = node
            .kernel()
            .find::<ConfigService>(names::CONFIGURATION)
            .unwrap();
        let until = boot_time() + SECOND * 10;
        while config.generation() < before {
            assert!(boot_time() < until, "no configuration from peers");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn a_holder_that_learns_of_its_successor_stops_spending() {
    run(async {
        let cluster = LocalCluster::start(small()).await.unwrap();
        let node = Rc::clone(&cluster.nodes["lima-1"]);
        let members = node.kernel().find::<MemberService>(names::MEMBERS).unwrap();
        let quotas = node.kernel().find::<QuotaService>(names::QUOTAS).unwrap();
        let member = members.member().unwrap();
        assert!(members.active_member(boot_time()).is_some());
        // Another process writes itself into the lease, as after a hand-over during a pause.
        let name = MemberKey::new("lima", member).object_name();
        let mut lease = members
            .leases()
            .into_iter()
            .find(|lease| lease.host == "lima-1")
            .unwrap();
        lease.host = "intruder".to_owned();
        lease.incarnation += 1;
        cluster.platform.put("members", &name, &to_json(&lease));
        compio::time::sleep(SECOND).await;
        assert_eq!(members.member(), None);
        assert!(members.active_member(boot_time()).is_none());
        let deadline = boot_time() + SECOND / 2;
        assert!(quotas.occupy("lima-t0", deadline).is_none());
        assert!(quotas.reserve("andes", deadline).await.is_err());
    });
}

#[test]
fn a_host_that_changes_its_member_id_holds_the_shares_of_the_new_one() {
    run(async {
        let plan = ClusterPlan {
            slots: 10,
            ..small()
        };
        let mut cluster = LocalCluster::start(plan).await.unwrap();
        let node = Rc::clone(&cluster.nodes["lima-1"]);
        let members = node.kernel().find::<MemberService>(names::MEMBERS).unwrap();
        let quotas = node.kernel().find::<QuotaService>(names::QUOTAS).unwrap();
        let old = members.member().unwrap();
        let name = MemberKey::new("lima", old).object_name();
        let mut lease = members
            .leases()
            .into_iter()
            .find(|lease| lease.host == "lima-1")
            .unwrap();
        lease.host = "intruder".to_owned();
        lease.incarnation += 1;
        cluster.platform.put("members", &name, &to_json(&lease));
        compio::time::sleep(SECOND / 2).await;
        assert_eq!(members.member(), None);
        // Another host leaves, and its id is free.
        cluster.stop_host("lima-0").await;
        let until = boot_time() + SECOND * 15;
        while members.active_member(boot_time()).is_none() {
            assert!(boot_time() < until, "no other id was taken");
            compio::time::sleep(Duration::from_millis(50)).await;
        }
        compio::time::sleep(SECOND / 2).await;
        let new = members.member().unwrap();
        assert_ne!(new, old);
        let mut differs = false;
        for target in cluster.targets.keys() {
            let share = |member| SlotPosition::rotated(target, member, 3).share(10);
            assert_eq!(quotas.slots(target).held, share(new), "{target}");
            differs |= share(new) != share(old);
        }
        assert!(differs, "the test tells the ids apart");
    });
}

fn held_slots(cluster: &LocalCluster, target: &str) -> u32 {
    let nodes = cluster.nodes.values();
    let held = nodes.map(|node| {
        let quotas = node.kernel().find::<QuotaService>(names::QUOTAS).unwrap();
        quotas.slots(target).held
    });
    held.sum()
}

async fn watch_shares(cluster: &LocalCluster, time: Duration, rate: f64, burst: f64) {
    let until = boot_time() + time;
    while boot_time() < until {
        let held = held_of(cluster, "andes");
        assert!(held.0 <= rate && held.1 <= burst, "{held:?}");
        for target in cluster.targets.keys() {
            let slots = held_slots(cluster, target);
            assert!(slots <= cluster.plan.slots, "{target}: {slots} slots");
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn a_region_that_grows_leaves_every_sum_of_shares_within_its_limit() {
    run(async {
        let plan = with_rates(pair(), &[("andes", 300, 60)]);
        let mut cluster = LocalCluster::start(plan).await.unwrap();
        watch_shares(&cluster, SECOND, 300.0, 60.0).await;
        let mut fleet = cluster.fleet_document();
        fleet.regions[0].members += 1;
        let documents = vec![ConfigDocument::Fleet(fleet)];
        cluster.publish(documents).await.unwrap();
        watch_shares(&cluster, SECOND, 300.0, 60.0).await;
        cluster.start_host("lima-3", "lima", 3).await.unwrap();
        watch_shares(&cluster, SECOND * 9, 300.0, 60.0).await;
        // All raises have settled: nothing of any quota is lost.
        assert_eq!(held_of(&cluster, "andes"), (300.0, 60.0));
        for target in cluster.targets.keys() {
            assert_eq!(held_slots(&cluster, target), cluster.plan.slots);
        }
    });
}

#[test]
fn hosts_replaced_amid_a_change_of_holders_leave_the_sum_within_the_larger_limit() {
    run(async {
        // Twelve tokens are held by three of six members, twenty by five.
        let plan = with_rates(pair(), &[("andes", 300, 12)]);
        let mut cluster = LocalCluster::start(plan).await.unwrap();
        assert_eq!(held_of(&cluster, "andes"), (300.0, 12.0));
        cluster.plan.organisations[0].burst = 20;
        cluster.publish_all().await.unwrap();
        for (region, index) in [("lima", 0), ("arequipa", 1)] {
            let name = format!("{region}-{index}");
            cluster.stop_host(&name).await;
            cluster.start_host(&name, region, index).await.unwrap();
            watch_shares(&cluster, SECOND * 3, 300.0, 20.0).await;
        }
        watch_shares(&cluster, SECOND * 9, 300.0, 20.0).await;
        assert_eq!(held_of(&cluster, "andes"), (300.0, 20.0));
    });
}

#[test]
fn tokens_of_requests_that_wait_for_a_slot_stay_with_them() {
    run(async {
        // A burst of four lies with one host; the requests come in at all three.
        let plan = with_rates(small(), &[("andes", 2, 4)]);
        let cluster = LocalCluster::start(plan).await.unwrap();
        compio::time::sleep(SECOND * 3).await;
        for node in cluster.nodes.values() {
            let quotas = node.kernel().find::<QuotaService>(names::QUOTAS).unwrap();
            let deadline = boot_time() + SECOND * 10;
            let mut reservations = Vec::new();
            for _ in 0..4 {
                reservations.push(quotas.reserve("andes", deadline).await.unwrap());
            }
            // The demand is over, and the requests still wait for their slots.
            compio::time::sleep(SECOND * 3 / 2).await;
            let redeemed_at = boot_time();
            for reservation in reservations {
                quotas.redeem(reservation, deadline).await.unwrap();
            }
            let waited = boot_time().saturating_sub(redeemed_at);
            assert!(
                waited < SECOND / 10,
                "waited {waited:?} for reserved tokens"
            );
            compio::time::sleep(SECOND * 3).await;
        }
    });
}

#[test]
fn two_spare_hosts_that_want_one_id_do_not_both_get_it() {
    run(async {
        let mut cluster = LocalCluster::start(small()).await.unwrap();
        cluster.kill_host("lima-2");
        cluster.platform.delete(HOSTS, "lima-2");
        for name in ["lima-8", "lima-9"] {
            cluster.start_host(name, "lima", 2).await.unwrap();
        }
        compio::time::sleep(SECOND * 12).await;
        let mut holders = Vec::new();
        for (name, node) in &cluster.nodes {
            let members = node.kernel().find::<MemberService>(names::MEMBERS).unwrap();
            holders.extend(members.member().map(|member| (member, name.clone())));
        }
        holders.sort();
        let ids: Vec<_> = holders.iter().map(|(member, _)| *member).collect();
        assert_eq!(ids, [0, 1, 2], "{holders:?}");
    });
}

#[test]
fn a_lowered_rate_binds_within_seconds_and_in_no_window_is_the_larger_exceeded() {
    run(async {
        let plan = with_rates(small(), &[("andes", 200, 40)]);
        let mut cluster = LocalCluster::start(plan).await.unwrap();
        let mut row = stream(&cluster, "andes", "GET", 400.0);
        row.marked = false;
        let entries = cluster.entries();
        let load =
            compio::runtime::spawn(async move { load::run(&[row], &entries, SECOND * 12).await });
        compio::time::sleep(SECOND * 4).await;
        cluster.plan.organisations[0].rate = 50;
        cluster.publish_all().await.unwrap();
        let lowered_at = boot_time();
        load.await.unwrap();
        let mut starts = Vec::new();
        for record in records(&cluster) {
            starts.extend(record.starts.get("andes").cloned().unwrap_or_default());
        }
        starts.sort_unstable();
        assert_windows(&starts, 200, 40);
        // The loan time, the spread of the change, and a margin.
        let settled = lowered_at + SECOND * 5;
        let settled = u64::try_from(settled.as_micros()).unwrap();
        let late: Vec<_> = starts.into_iter().filter(|at| *at > settled).collect();
        assert!(late.len() > 50, "{}", late.len());
        assert_windows(&late, 50, 40);
    });
}

/// Checks that no window holds more than the rate brings plus the burst.
fn assert_windows(starts: &[u64], rate: u64, burst: u64) {
    let mut level = 0_u64;
    let mut last = starts.first().copied().unwrap_or(0);
    for at in starts {
        // Levels are in millionths of a request.
        level = level.saturating_sub((at - last) * rate) + 1_000_000;
        last = *at;
        assert!(
            level <= burst * 1_000_000,
            "a window holds {level} millionths at once"
        );
    }
}

#[test]
fn a_store_that_comes_back_meets_no_storm_of_calls() {
    run(async {
        let cluster = LocalCluster::start(ClusterPlan::default()).await.unwrap();
        cluster.platform.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
        compio::time::sleep(SECOND * 5).await;
        cluster.platform.set_faults(StoreFaults::default());
        let before = cluster.platform.calls();
        compio::time::sleep(SECOND).await;
        let calls = cluster.platform.calls() - before;
        // The platform takes two thousand reads a second; nine hosts have forty calls each.
        assert!(calls <= 9 * 40, "{calls} calls in the first second");
    });
}

#[test]
fn an_address_already_in_use_is_a_typed_error() {
    run(async {
        let platform = PlatformStandIn::start(loopback(), 1).await.unwrap();
        let store = platform.address().to_string();
        let mut settings =
            fighall_entry::settings::EntrySettings::with_host("a", "lima", "lima-a", &store);
        settings.callers = platform.address();
        let logger = fighall_core::log::discarding_logger();
        let started = fighall_entry::node::EntryNode::start(settings, logger).await;
        let error = started.unwrap_err().to_string();
        assert!(error.contains("listening on"), "{error}");
    });
}
