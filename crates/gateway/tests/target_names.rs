//! Targets whose names cannot be sent in a header.

mod support;

use fighall_testkit::{behaviour::TargetBehaviour, target::TargetStandIn};
use std::{net::SocketAddr, time::Duration};
use support::{KEY, TestFleet, list_target, send};

/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(test);
}

#[test]
fn no_request_is_sent_without_the_name_of_the_target_that_may_run_it() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut targets = Vec::new();
        for name in ["", " ", "t\u{1}", "t\n", "t\u{7f}", " t", "t "] {
            let target = TargetStandIn::start("t0", loopback, TargetBehaviour::default()).await;
            let target = target.expect("the target should start");
            list_target(&fleet.store, name, target.address());
            targets.push(target);
        }
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("the client should be created");
        for number in 0..20 {
            let id = format!("m{number}");
            let response = send(&client, fleet.callers, "/write/a", &id, KEY).await;
            let status = response.expect("the host should respond").status;
            assert_eq!(status, 503, "there is no target to use");
        }
        for target in &targets {
            assert_eq!(target.with_record(|record| record.runs.len()), 0);
        }
    });
}
