//! Requests of every kind at each moment of a planned stop, with work up to the timeout of their route.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};
use support::{KEY, TestFleet};

/// Time that the host has for its stop.
const STOP_TIME: Duration = Duration::from_millis(4_000);
/// Timeout of the routes, and the work of a request from the stop on.
const TIMEOUT: Duration = Duration::from_millis(2_500);
const WORK: Duration = Duration::from_millis(2_400);
/// Interval between the moments at which requests are sent.
const STEP: Duration = Duration::from_millis(100);
/// Time that a body takes that comes slowly.
const BODY_TIME: Duration = Duration::from_millis(90);

// How a caller sends a request.
#[derive(Debug, Clone, Copy)]
enum SendKind {
    Idempotent,
    NotIdempotent,
    SlowBody,
    // An idempotent one behind another on its connection.
    Pipelined,
}

// Number of complete responses to each request, by identifier.
type ResponseCounts = Rc<RefCell<BTreeMap<String, usize>>>;

fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: {id}\r\nx-mark: {id}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    )
}

fn get(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: {id}\r\nx-mark: {id}\r\n\
         authorization: Bearer {KEY}\r\n\r\n"
    )
}

// Sends the requests and counts their responses until the connection ends.
async fn call(callers: SocketAddr, kind: SendKind, id: String, counts: ResponseCounts) {
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return;
    };
    let (text, expected) = match kind {
        SendKind::Idempotent => (head("/read/a", &id, 2) + "ab", 1),
        SendKind::NotIdempotent => (head("/write/a", &id, 2) + "ab", 1),
        SendKind::SlowBody => (head("/write/a", &id, 2) + "a", 1),
        SendKind::Pipelined => {
            let first = get("/read/a", &format!("{id}-first"));
            (first + get("/read/b", &id).as_str(), 2)
        }
    };
    let BufResult(written, _) = stream.write_all(text.into_bytes()).await;
    if written.is_err() {
        return;
    }
    if matches!(kind, SendKind::SlowBody) {
        compio::time::sleep(BODY_TIME).await;
        let BufResult(written, _) = stream.write_all(b"b".to_vec()).await;
        if written.is_err() {
            return;
        }
    }
    let mut received = String::new();
    loop {
        let BufResult(read, bytes) = stream.read(Vec::with_capacity(8_192)).await;
        if !matches!(read, Ok(1..)) {
            return;
        }
        received += &String::from_utf8_lossy(&bytes);
        let count = received.matches("HTTP/1.1 ").count();
        counts.borrow_mut().insert(id.clone(), count);
        if count == expected {
            return;
        }
    }
}

async fn play_stop(kind: SendKind) {
    let stop = format!("\"stop={}\"", STOP_TIME.as_millis());
    let fleet = TestFleet::start(3, &stop).await;
    fleet
        .publish(|policy| {
            for route in policy.routes.values_mut().flatten() {
                route.timeout = TIMEOUT;
            }
        })
        .await;
    let counts = ResponseCounts::default();
    for number in 0..30 {
        let id = format!("before-{number}");
        call(fleet.callers, kind, id, Rc::clone(&counts)).await;
    }
    // From here on the work takes much longer than the host expects, but less than the timeout of the route.
    for target in &fleet.targets {
        target.change(|behaviour| {
            behaviour.slots = 100;
            behaviour.service_us = u64::try_from(WORK.as_micros()).expect("a short time");
        });
    }
    let gateway = Rc::clone(&fleet.gateway);
    let stop = compio::runtime::spawn(async move { gateway.stop().await });
    let callers = fleet.callers;
    let sent_counts = Rc::clone(&counts);
    let senders = compio::runtime::spawn(async move {
        for step in 0.. {
            let id = format!("stop-{step}");
            let task = call(callers, kind, id, Rc::clone(&sent_counts));
            compio::runtime::spawn(task).detach();
            compio::time::sleep(STEP).await;
        }
    });
    stop.await.expect("a finished shutdown");
    drop(senders);
    // What the process has sent reaches the callers after its end as well.
    compio::time::sleep(Duration::from_millis(20)).await;
    let counts = counts.borrow();
    let mut served = 0;
    let mut cut = Vec::new();
    for step in 0..u32::try_from(STOP_TIME.as_millis() / STEP.as_millis()).expect("a number") {
        let id = format!("stop-{step}");
        let expected = usize::from(matches!(kind, SendKind::Pipelined)) + 1;
        let is_answered = counts.get(&id).copied().unwrap_or(0) == expected;
        let has_run = fleet.runs(&id) > 0;
        served += u32::from(is_answered && has_run);
        if has_run && !is_answered {
            cut.push(id);
        }
    }
    assert!(cut.is_empty(), "{kind:?}: ran without a response: {cut:?}");
    assert!(served > 5, "{kind:?}: {served} served");
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

#[test]
fn a_planned_stop_cuts_no_idempotent_request() {
    run(play_stop(SendKind::Idempotent));
}

#[test]
fn a_planned_stop_cuts_no_request_that_may_run_once() {
    run(play_stop(SendKind::NotIdempotent));
}

#[test]
fn a_planned_stop_cuts_no_request_whose_body_comes_slowly() {
    run(play_stop(SendKind::SlowBody));
}

#[test]
fn a_planned_stop_cuts_no_pipelined_request() {
    run(play_stop(SendKind::Pipelined));
}
