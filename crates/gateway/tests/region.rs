//! Several gateways of one region: how they share what the store tells.

mod support;

use fighall_core::rendezvous;
use fighall_gateway::{fleet::relays::RELAY_KEY, native::TARGETS};
use fighall_testkit::{faults::StoreFaults, platform::PlatformStandIn, relay::FaultRelay};
use std::{net::SocketAddr, rc::Rc, time::Duration};
use support::{KEY, TestFleet, put_target, send, settings, start_gateway};

const BOUND: Duration = Duration::from_secs(1);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Starts further gateways beside the fleet's own; gives their addresses for callers.
async fn add_hosts(store: SocketAddr, count: usize) -> Vec<SocketAddr> {
    let names: Vec<_> = (0..count)
        .map(|number| format!("h{}", number + 2))
        .collect();
    add_named_hosts(store, &names).await
}

// Names of hosts that are picked as feeders before the fleet's own host is.
fn feeders_before_own(count: usize) -> Vec<String> {
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
    let client = cyper::Client::new().expect("a client");
    let mut statuses = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        let mark = format!("{mark}-{number}");
        let answer = send(&client, *host, path, &mark, KEY).await;
        statuses.push(answer.expect("an answer").status);
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
        let quiet = calls_of(&fleet.store) - before;
        // Two feeders confirm the policy once a second.
        assert!(quiet <= 8, "{quiet} calls of six hosts within 3 s");
        fleet
            .publish(|policy| {
                policy.keys.clear();
            })
            .await;
        compio::time::sleep(BOUND).await;
        assert_eq!(statuses(&hosts, "/read/a", "m2").await, [401; 6]);
        let changed = calls_of(&fleet.store) - before - quiet;
        assert!(changed <= 10, "{changed} calls for one change");
    });
}

#[test]
fn a_region_whose_feeders_hear_nothing_asks_the_store_itself() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        // All hosts but the last two reach the store through a relay.
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("a relay"));
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
        // The host that the store serves knows, whoever the feeders were.
        let last = hosts.last().copied().expect("a host");
        assert_eq!(statuses(&[last], "/read/a", "m1").await, [401]);
        // The others refuse by then or a little later, and never run the request.
        compio::time::sleep(Duration::from_millis(3_000)).await;
        for status in statuses(&hosts, "/read/a", "m2").await {
            assert!(status == 401 || status == 503, "{status}");
        }
        fleet.store.set_faults(StoreFaults::default());
    });
}

// Regression: both feeders of a region were turned away by the store. The hosts that it served asked
// it themselves but handed nothing on, and the others sent to a target 3 s after it had said that it
// leaves (DRAIN).
#[test]
fn hosts_that_the_store_serves_feed_those_that_it_turns_away() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("a relay"));
        let cut = add_named_hosts(relay.address(), &feeders_before_own(5)).await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        relay.silence();
        relay.set_target("127.0.0.1:9".to_owned());
        // A call that waits for changes is given up some 3 s after its start.
        compio::time::sleep(Duration::from_millis(4_000)).await;
        fleet
            .publish(|policy| {
                policy.keys.clear();
            })
            .await;
        compio::time::sleep(BOUND).await;
        assert_eq!(statuses(&cut, "/read/a", "m1").await, [401; 5]);
    });
}

// Regression: both feeders of a region were cut off at once. The other hosts, which the store served,
// took themselves for fed for 2 s more, and one sent to a target 3.06 s after it had said that it leaves
// (DRAIN). On another day a host took the store for away just then, and kept a target for 2.2 s that was
// gone from the list.
#[test]
fn a_region_that_loses_its_feeders_hears_of_leaving_targets_in_time() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let relay = FaultRelay::start(fleet.store.address().to_string()).await;
        let relay = Rc::new(relay.expect("a relay"));
        add_named_hosts(relay.address(), &feeders_before_own(2)).await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        for round in 0..4 {
            let mark = format!("open-{round}");
            assert_eq!(statuses(&[fleet.callers], "/read/a", &mark).await, [200]);
            // The feeders' calls are at another stage in each round.
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
