//! Responses of targets with a status or a field name that HTTP does not allow: no caller gets them as an answer.

mod raw_target;
mod support;

use fighall_core::clock::boot_time;
use fighall_gateway::{
    native,
    response_body::ResponseBudget,
    sender::{AttemptOptions, AttemptOutcome, PreparedRequest, pass_to_host},
};
use fighall_net::pool::ConnectionPool;
use fighall_testkit::{
    behaviour::TargetBehaviour,
    malformed_heads::{FIELD_LINES, STATUS_LINES},
    target::TargetStandIn,
};
use http::{HeaderMap, Method};
use raw_target::{start_raw_target, start_raw_target_in_parts};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use support::{KEY, RETRIES_AT_START, TestFleet, list_target, send};

/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
const BODY: &str = "whole answer";

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(test);
}

fn response(status_line: &str, line: &[u8], id: &str) -> Vec<u8> {
    let head = format!("{status_line}\r\nfighall-request: {id}\r\nfighall-target: t0\r\n");
    let rest = format!("content-length: {}\r\n\r\n{BODY}", BODY.len());
    [head.as_bytes(), line, rest.as_bytes()].concat()
}

// Bytes that a target sends for a request, by the request's identifier.
type MalformedResponse = Rc<dyn Fn(&str) -> Vec<u8>>;

fn malformed_responses() -> Vec<(String, MalformedResponse)> {
    let mut responses: Vec<(String, MalformedResponse)> = Vec::new();
    for line in STATUS_LINES {
        let respond = move |id: &str| response(line, b"", id);
        responses.push((line.to_owned(), Rc::new(respond)));
        let after_interim = move |id: &str| {
            let hints = b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec();
            [hints, response(line, b"", id)].concat()
        };
        responses.push((format!("103, {line}"), Rc::new(after_interim)));
    }
    for line in FIELD_LINES {
        let shown = line.escape_ascii().to_string();
        let respond = move |id: &str| response("HTTP/1.1 200 OK", line, id);
        responses.push((shown.clone(), Rc::new(respond)));
        let interim = move |id: &str| {
            let hints = [b"HTTP/1.1 103 Early Hints\r\n", line, b"\r\n"].concat();
            [hints, response("HTTP/1.1 200 OK", b"", id)].concat()
        };
        responses.push((format!("103, {shown}"), Rc::new(interim)));
    }
    responses
}

// Starts a host with a target that sends the malformed response N to requests whose identifier begins with `malformed-N-`, in
// parts. Returns how many it has sent as well.
async fn start_fleet(part_bytes: usize, bounds: &str) -> (TestFleet, Rc<Cell<usize>>) {
    let fleet = TestFleet::start(0, bounds).await;
    let responses = malformed_responses();
    let malformed_count = Rc::new(Cell::new(0));
    let sent_count = Rc::clone(&malformed_count);
    let address = start_raw_target_in_parts(part_bytes, move |_, id| {
        let number = id
            .strip_prefix("malformed-")
            .and_then(|rest| rest.split('-').next());
        let bytes = match number.and_then(|number| number.parse::<usize>().ok()) {
            Some(number) => {
                sent_count.set(sent_count.get() + 1);
                (responses[number].1)(id)
            }
            None => response("HTTP/1.1 200 OK", b"", id),
        };
        (bytes, false)
    });
    list_target(&fleet.store, "t0", address.await);
    (fleet, malformed_count)
}

// Checks that a request that may run once gets 502, on a new and on a kept connection, and that the next one is served.
async fn expect_no_answer(part_bytes: usize) {
    let (fleet, malformed_count) = start_fleet(part_bytes, "").await;
    fleet.publish(|_| {}).await;
    compio::time::sleep(LISTING_DELAY).await;
    let client = cyper::Client::new().expect("the client should be created");
    for (number, (shown, _)) in malformed_responses().iter().enumerate() {
        for step in ["1", "2"] {
            for (kind, status) in [("malformed", 502), ("good", 200)] {
                let id = format!("{kind}-{number}-{step}");
                let answer = send(&client, fleet.callers, "/write/a", &id, KEY).await;
                let answer = answer.unwrap_or_else(|error| panic!("{shown}, {id}: {error}"));
                assert_eq!(answer.status, status, "{shown}, {id}");
                assert_eq!(answer.body == BODY, status == 200, "{shown}, {id}");
            }
        }
    }
    assert_eq!(malformed_count.get(), 2 * malformed_responses().len());
}

#[test]
fn no_caller_gets_a_response_with_a_malformed_head() {
    run(expect_no_answer(usize::MAX));
}

#[test]
fn no_caller_gets_a_response_with_a_malformed_head_in_parts() {
    run(expect_no_answer(7));
}

#[test]
fn a_request_that_may_be_repeated_is_served_by_another_target() {
    run(async {
        let (fleet, malformed_count) = start_fleet(usize::MAX, RETRIES_AT_START).await;
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let target = TargetStandIn::start("t1", loopback, TargetBehaviour::default()).await;
        let target = target.expect("the target should start");
        list_target(&fleet.store, "t1", target.address());
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("the client should be created");
        for (number, (shown, _)) in malformed_responses().iter().enumerate() {
            for step in 0..3 {
                let id = format!("malformed-{number}-{step}");
                let answer = send(&client, fleet.callers, "/read/a", &id, KEY).await;
                let answer = answer.unwrap_or_else(|error| panic!("{shown}, {id}: {error}"));
                assert_eq!(answer.status, 200, "{shown}, {id}");
                assert_ne!(answer.body, BODY, "{shown}, {id}");
                assert_eq!(
                    fleet.runs(&id) + target.with_record(|record| record.runs[&id]),
                    1
                );
            }
        }
        assert!(
            malformed_count.get() > 0,
            "no request was sent to the malformed target"
        );
    });
}

#[test]
fn a_request_that_was_passed_to_another_host_gets_no_malformed_response() {
    run(async {
        for (shown, respond) in malformed_responses() {
            let address = start_raw_target(move |_, id| (respond(id), false)).await;
            let request = PreparedRequest {
                id: "m1".to_owned(),
                method: Method::POST,
                path_and_query: "/write/a".parse().expect("the path should be valid"),
                headers: HeaderMap::new(),
                body: "".into(),
            };
            let options = AttemptOptions {
                address,
                max_connections: 100,
                max_idle_time: Duration::ZERO,
                deadline: boot_time() + Duration::from_secs(1),
            };
            let (pool, budget) = (ConnectionPool::new(), ResponseBudget::new(64));
            let dialect = native::dialect();
            let report = pass_to_host(&pool, &dialect, &budget, &request, options).await;
            let outcome = report.outcome;
            assert!(
                matches!(outcome, AttemptOutcome::Unknown { .. }),
                "{shown}: {outcome:?}"
            );
        }
    });
}

#[test]
fn a_malformed_field_in_trailers_reaches_no_caller() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let address = start_raw_target(move |_, id| {
            let number = id
                .split('-')
                .next_back()
                .and_then(|number| number.parse().ok());
            let line = number.map_or(&b""[..], |number: usize| FIELD_LINES[number]);
            let head = format!(
                "HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nfighall-target: t0\r\n\
                 transfer-encoding: chunked\r\n\r\n{:x}\r\n{BODY}\r\n0\r\n",
                BODY.len()
            );
            ([head.as_bytes(), line, b"\r\n"].concat(), false)
        });
        list_target(&fleet.store, "t0", address.await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("the client should be created");
        for (number, line) in FIELD_LINES.iter().enumerate() {
            let shown = line.escape_ascii();
            for id in [
                format!("malformed-{number}"),
                "good".to_owned(),
                format!("again-{number}"),
            ] {
                let answer = send(&client, fleet.callers, "/write/a", &id, KEY).await;
                let answer = answer.unwrap_or_else(|error| panic!("{shown}, {id}: {error}"));
                let is_whole = answer.status == 200 && answer.body == BODY;
                let may_fail = id != "good";
                assert!(
                    is_whole || may_fail && answer.status == 502,
                    "{shown}, {id}: {}",
                    answer.status
                );
            }
        }
    });
}

#[test]
fn a_malformed_response_behind_a_complete_one_is_no_answer() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let address = start_raw_target(move |_, id| {
            let complete = response("HTTP/1.1 200 OK", b"", id);
            let surplus = response("HTTP/1.1 000 Trouble", b"", id);
            ([complete, surplus].concat(), false)
        });
        list_target(&fleet.store, "t0", address.await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("the client should be created");
        for number in 0..20 {
            let answer = send(
                &client,
                fleet.callers,
                "/write/a",
                &format!("m{number}"),
                KEY,
            )
            .await;
            let answer = answer.expect("a response");
            assert!(matches!(answer.status, 200 | 502), "{}", answer.status);
            assert_eq!(answer.body == BODY, answer.status == 200, "{}", answer.body);
        }
    });
}
