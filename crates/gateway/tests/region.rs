//! Several gateways of one region, of which two watch the store and forward changes to the others.

mod support;

use fighall_core::rendezvous;
use fighall_gateway::{fleet::relays::RELAY_KEY, native::TARGETS};
use fighall_testkit::{faults::StoreFaults, platform::PlatformStandIn, relay::FaultRelay};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use support::{KEY, TestFleet, put_target, send, settings, start_gateway};

const FORWARDING_TIME: Duration = Duration::from_secs(1);
/// Time within which a copy of each kind is confirmed after a change of another kind.
const CONFIRMATION_BOUND: Duration = Duration::from_secs(6);
/// Time after which a target that is gone gets no requests.
const DRAIN_BOUND: Duration = Duration::from_millis(2_500);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(test);
}

// Starts further gateways beside that of the fleet. Returns their addresses for callers.
async fn add_hosts(store: SocketAddr, count: usize) -> Vec<SocketAddr> {
    let names: Vec<_> = (0..count)
        .map(|number| format!("h{}", number + 2))
        .collect();
    add_named_hosts(store, &names).await
}

// Generates names of hosts that are chosen as store watchers before the fleet's host `h1`.
fn names_of_store_watchers_before_own(count: usize) -> Vec<String> {
    let mut names = Vec::new();
    for number in 2.. {
        let pair = ["h1".to_owned(), format!("h{number}")];
        let first = rendezvous::top(RELAY_KEY, &pair, 1, String::as_str);
        if first == [&pair[1]] {
            names.push(pair[1].clone());
        }
        if names.len() == count {
            break;
        }
    }
    names
}

async fn add_named_hosts(store: SocketAddr, names: &[String]) -> Vec<SocketAddr> {
    let mut callers = Vec::new();
    for name in names {
        let (_, settings) = settings(name, store, "");
        callers.push(settings.callers);
        start_gateway(settings).await;
    }
    callers
}

async fn statuses(hosts: &[SocketAddr], path: &str, mark: &str) -> Vec<u16> {
    let client = cyper::Client::new().expect("the client should be created");
    let mut statuses = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let mark = format!("{mark}-{number}");
        let response = send(&client, *host, path, &mark, KEY).await;
        statuses.push(response.expect("the request should get a response").status);
    }
    statuses
}

fn calls_of(store: &PlatformStandIn) -> u64 {
    store.calls()
}

#[test]
fn two_hosts_of_a_region_call_the_store_for_all_and_changes_reach_all() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let mut hosts = vec![fleet.callers];
        hosts.extend(add_hosts(fleet.store.address(), 5).await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        assert_eq!(statuses(&hosts, "/read/a", "m1").await, [200; 6]);
        let before = calls_of(&fleet.store);
        compio::time::sleep(Duration::from_secs(3)).await;
        let idle_calls = calls_of(&fleet.store) - before;
        // Two store watchers confirm the policy about once per second each.
        assert!(
            idle_calls <= 8,
            "{idle_calls} calls of six hosts within 3 s"
        );
        fleet
            .publish(|policy| {
                policy.keys.clear();
            })
            .await;
        compio::time::sleep(FORWARDING_TIME).await;
        assert_eq!(statuses(&hosts, "/read/a", "m2").await, [401; 6]);
        let change_calls = calls_of(&fleet.store) - before - idle_calls;
        assert!(change_calls <= 10, "{change_calls} calls for one change");
    });
}

#[test]
fn hosts_query_the_store_when_their_store_watchers_lose_it() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        // All hosts but the last reach the store through a relay.
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("the relay should start"));
        let mut hosts = add_hosts(relay.address(), 3).await;
        hosts.push(fleet.callers);
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        relay.silence();
        relay.set_target("127.0.0.1:9".to_owned());
        fleet
            .publish(|policy| {
                policy.keys.clear();
            })
            .await;
        compio::time::sleep(Duration::from_millis(2_500)).await;
        // The host that reaches the store has the new policy, whichever hosts were the store watchers.
        let last = hosts
            .last()
            .copied()
            .expect("at least one host should be running");
        assert_eq!(statuses(&[last], "/read/a", "m1").await, [401]);
        // The others refuse requests with the withdrawn key, at the latest now.
        compio::time::sleep(Duration::from_millis(3_000)).await;
        for status in statuses(&hosts, "/read/a", "m2").await {
            assert!(status == 401 || status == 503, "{status}");
        }
        fleet.store.set_faults(StoreFaults::default());
    });
}

// Regression: both store watchers of a region lost the store. The hosts that still reached it queried it
// but forwarded nothing, and the others sent requests to a target 3 s after it had announced that it was
// leaving, which violates the drain bound.
#[test]
fn hosts_that_reach_the_store_forward_changes_to_those_that_do_not() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("the relay should start"));
        let cut_off =
            add_named_hosts(relay.address(), &names_of_store_watchers_before_own(5)).await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        relay.silence();
        relay.set_target("127.0.0.1:9".to_owned());
        // A watch call times out some 3 s after its start.
        compio::time::sleep(Duration::from_millis(4_000)).await;
        fleet
            .publish(|policy| {
                policy.keys.clear();
            })
            .await;
        compio::time::sleep(FORWARDING_TIME).await;
        assert_eq!(statuses(&cut_off, "/read/a", "m1").await, [401; 5]);
    });
}

// Regression: both store watchers of a region lost the store at the same time. The other hosts, which
// reached it, relied on these store watchers for 2 s more, and one sent requests to a target 3.06 s after
// it had announced that it was leaving, which violates the drain bound. In another run a host took the
// store for unreachable at that moment and kept a target for 2.2 s after it had been deleted from the
// list.
#[test]
fn leaving_targets_are_noticed_in_time_when_all_store_watchers_lose_the_store() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("the relay should start"));
        add_named_hosts(relay.address(), &names_of_store_watchers_before_own(2)).await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        for round in 0..4 {
            let mark = format!("open-{round}");
            assert_eq!(statuses(&[fleet.callers], "/read/a", &mark).await, [200]);
            // Each round cuts the store watchers off at another point of their watch calls.
            compio::time::sleep(Duration::from_millis(230 * round)).await;
            relay.silence();
            relay.set_target("127.0.0.1:9".to_owned());
            if round % 2 == 0 {
                put_target(&fleet.store, "t0", fleet.targets[0].address(), true);
            } else {
                fleet.store.delete(TARGETS, "t0");
            }
            compio::time::sleep(Duration::from_millis(2_100)).await;
            let mark = format!("left-{round}");
            assert_eq!(statuses(&[fleet.callers], "/read/a", &mark).await, [503]);
            relay.set_target(fleet.store.address().to_string());
            put_target(&fleet.store, "t0", fleet.targets[0].address(), false);
            compio::time::sleep(Duration::from_millis(4_000)).await;
        }
    });
}

// Regression: hosts that do not watch the store used a removed target for 12 s if only a list showed its removal.
#[test]
fn removal_that_only_a_list_shows_reaches_all_hosts_within_the_drain_bound() {
    run(async {
        let fleet = TestFleet::start(2, "").await;
        let mut hosts = vec![fleet.callers];
        hosts.extend(add_hosts(fleet.store.address(), 4).await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        let runs = || fleet.targets[0].with_record(|record| record.started);
        for number in 0..10 {
            let path = format!("/read/{number}");
            let mark = format!("before-{number}");
            assert_eq!(statuses(&hosts, &path, &mark).await, [200; 5]);
        }
        assert!(runs() > 0, "the target is used by then");
        fleet.store.delete_with_history(TARGETS, "t0");
        compio::time::sleep(DRAIN_BOUND).await;
        let before = runs();
        for number in 0..10 {
            let path = format!("/read/{number}");
            let mark = format!("after-{number}");
            assert_eq!(statuses(&hosts, &path, &mark).await, [200; 5]);
        }
        assert_eq!(runs() - before, 0, "requests at the removed target");
        // Until then each kind is watched again once, since the store has changed.
        compio::time::sleep(CONFIRMATION_BOUND).await;
        let calls_before = calls_of(&fleet.store);
        compio::time::sleep(Duration::from_secs(3)).await;
        let idle_calls = calls_of(&fleet.store) - calls_before;
        assert!(idle_calls <= 8, "{idle_calls} calls within 3 s afterwards");
    });
}

// Text of random letters, which does not get smaller when it is compressed by much.
fn random_text(random: &mut fastrand::Rng, length: usize) -> String {
    (0..length).map(|_| random.alphanumeric()).collect()
}

// Writes entries of another writer, then lets the only target leave, and checks that no host uses it after the bound.
async fn expect_drain_behind(shown: &str, entries: &[(String, String)]) {
    let fleet = TestFleet::start(1, "").await;
    let mut hosts = vec![fleet.callers];
    hosts.extend(add_hosts(fleet.store.address(), 3).await);
    fleet.publish(|_| {}).await;
    compio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(statuses(&hosts, "/read/a", "m1").await, [200; 4], "{shown}");
    for (name, value) in entries {
        fleet.store.put(TARGETS, name, value);
    }
    put_target(&fleet.store, "t0", fleet.targets[0].address(), true);
    compio::time::sleep(DRAIN_BOUND).await;
    assert_eq!(statuses(&hosts, "/read/a", "m2").await, [503; 4], "{shown}");
}

#[test]
fn a_drain_reaches_all_hosts_behind_entries_that_fit_no_message() {
    run(async {
        let mut random = fastrand::Rng::with_seed(1);
        let large = vec![("foreign".to_owned(), random_text(&mut random, 1_000_000))];
        expect_drain_behind("a value of 1 MB", &large).await;
        let compressible = vec![("foreign".to_owned(), "a".repeat(1_040_000))];
        expect_drain_behind("a value that compresses", &compressible).await;
        let mut names = Vec::new();
        for _ in 0..100 {
            names.push((random_text(&mut random, 4_000), "foreign".to_owned()));
        }
        expect_drain_behind("names of 4 KB", &names).await;
    });
}
