//! Gateways after the store was restored from an older copy: they keep what is in force, and nothing that
//! had been withdrawn takes effect again.

mod support;

use fighall_gateway::{
    native::{EVACUATIONS, MAIN_POLICY, POLICIES, TARGETS},
    policy::TrafficPolicy,
    registry::{HOSTS_KIND, HostEntry},
    roster::TargetEntry,
};
use fighall_testkit::{
    faults::StoreFaults,
    platform::{PlatformStandIn, StoreCopy},
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};
use support::{KEY, TestFleet, policy, send, settings, start_gateway, target_entry};

/// Time within which a host has to detect a new era.
const ERA_DETECTION_TIME: Duration = Duration::from_millis(2_000);
/// Time for which a host that starts waits for heartbeats if nobody who may know more responds.
const HEARTBEAT_GRACE: Duration = Duration::from_millis(800);
/// Time after which a host that starts is given up.
const START_LIMIT: Duration = Duration::from_secs(5);
/// Time after which objects that are missing in the store count as deleted.
const DELETION_TIME: Duration = Duration::from_millis(5_000);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(test);
}

async fn status(fleet: &TestFleet, path: &str, mark: &str, key: &str) -> u16 {
    let client = cyper::Client::new().expect("the client should be created");
    let response = send(&client, fleet.callers, path, mark, key).await;
    response.expect("the request should get a response").status
}

fn write_entry(fleet: &TestFleet, target: usize, sequence: u64, leaving: bool) {
    let entry = TargetEntry {
        started_ms: Some(7),
        sequence,
        ..target_entry(
            &format!("t{target}"),
            fleet.targets[target].address(),
            leaving,
        )
    };
    let text = serde_json::to_string(&entry).expect("the entry should be encodable");
    fleet.store.put(TARGETS, &entry.name, &text);
}

async fn restore(fleet: &TestFleet, copy: StoreCopy) {
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    compio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.restore(copy);
    fleet.store.set_faults(StoreFaults::default());
}

fn without_key(policy: &mut TrafficPolicy) {
    policy.keys.clear();
    policy.keys.insert("fk_next".to_owned(), "andes".to_owned());
}

#[test]
fn a_withdrawn_key_stays_rejected_and_the_next_policy_is_applied() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        let copy = fleet.store.copy();
        fleet.publish(without_key).await;
        assert_eq!(status(&fleet, "/read/a", "m1", KEY).await, 401);
        restore(&fleet, copy).await;
        for round in 0..20 {
            let mark = format!("r{round}");
            assert_ne!(status(&fleet, "/read/a", &mark, KEY).await, 200);
            assert_eq!(fleet.runs(&mark), 0);
            let next_status = status(&fleet, "/read/a", &format!("k{round}"), "fk_next").await;
            assert_eq!(next_status, 200, "the policy in force stays");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        // The store assigns the next policy a revision that it had assigned before the restore.
        fleet
            .publish(|policy| {
                without_key(policy);
                policy
                    .keys
                    .insert("fk_third".to_owned(), "andes".to_owned());
            })
            .await;
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert_eq!(status(&fleet, "/read/a", "m3", "fk_third").await, 200);
        assert_eq!(status(&fleet, "/read/a", "m4", KEY).await, 401);
    });
}

// The store may have lost policies that are later than the one in force, and the keys that they withdrew
// must be rejected within the revocation bound.
#[test]
fn a_policy_that_the_store_lost_counts_as_unconfirmed() {
    run(async {
        let fleet = TestFleet::start(1, "\"revoke=3000\"").await;
        fleet.publish(|_| {}).await;
        let copy = fleet.store.copy();
        fleet.publish(without_key).await;
        restore(&fleet, copy).await;
        compio::time::sleep(Duration::from_millis(3_500)).await;
        assert_eq!(status(&fleet, "/read/a", "m1", "fk_next").await, 503);
        fleet.publish(without_key).await;
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert_eq!(status(&fleet, "/read/a", "m2", "fk_next").await, 200);
    });
}

// Sends requests with the withdrawn key to a host that starts, until `time` is over. Returns how many ran.
async fn runs_at_start(fleet: &TestFleet, callers: SocketAddr, time: Duration) -> u32 {
    let client = cyper::Client::new().expect("the client should be created");
    let started_at = Instant::now();
    let (mut number, mut runs) = (0, 0);
    while started_at.elapsed() < time {
        number += 1;
        let mark = format!("start-{number}");
        // The host may not accept connections yet.
        let _ = send(&client, callers, "/read/a", &mark, KEY).await;
        runs += fleet.runs(&mark);
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    runs
}

// Regression: a host that started after the store had come back from an older copy served a withdrawn key until the first
// heartbeat of another host.
#[test]
fn a_host_that_starts_after_a_restore_serves_no_key_that_others_know_to_be_withdrawn() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        let copy = fleet.store.copy();
        fleet.publish(without_key).await;
        restore(&fleet, copy).await;
        let (_, settings) = settings("h2", fleet.store.address(), "");
        let callers = settings.callers;
        let host = start_gateway(settings).await;
        let runs = runs_at_start(&fleet, callers, Duration::from_millis(1_500)).await;
        assert_eq!(runs, 0, "requests with the withdrawn key ran");
        assert!(!host.is_ready(), "the store has an older policy");
        fleet.publish(without_key).await;
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert!(host.is_ready());
        let client = cyper::Client::new().expect("the client should be created");
        let response = send(&client, callers, "/read/a", "next", "fk_next").await;
        assert_eq!(response.expect("a response").status, 200);
    });
}

// Starts a host in a later era of the store and gets the time until it is ready.
async fn ready_time(fleet: &TestFleet, host: &str) -> Duration {
    let (_, settings) = settings(host, fleet.store.address(), "");
    let started_at = Instant::now();
    let host = start_gateway(settings).await;
    while !host.is_ready() && started_at.elapsed() < START_LIMIT {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    started_at.elapsed()
}

async fn start_restored_fleet() -> TestFleet {
    let fleet = TestFleet::start(1, "").await;
    fleet.publish(|_| {}).await;
    restore(&fleet, fleet.store.copy()).await;
    compio::time::sleep(ERA_DETECTION_TIME).await;
    fleet
}

// Adds the entry of a host whose messages arrive at `peers`.
fn add_host_entry(store: &PlatformStandIn, host: &str, peers: SocketAddr) {
    let entry = HostEntry {
        host: host.to_owned(),
        incarnation: 1,
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        callers: peers,
        peers,
    };
    let text = serde_json::to_string(&entry).expect("the entry should be encodable");
    store.put(HOSTS_KIND, host, &text);
}

// The longest wait: for the answers of hosts, 0.3 s, within the grace for heartbeats, 0.8 s.
#[test]
fn a_host_starts_in_time_whether_others_respond_or_are_dead_or_silent() {
    run(async {
        let fleet = start_restored_fleet().await;
        let calm = ready_time(&fleet, "h2").await;
        assert!(calm < HEARTBEAT_GRACE, "others respond: {calm:?}");
        let ended = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = ended.local_addr().expect("an address");
        drop(ended);
        add_host_entry(&fleet.store, "h-dead", address);
        let dead = ready_time(&fleet, "h3").await;
        assert!(dead < HEARTBEAT_GRACE, "one is dead: {dead:?}");
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = silent.local_addr().expect("an address");
        add_host_entry(&fleet.store, "h-silent", address);
        let one_silent = ready_time(&fleet, "h4").await;
        assert!(
            one_silent < HEARTBEAT_GRACE,
            "one is silent: {one_silent:?}"
        );
    });
}

// Hosts that start together have nobody who knows more; with silent ones they wait for heartbeats.
#[test]
fn hosts_start_in_time_when_nobody_has_served_before() {
    run(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let text = serde_json::to_string(&policy(1)).expect("a policy");
        store.put(POLICIES, MAIN_POLICY, &text);
        store.restore(store.copy());
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
        let peers = silent.local_addr().expect("an address");
        for has_silent in [false, true] {
            if has_silent {
                add_host_entry(&store, "h-silent", peers);
            }
            let started_at = Instant::now();
            let mut hosts = Vec::new();
            for number in 0..4 {
                let name = format!("h{has_silent}{number}");
                let (_, settings) = settings(&name, store.address(), "");
                hosts.push(start_gateway(settings).await);
            }
            while !hosts.iter().all(|host| host.is_ready()) && started_at.elapsed() < START_LIMIT {
                compio::time::sleep(Duration::from_millis(5)).await;
            }
            let elapsed = started_at.elapsed();
            assert!(
                elapsed < HEARTBEAT_GRACE + ERA_DETECTION_TIME,
                "{elapsed:?}"
            );
        }
    });
}

#[test]
fn departed_targets_get_no_requests_and_the_others_stay() {
    run(async {
        let fleet = TestFleet::start(4, "").await;
        for target in 0..4 {
            write_entry(&fleet, target, 3, false);
        }
        fleet.publish(|_| {}).await;
        let copy = fleet.store.copy();
        // t1 is leaving, t2 has left after announcing it, and t3 has left unannounced.
        write_entry(&fleet, 1, 4, true);
        write_entry(&fleet, 2, 4, true);
        compio::time::sleep(Duration::from_millis(400)).await;
        fleet.store.delete(TARGETS, "t2");
        fleet.store.delete(TARGETS, "t3");
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let runs_at = |target: usize| {
            fleet.targets[target].with_record(|record| record.runs.values().sum::<u32>())
        };
        let before = [1, 2, 3].map(runs_at);
        restore(&fleet, copy).await;
        for round in 0..20 {
            let mark = format!("r{round}");
            assert_eq!(status(&fleet, "/read/a", &mark, KEY).await, 200);
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(
            [1, 2, 3].map(runs_at),
            before,
            "leaving and departed targets get no requests"
        );
        // The lost writes are repeated.
        write_entry(&fleet, 1, 4, true);
        fleet.store.delete(TARGETS, "t2");
        fleet.store.delete(TARGETS, "t3");
        compio::time::sleep(DELETION_TIME).await;
        assert_eq!(status(&fleet, "/read/b", "m1", KEY).await, 200);
        assert_eq!([1, 2, 3].map(runs_at), before);
    });
}

#[test]
fn an_evacuation_that_the_store_lost_stays_in_force_until_it_is_written_again() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        let copy = fleet.store.copy();
        fleet.store.put(EVACUATIONS, "lima-a", "{}");
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert_eq!(status(&fleet, "/read/a", "m1", KEY).await, 503);
        restore(&fleet, copy.clone()).await;
        compio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(status(&fleet, "/read/a", "m2", KEY).await, 503);
        fleet.store.put(EVACUATIONS, "lima-a", "{}");
        compio::time::sleep(DELETION_TIME).await;
        assert_eq!(status(&fleet, "/read/a", "m3", KEY).await, 503);
        // The evacuation ends if nobody writes it again.
        restore(&fleet, copy).await;
        compio::time::sleep(DELETION_TIME).await;
        assert_eq!(status(&fleet, "/read/a", "m4", KEY).await, 200);
    });
}

#[test]
fn a_host_registers_again_after_each_of_two_restores() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        let copy = fleet.store.copy();
        fleet.publish(|_| {}).await;
        let policy = fleet
            .store
            .get(POLICIES, MAIN_POLICY)
            .expect("the policy should be stored");
        for _ in 0..2 {
            restore(&fleet, copy.clone()).await;
            assert_eq!(
                fleet.store.count(HOSTS_KIND),
                0,
                "the restored store lacks the entry"
            );
            fleet.store.put(POLICIES, MAIN_POLICY, &policy.value);
            compio::time::sleep(ERA_DETECTION_TIME).await;
            assert_eq!(fleet.store.count(HOSTS_KIND), 1);
        }
        fleet.gateway.stop().await;
        assert_eq!(
            fleet.store.count(HOSTS_KIND),
            0,
            "a planned stop deletes it"
        );
    });
}

// Regression: a host that started after the restore read a policy that still contained a withdrawn key, and
// served requests with that key.
#[test]
fn a_host_started_after_a_restore_does_not_serve_a_replaced_policy() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(Duration::from_millis(500)).await;
        let copy = fleet.store.copy();
        fleet.publish(without_key).await;
        restore(&fleet, copy).await;
        compio::time::sleep(ERA_DETECTION_TIME).await;
        let (_, settings) = settings("h2", fleet.store.address(), "");
        let callers = settings.callers;
        let second = start_gateway(settings).await;
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert!(
            !second.is_ready(),
            "the other host has a later policy in force"
        );
        let client = cyper::Client::new().expect("the client should be created");
        let response = send(&client, callers, "/read/a", "m1", KEY).await;
        assert_eq!(
            response.expect("the request should get a response").status,
            503
        );
        assert_eq!(fleet.runs("m1"), 0);
        let mut next = policy(9);
        without_key(&mut next);
        let text = serde_json::to_string(&next).expect("the policy should be encodable");
        fleet.store.put(POLICIES, MAIN_POLICY, &text);
        compio::time::sleep(ERA_DETECTION_TIME).await;
        assert!(second.is_ready());
        let response = send(&client, callers, "/read/a", "m2", "fk_next").await;
        assert_eq!(
            response.expect("the request should get a response").status,
            200
        );
    });
}
