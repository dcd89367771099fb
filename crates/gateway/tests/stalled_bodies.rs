//! Requests whose body stops short of its end.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use std::{net::SocketAddr, time::Duration};
use support::{KEY, TestFleet, send};

/// Time after which a request without a response counts as held without end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Reads until the host closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut response = Vec::new();
    loop {
        let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        if read? == 0 {
            return Ok(String::from_utf8_lossy(&response).into_owned());
        }
        response.extend_from_slice(&buffer);
    }
}

async fn stall(callers: SocketAddr, framing: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let request = format!(
        "POST /write/a HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: stalled\r\n\
         authorization: Bearer {KEY}\r\n{framing}\r\n\r\n{body}"
    );
    let sent = stream.write_all(request.into_bytes()).await;
    sent.0.expect("bytes sent");
    let response = compio::time::timeout(RESPONSE_TIMEOUT, read_to_end(&mut stream)).await;
    let response = response.expect("the end of the connection");
    response.expect("a response")
}

async fn check_stalled(framing: &str, body: &str) {
    let fleet = TestFleet::start(1, "").await;
    fleet.publish(|_| {}).await;
    let response = stall(fleet.callers, framing, body).await;
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert_eq!(fleet.runs("stalled"), 0);
    let client = cyper::Client::new().expect("a client");
    let next = send(&client, fleet.callers, "/write/b", "next", KEY).await;
    assert_eq!(next.expect("a response").status, 200);
}

// Regression: a request whose body stops was held until its caller closed the connection.
#[test]
fn a_body_that_stops_is_refused_at_the_deadline() {
    run(check_stalled("content-length: 10", "abc"));
}

#[test]
fn a_chunked_body_that_stops_is_refused_at_the_deadline() {
    run(check_stalled("transfer-encoding: chunked", "3\r\nabc\r\n"));
}

// Regression: a body whose announced length exceeds the limit was read up to the limit.
#[test]
fn a_body_that_is_announced_too_large_is_refused_before_it_is_sent() {
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        let response = stall(fleet.callers, "content-length: 10000000000", "").await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert_eq!(fleet.runs("stalled"), 0);
    });
}

// Regression: a host closed the connection with unread bytes, and the reset overtook its refusal.
#[test]
fn a_refusal_reaches_a_client_that_is_still_sending() {
    const BODY_BYTES: usize = 4 << 20;
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        for framing in [
            format!("content-length: {BODY_BYTES}"),
            format!("transfer-encoding: chunked\r\n\r\n{BODY_BYTES:x}"),
        ] {
            let body = "a".repeat(BODY_BYTES - framing.len());
            let response = stall(fleet.callers, &framing, &body).await;
            assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        }
    });
}

// Regression: the same for a body that the process has no memory for, which is found out in the middle.
#[test]
fn a_refusal_for_want_of_memory_reaches_a_client_that_is_still_sending() {
    const BODY_BYTES: usize = 40 << 20;
    run(async {
        let fleet = TestFleet::start(1, "").await;
        fleet
            .publish(|policy| policy.limits.max_body_bytes = BODY_BYTES)
            .await;
        let framing = format!("content-length: {BODY_BYTES}");
        let response = stall(fleet.callers, &framing, &"a".repeat(BODY_BYTES)).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
    });
}
