//! Copies of a host that the store does not serve, and to which a feeder hands changes on.

mod support;

use fighall_core::{clock::boot_time, log::quiet_logger};
use fighall_gateway::{
    follow::StoreFollower,
    knowledge::PolicyCopy,
    message::{FollowedKind, KindChanges},
    metrics::GatewayMetrics,
    names, native,
    router::RequestRouter,
};
use fighall_kernel::kernel::MicroKernel;
use fighall_store::{
    client::{ClientOptions, StoreClient},
    object::ObjectChange,
};
use fighall_testkit::{platform::PlatformStandIn, relay::FaultRelay};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use support::{new_router, target_entry};

const KIND: FollowedKind = FollowedKind::Targets;

struct TestFollower {
    store: PlatformStandIn,
    relay: Rc<FaultRelay>,
    router: Rc<RefCell<RequestRouter>>,
    follower: Rc<StoreFollower>,
}

fn new_kernel(store: SocketAddr) -> (Rc<MicroKernel>, Rc<RefCell<RequestRouter>>) {
    let router = new_router();
    let dialect = native::dialect();
    let client = StoreClient::new(ClientOptions::with_address(store.to_string()));
    let client = client.expect("a client").with_mapping(dialect.store);
    let kernel = MicroKernel::new();
    let registered = [
        kernel.register(names::DIALECT, Rc::new(dialect)),
        kernel.register(names::ROUTER, Rc::clone(&router)),
        kernel.register(names::POLICY, Rc::new(RefCell::new(PolicyCopy::default()))),
        kernel.register(names::STORE, Rc::new(client)),
        kernel.register(
            names::METRICS,
            Rc::new(GatewayMetrics::new().expect("metrics")),
        ),
        kernel.register(names::LOGGER, Rc::new(quiet_logger())),
    ];
    assert!(registered.iter().all(Result::is_ok));
    (kernel, router)
}

impl TestFollower {
    /// Starts a follower that has listed `targets` and that the store then no longer serves.
    async fn start_cut_off(targets: &[&str]) -> Self {
        let test = Self::start(targets).await;
        test.relay.set_target("127.0.0.1:9".to_owned());
        test.relay.reset();
        test
    }

    /// Starts a follower that has listed `targets`.
    async fn start(targets: &[&str]) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        for target in targets {
            support::list_target(&store, target, ([127, 0, 0, 1], 9_000).into());
        }
        let relay = FaultRelay::start(store.address().to_string()).await;
        let relay = Rc::new(relay.expect("a relay"));
        let (kernel, router) = new_kernel(relay.address());
        let follower = Rc::new(StoreFollower::new(&kernel).expect("a follower"));
        compio::runtime::spawn(Rc::clone(&follower).follow(KIND)).detach();
        compio::time::sleep(Duration::from_millis(500)).await;
        let test = Self {
            store,
            relay,
            router,
            follower,
        };
        for target in targets {
            assert!(test.takes_work(target), "{target} is listed");
        }
        test
    }

    fn takes_work(&self, target: &str) -> bool {
        let router = self.router.borrow();
        let record = router.roster.get(target);
        record.is_some_and(|record| router.roster.accepts_requests(boot_time(), record))
    }

    fn latest(&self) -> u64 {
        self.follower.marks(boot_time()).targets
    }

    fn hand_on(&self, previous: u64, changes: Vec<ObjectChange>) {
        let version = changes.last().map_or(previous, |change| change.version);
        self.follower.take_fed(KindChanges {
            kind: KIND,
            previous,
            version,
            changes,
        });
    }
}

fn leaving(target: &str, version: u64) -> ObjectChange {
    let entry = target_entry(target, ([127, 0, 0, 1], 9_000).into(), true);
    ObjectChange {
        name: target.to_owned(),
        version,
        value: Some(serde_json::to_string(&entry).expect("an entry")),
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Regression: a host that the store turned away had missed one message of its feeders. It took in none
// of the next ones, and sent to targets that had said seconds before that they leave (DRAIN).
#[test]
fn a_host_that_missed_a_message_takes_in_the_next_ones() {
    run(async {
        let test = TestFollower::start_cut_off(&["t1", "t2", "t3"]).await;
        let start = test.latest();
        // The message with change `start + 1` was lost.
        test.hand_on(start + 1, vec![leaving("t2", start + 2)]);
        assert!(!test.takes_work("t2"), "it is leaving");
        test.hand_on(start + 2, vec![leaving("t3", start + 3)]);
        assert!(!test.takes_work("t3"), "it is leaving");
        assert!(test.takes_work("t1"), "nothing was told of it");
    });
}

#[test]
fn what_a_missed_message_told_comes_from_the_other_feeder() {
    run(async {
        let test = TestFollower::start_cut_off(&["t1", "t2"]).await;
        let start = test.latest();
        test.hand_on(start + 1, vec![leaving("t2", start + 2)]);
        // The other feeder tells both at once, and later than what is known already.
        let changes = vec![leaving("t1", start + 1), leaving("t2", start + 2)];
        test.hand_on(start, changes);
        assert!(!test.takes_work("t1"), "it is leaving");
        assert!(!test.takes_work("t2"), "it is leaving");
    });
}

#[test]
fn the_store_tells_what_was_missed_once_it_answers_again() {
    run(async {
        let test = TestFollower::start_cut_off(&["t1", "t2"]).await;
        let start = test.latest();
        for target in ["t1", "t2"] {
            let change = leaving(target, 0);
            let value = change.value.expect("an entry");
            test.store.put(native::TARGETS, target, &value);
        }
        let second = test.store.get(native::TARGETS, "t2").expect("an object");
        test.hand_on(second.version - 1, vec![leaving("t2", second.version)]);
        assert!(second.version > start + 1, "one change was not handed on");
        assert!(test.takes_work("t1"), "nothing was told of it");
        test.relay.set_target(test.store.address().to_string());
        compio::time::sleep(Duration::from_secs(3)).await;
        assert!(!test.takes_work("t1"), "it is leaving");
    });
}

// Regression: a feeder tells up to which version of the store its changes are complete, which lies after
// the last change. Hosts took that for a change that they did not know, and asked the store again and
// again: 16,000 calls on a day that had made 5,000.
#[test]
fn a_host_that_knows_all_changes_asks_nothing() {
    run(async {
        let test = TestFollower::start(&["t1"]).await;
        compio::time::sleep(Duration::from_millis(1_000)).await;
        compio::runtime::spawn(Rc::clone(&test.follower).check()).detach();
        let start = test.latest();
        test.follower.take_fed(KindChanges {
            kind: KIND,
            previous: start,
            version: start + 9,
            changes: vec![leaving("t1", start + 1)],
        });
        let before = test.store.calls();
        compio::time::sleep(Duration::from_secs(3)).await;
        let asked = test.store.calls() - before;
        assert!(asked <= 1, "{asked} calls within 3 s");
    });
}
