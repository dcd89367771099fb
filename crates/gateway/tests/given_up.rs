//! What a target receives of requests that were given up, and of those whose process was killed.

mod support;

use compio::runtime::Runtime;
use fighall_core::clock::boot_time;
use fighall_gateway::{
    native::{self, MAIN_POLICY, POLICIES},
    response_body::ResponseBudget,
    sender::{AttemptOptions, PreparedRequest, pass_to_host},
};
use fighall_net::pool::ConnectionPool;
use fighall_testkit::platform::PlatformStandIn;
use http::{HeaderMap, Method};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use std::{
    io::{ErrorKind, Read},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Command, Stdio},
    time::Duration,
};
use support::{KEY, TestFleet, list_target};

/// Receive buffer of the target: a small part of a request.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;
/// Body of a request: more than the target takes, and less than fits into the send buffer.
const BODY_BYTES: usize = 128 * 1_024;
/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Time for a request to be written, and for a connection to be closed.
const SETTLE_TIME: Duration = Duration::from_millis(400);
/// Longest time for a read of the target; probes leave connections without requests.
const READ_TIMEOUT: Duration = Duration::from_millis(200);

fn run(test: impl Future<Output = ()>) {
    Runtime::new().expect("a runtime").block_on(test);
}

// Starts a target that takes few bytes until the test reads them.
fn start_target() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let size = set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
    size.expect("a receive buffer");
    let mode = listener.set_nonblocking(true);
    mode.expect("a listener that does not wait");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// Reads from all connections. Fails if a whole request arrived, or if no connection was reset.
fn assert_reset(listener: &TcpListener) {
    let mut resets = 0;
    while let Ok((mut stream, _)) = listener.accept() {
        let limit = stream.set_read_timeout(Some(READ_TIMEOUT));
        limit.expect("a time limit");
        let mut bytes = Vec::new();
        let result = stream.read_to_end(&mut bytes);
        assert!(bytes.len() < BODY_BYTES, "{} bytes arrived", bytes.len());
        let kind = result.err().map(|error| error.kind());
        resets += u32::from(kind == Some(ErrorKind::ConnectionReset));
    }
    assert!(resets > 0, "no connection was reset");
}

// Sends a request that may run once. Returns the status, if a response came.
async fn send_body(callers: SocketAddr) -> Option<u16> {
    let client = cyper::Client::new().expect("a client");
    let request = client
        .post(format!("http://{callers}/write/a"))
        .and_then(|request| request.header("host", "quotes.example"))
        .and_then(|request| request.header("fighall-request", "g1"))
        .and_then(|request| request.header("authorization", format!("Bearer {KEY}")));
    let request = request.expect("a request").body(vec![b'a'; BODY_BYTES]);
    let response = request.send().await;
    response.ok().map(|response| response.status().as_u16())
}

// Starts a gateway whose only target takes few bytes.
async fn start_fleet() -> (TestFleet, TcpListener) {
    let (listener, address) = start_target();
    let fleet = TestFleet::start(0, "").await;
    list_target(&fleet.store, "t0", address);
    fleet.publish(|_| {}).await;
    compio::time::sleep(LISTING_DELAY).await;
    (fleet, listener)
}

// Regression: requests answered with 504 while a network partition held them up were delivered and run after it.
#[test]
fn request_that_was_answered_with_504_does_not_reach_its_target_later() {
    run(async {
        let (fleet, listener) = start_fleet().await;
        assert_eq!(send_body(fleet.callers).await, Some(504));
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&listener);
    });
}

// Regression: requests whose callers had left were delivered once a network partition ended.
#[test]
fn request_of_a_caller_that_left_does_not_reach_its_target_later() {
    run(async {
        let (fleet, listener) = start_fleet().await;
        let sent = compio::time::timeout(SETTLE_TIME, send_body(fleet.callers)).await;
        assert!(sent.is_err(), "the caller leaves before a response");
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&listener);
    });
}

// Regression: a request that was given up on its way to another host was delivered to it later.
#[test]
fn request_that_was_not_passed_in_time_does_not_reach_the_other_host_later() {
    run(async {
        let (listener, address) = start_target();
        let request = PreparedRequest {
            id: "g1".to_owned(),
            method: Method::POST,
            path_and_query: "/write/a".parse().expect("a path"),
            headers: HeaderMap::new(),
            body: vec![b'a'; BODY_BYTES].into(),
        };
        let options = AttemptOptions {
            address,
            max_connections: 1,
            max_idle_time: Duration::ZERO,
            deadline: boot_time() + SETTLE_TIME,
        };
        let (pool, budget) = (ConnectionPool::new(), ResponseBudget::new(64));
        let _ = pass_to_host(&pool, &native::dialect(), &budget, &request, options).await;
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&listener);
    });
}

// Regression: requests of a process that was killed during a network partition were delivered and run after it.
#[test]
fn request_of_a_killed_process_does_not_reach_its_target_later() {
    run(async {
        let (listener, address) = start_target();
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        list_target(&store, "t0", address);
        let policy = serde_json::to_string(&support::policy(1)).expect("a policy");
        store.put(POLICIES, MAIN_POLICY, &policy);
        let (text, settings) = support::settings("h1", store.address(), "");
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("given-up.json");
        std::fs::write(&path, text).expect("a settings file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_fighall-gateway"));
        let command = command.arg(&path).stdout(Stdio::null());
        let mut child = command.spawn().expect("a process");
        compio::time::sleep(2 * LISTING_DELAY).await;
        let sent = compio::time::timeout(SETTLE_TIME, send_body(settings.callers)).await;
        child.kill().expect("a signal");
        child.wait().expect("an exit code");
        assert_eq!(sent.ok(), None, "the process is killed before a response");
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&listener);
    });
}
