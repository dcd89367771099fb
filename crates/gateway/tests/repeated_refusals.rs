//! Refusals that a target repeats on their connections, also while the refused request is under way again.

mod repeating_target;
mod support;

use fighall_core::clock::boot_time;
use fighall_gateway::{
    native,
    response_body::ResponseBudget,
    sender::{AttemptOptions, AttemptOutcome, PreparedRequest, pass_to_host},
};
use fighall_net::pool::ConnectionPool;
use http::{HeaderMap, Method};
use repeating_target::{CopyMoment, PlannedRefusal, SharedTarget, start_repeating_target};
use std::time::Duration;
use support::{KEY, RETRIES_AT_START, TestFleet, list_target, send};

/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Statuses that state that a request did not run.
const STATUSES: [u16; 3] = [503, 429, 421];

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

// Starts a gateway with `names` names of targets at each of `addresses` addresses.
async fn start_fleet(target: &SharedTarget, addresses: usize, names: usize) -> TestFleet {
    let fleet = TestFleet::start(0, RETRIES_AT_START).await;
    for index in 0..addresses {
        let address = start_repeating_target(target).await;
        for name in 0..names {
            list_target(&fleet.store, &format!("t{index}-{name}"), address);
        }
    }
    fleet
        .publish(|policy| {
            for route in policy.routes.values_mut().flatten() {
                route.max_attempts = 3;
            }
        })
        .await;
    compio::time::sleep(LISTING_DELAY).await;
    fleet
}

fn refuse(target: &SharedTarget, id: &str, status: u16, copies: &[CopyMoment]) {
    let refusal = PlannedRefusal {
        status,
        copies: copies.to_vec(),
    };
    let mut target = target.borrow_mut();
    target
        .refusals
        .entry(id.to_owned())
        .or_default()
        .push(refusal);
}

#[test]
fn copy_of_a_refusal_does_not_answer_the_attempt_at_another_name_of_its_address() {
    run(async {
        for status in STATUSES {
            let target = SharedTarget::default();
            let fleet = start_fleet(&target, 1, 3).await;
            let client = cyper::Client::new().expect("a client");
            refuse(&target, "r1", status, &[CopyMoment::BeforeResponse(0)]);
            let response = send(&client, fleet.callers, "/write/a", "r1", KEY).await;
            let response = response.expect("a response");
            assert_eq!(target.borrow().attempts["r1"], 2, "{status}");
            assert_eq!(target.borrow().run_count("r1"), 1, "{status}");
            assert_eq!(response.status, 200, "it ran; refused with {status}");
        }
    });
}

#[test]
fn copy_of_a_refusal_does_not_answer_a_request_that_its_caller_sends_again() {
    run(async {
        for status in [503, 429] {
            let target = SharedTarget::default();
            let fleet = start_fleet(&target, 1, 1).await;
            let client = cyper::Client::new().expect("a client");
            refuse(&target, "r1", status, &[CopyMoment::BeforeResponse(0)]);
            let first = send(&client, fleet.callers, "/write/a", "r1", KEY).await;
            assert!(is_promise(first.expect("a response").status), "{status}");
            assert_eq!(target.borrow().run_count("r1"), 0);
            let second = send(&client, fleet.callers, "/write/a", "r1", KEY).await;
            assert_eq!(target.borrow().run_count("r1"), 1);
            let second = second.expect("a response").status;
            assert_eq!(second, 200, "it ran; refused with {status}");
        }
    });
}

#[test]
fn copy_of_a_refusal_does_not_answer_a_request_that_is_passed_again() {
    run(async {
        let host = SharedTarget::default();
        let address = start_repeating_target(&host).await;
        refuse(&host, "r1", 503, &[CopyMoment::BeforeResponse(0)]);
        let request = PreparedRequest {
            id: "r1".to_owned(),
            method: Method::POST,
            path_and_query: "/write/a".parse().expect("a path"),
            headers: HeaderMap::new(),
            body: "content".into(),
        };
        let (pool, budget) = (ConnectionPool::new(), ResponseBudget::new(64));
        let mut statuses = Vec::new();
        for _ in 0..2 {
            let options = AttemptOptions {
                address,
                max_connections: 4,
                max_idle_time: Duration::from_secs(1),
                deadline: boot_time() + Duration::from_secs(1),
            };
            let report = pass_to_host(&pool, &native::dialect(), &budget, &request, options).await;
            statuses.push(match report.outcome {
                AttemptOutcome::Answered(response) => response.status.as_u16(),
                outcome => panic!("{outcome:?}"),
            });
        }
        assert_eq!(host.borrow().run_count("r1"), 1);
        assert_eq!(statuses, [503, 200], "the second one ran");
    });
}

// Regression: one request met the same connection twice, and the copy of its refusal answered the attempt that ran.
#[test]
fn promises_are_true_whenever_refusals_are_repeated() {
    run(async {
        let target = SharedTarget::default();
        let fleet = start_fleet(&target, 2, 3).await;
        let mut random = fastrand::Rng::with_seed(42);
        let client = cyper::Client::new().expect("a client");
        let mut promises = 0;
        for number in 0..300 {
            // Some requests are sent again by their caller under the same identifier.
            let id = format!("r{}", number - random.usize(0..=number.min(2)));
            for _ in 0..random.usize(0..3) {
                let status = STATUSES[usize::from(random.u8(..) < 20) * 2];
                let copies = draw_copies(&mut random);
                refuse(&target, &id, status, &copies);
            }
            let runs_before = target.borrow().run_count(&id);
            let response = send(&client, fleet.callers, "/write/a", &id, KEY).await;
            let status = response.expect("a response").status;
            let runs = target.borrow().run_count(&id) - runs_before;
            assert!(runs <= 1, "request {number} ran {runs} times");
            if is_promise(status) {
                promises += 1;
                assert_eq!(runs, 0, "request {number} ran and was answered {status}");
            }
            let pause = Duration::from_millis(random.u64(0..15));
            compio::time::sleep(pause).await;
        }
        assert!(promises > 10, "{promises} promises");
    });
}

fn draw_copies(random: &mut fastrand::Rng) -> Vec<CopyMoment> {
    let mut copies = Vec::new();
    for _ in 0..random.usize(0..3) {
        copies.push(match random.u8(0..4) {
            0 => CopyMoment::AtOnce,
            1 => CopyMoment::Later(Duration::from_micros(random.u64(0..20_000))),
            _ => CopyMoment::BeforeResponse(random.usize(0..3)),
        });
    }
    copies
}
