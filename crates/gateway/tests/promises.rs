//! Statuses that promise callers that a request did not run and never will.

mod support;

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_core::{clock::boot_time, log::new_queued_logger};
use fighall_gateway::{
    native,
    response_body::ResponseBudget,
    sender::{AttemptOptions, AttemptOutcome, PreparedRequest, pass_to_host},
};
use fighall_net::pool::ConnectionPool;
use http::{HeaderMap, Method};
use slog::Level;
use std::{
    io::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use support::{KEY, RETRIES_AT_START, TestFleet, list_target, send};

/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

async fn respond_to_all(
    mut stream: TcpStream,
    respond: impl Fn(&str) -> String,
) -> std::io::Result<()> {
    loop {
        let compio::BufResult(read, head) = stream.read(Vec::with_capacity(4_096)).await;
        if read? == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("fighall-request: "));
        let response = respond(id.unwrap_or_default());
        stream.write_all(response.into_bytes()).await.0?;
    }
}

// Starts a server that answers each request with what `respond` returns for its identifier.
async fn start_server(respond: impl Fn(&str) -> String + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = respond_to_all(stream, respond.clone());
            compio::runtime::spawn(async move {
                let _ = served.await;
            })
            .detach();
        }
    })
    .detach();
    address
}

async fn status_for(path: &str, respond: impl Fn(&str) -> String + Clone + 'static) -> u16 {
    let fleet = TestFleet::start(0, "").await;
    list_target(&fleet.store, "t0", start_server(respond).await);
    fleet.publish(|_| {}).await;
    compio::time::sleep(LISTING_DELAY).await;
    let client = cyper::Client::new().expect("a client");
    let response = send(&client, fleet.callers, path, "p1", KEY).await;
    response.expect("a response").status
}

// Regression: a target that had run a request and answered 429, 503 or 408 without stating that the request did
// not run had its status returned to the caller, to whom it is a promise.
#[test]
fn status_of_a_target_that_does_not_state_that_a_request_did_not_run_is_no_promise() {
    run(async {
        for status in [408, 429, 503] {
            let respond = move |id: &str| {
                format!(
                    "HTTP/1.1 {status} Status\r\nfighall-request: {id}\r\nfighall-target: t0\r\ncontent-length: 0\r\n\r\n"
                )
            };
            assert_eq!(status_for("/write/a", respond).await, 502, "{status}");
        }
        let not_run = |id: &str| {
            format!(
                "HTTP/1.1 503 Status\r\nfighall-request: {id}\r\nfighall-run: no\r\ncontent-length: 0\r\n\r\n"
            )
        };
        assert_eq!(status_for("/write/a", not_run).await, 503);
        let failed = |id: &str| {
            format!("HTTP/1.1 500 Status\r\nfighall-request: {id}\r\ncontent-length: 0\r\n\r\n")
        };
        assert_eq!(status_for("/write/a", failed).await, 500);
    });
}

// Regression: 101 reached the caller as a final status, and as a promise if it stated that the request did not run.
#[test]
fn interim_status_is_neither_an_answer_nor_a_promise() {
    run(async {
        for statement in ["", "fighall-run: no\r\n"] {
            for status in [100, 101, 102, 103, 199] {
                let respond = move |id: &str| {
                    format!(
                        "HTTP/1.1 {status} Status\r\nfighall-request: {id}\r\n{statement}\r\n\
                         HTTP/1.1 500 Status\r\nfighall-request: {id}\r\ncontent-length: 0\r\n\r\n"
                    )
                };
                let expected = if status == 101 { 502 } else { 500 };
                let answered = status_for("/write/a", respond).await;
                assert_eq!(answered, expected, "{status} {statement}");
            }
        }
    });
}

// Passes a request to a host that answers with `response`. Returns the outcome for the caller.
async fn pass(response: &'static str) -> AttemptOutcome {
    let address = start_server(|_| response.to_owned()).await;
    let request = PreparedRequest {
        id: "p1".to_owned(),
        method: Method::POST,
        path_and_query: "/write/a".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: "content".into(),
    };
    let options = AttemptOptions {
        address,
        max_connections: 1,
        max_idle_time: Duration::ZERO,
        deadline: boot_time() + Duration::from_secs(1),
    };
    let budget = ResponseBudget::new(64);
    let report = pass_to_host(
        &ConnectionPool::new(),
        &native::dialect(),
        &budget,
        &request,
        options,
    )
    .await;
    report.outcome
}

// Regression: a refusal that another program at the address of a host sent, or that belonged to another request, was
// returned to the caller of a passed request as a promise.
#[test]
fn refusal_that_is_not_that_of_a_host_to_a_passed_request_is_no_promise() {
    run(async {
        let foreign = [
            "HTTP/1.1 503 Status\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 429 Status\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 503 Status\r\nfighall-passed: p0\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 503 Status\r\nfighall-request: p1\r\ncontent-length: 0\r\n\r\n",
        ];
        for response in foreign {
            let outcome = pass(response).await;
            assert!(
                matches!(outcome, AttemptOutcome::Unknown { .. }),
                "{response}: {outcome:?}"
            );
        }
        let own = "HTTP/1.1 503 Status\r\nfighall-passed: p1\r\ncontent-length: 0\r\n\r\n";
        let AttemptOutcome::Answered(response) = pass(own).await else {
            panic!("a host's refusal of the request is returned");
        };
        assert_eq!(response.status, 503);
        assert!(response.headers.is_empty() || !response.headers.contains_key("fighall-passed"));
    });
}

// Regression: an error that belonged to another request, or to none, was returned to the caller of a passed request.
#[test]
fn error_that_is_not_that_of_a_host_to_a_passed_request_is_not_returned() {
    run(async {
        let foreign = [
            "HTTP/1.1 500 Status\r\nfighall-request: p0\r\nfighall-target: t0\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 500 Status\r\nfighall-passed: p0\r\nfighall-request: p0\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 404 Status\r\nfighall-passed: p0\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 404 Status\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 307 Status\r\ncontent-length: 0\r\n\r\n",
        ];
        for response in foreign {
            let outcome = pass(response).await;
            assert!(
                matches!(outcome, AttemptOutcome::Unknown { .. }),
                "{response}: {outcome:?}"
            );
        }
        let own = [
            "HTTP/1.1 500 Status\r\nfighall-passed: p1\r\nfighall-request: p1\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 404 Status\r\nfighall-passed: p1\r\ncontent-length: 0\r\n\r\n",
            "HTTP/1.1 500 Status\r\nfighall-request: p1\r\nfighall-target: t0\r\ncontent-length: 0\r\n\r\n",
        ];
        for response in own {
            let outcome = pass(response).await;
            assert!(
                matches!(outcome, AttemptOutcome::Answered(_)),
                "{response}: {outcome:?}"
            );
        }
    });
}

// Collects the lines of a host.
#[derive(Clone, Default)]
struct SharedLines(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the lines").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn refusal_of_a_request_that_may_run_once_is_logged_with_the_connections_of_its_attempts() {
    run(async {
        let lines = SharedLines::default();
        let shared = lines.clone();
        let logger = new_queued_logger("h1", Level::Info, move || shared.clone());
        let fleet = TestFleet::start_with_logger(0, RETRIES_AT_START, logger).await;
        let respond = |id: &str| {
            format!(
                "HTTP/1.1 503 Status\r\nfighall-request: {id}\r\nfighall-run: no\r\ncontent-length: 0\r\n\r\n"
            )
        };
        let address = start_server(respond).await;
        list_target(&fleet.store, "t0", address);
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("a client");
        let response = send(&client, fleet.callers, "/write/a", "r1", KEY).await;
        assert_eq!(response.expect("a response").status, 503);
        compio::time::sleep(Duration::from_millis(200)).await;
        let text = String::from_utf8(lines.0.lock().expect("the lines").clone()).expect("text");
        let line = text
            .lines()
            .find(|line| line.contains("request refused as not run"));
        let line = line.expect("a line for the refusal");
        let expected = format!(
            "t0 at {address}, connection 1 exchange 1: rejected, 503, response with the request's identifier"
        );
        assert!(line.contains("\"request\":\"r1\""), "{line}");
        assert!(line.contains(&expected), "{line}");
    });
}
