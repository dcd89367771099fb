//! Faulty targets that send an endless header section or body until the connection closes: the caller
//! gets a response in time, other callers are served meanwhile, and memory use stays bounded.

mod support;

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_core::clock::boot_time;
use fighall_gateway::{
    native::{self, READY_PATH},
    response_body::ResponseBudget,
    sender::{AttemptOptions, AttemptOutcome, PreparedRequest, pass_to_host},
};
use fighall_net::pool::ConnectionPool;
use http::{HeaderMap, Method};
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use support::{KEY, TestFleet, list_target, send};

/// The route's timeout of 1 s, with an allowance for the response.
const RESPONSE_LIMIT: Duration = Duration::from_millis(1_500);
/// Limit for a readiness check while targets flood the host.
const READINESS_LIMIT: Duration = Duration::from_millis(500);
/// Time after which a starting host has copied a target that was listed meanwhile.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Bytes sent in one write.
const WRITE_BYTES: usize = 16_384;

/// A response that starts with `prefix` and then repeats `repeated` without end; `limit` is not applied.
struct EndlessResponse {
    prefix: String,
    repeated: String,
    limit: usize,
}

fn endless(prefix: &str, repeated: &str) -> EndlessResponse {
    EndlessResponse {
        prefix: prefix.to_owned(),
        repeated: repeated.repeat((WRITE_BYTES / repeated.len()).max(1)),
        limit: usize::MAX,
    }
}

struct EndlessTarget {
    address: SocketAddr,
    sent_bytes: Rc<Cell<usize>>,
    open_connections: Rc<Cell<u32>>,
}

async fn start_target(response: EndlessResponse) -> EndlessTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (sent_bytes, open_connections) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let target = EndlessTarget {
        address,
        sent_bytes: Rc::clone(&sent_bytes),
        open_connections: Rc::clone(&open_connections),
    };
    let response = Rc::new(response);
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (response, sent_bytes, open_connections) = (
                Rc::clone(&response),
                Rc::clone(&sent_bytes),
                Rc::clone(&open_connections),
            );
            compio::runtime::spawn(async move {
                open_connections.set(open_connections.get() + 1);
                let _ = flood(stream, &response, &sent_bytes).await;
                open_connections.set(open_connections.get() - 1);
            })
            .detach();
        }
    })
    .detach();
    target
}

async fn flood(
    mut stream: TcpStream,
    response: &EndlessResponse,
    sent_bytes: &Cell<usize>,
) -> std::io::Result<()> {
    let compio::BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
    if read? == 0 {
        return Ok(());
    }
    stream
        .write_all(response.prefix.clone().into_bytes())
        .await
        .0?;
    loop {
        stream
            .write_all(response.repeated.clone().into_bytes())
            .await
            .0?;
        sent_bytes.set(sent_bytes.get() + response.repeated.len());
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

async fn check_endless(name: &str, response: EndlessResponse) {
    let fleet = TestFleet::start(0, "").await;
    let target = start_target(response).await;
    list_target(&fleet.store, "t0", target.address);
    fleet.publish(|_| {}).await;
    compio::time::sleep(LISTING_DELAY).await;
    let mut tasks = Vec::new();
    for number in 0..4 {
        let callers = fleet.callers;
        tasks.push(compio::runtime::spawn(async move {
            let client = cyper::Client::new().expect("a client");
            let path = if number % 2 == 0 {
                "/read/a"
            } else {
                "/write/a"
            };
            let started_at = Instant::now();
            let response = send(&client, callers, path, &format!("m{number}"), KEY).await;
            (response.expect("a response").status, started_at.elapsed())
        }));
    }
    let client = cyper::Client::new().expect("a client");
    let ready = format!("http://{}{READY_PATH}", fleet.ready);
    let readiness = client.get(ready).expect("a request").send();
    let response = compio::time::timeout(READINESS_LIMIT, readiness).await;
    let response = response.unwrap_or_else(|_| panic!("{name}: readiness check timed out"));
    assert_eq!(
        response.expect("a response").status().as_u16(),
        200,
        "{name}"
    );
    for task in tasks {
        let (status, elapsed) = task.await.expect("a finished task");
        assert!([502, 503, 504].contains(&status), "{name}: {status}");
        assert!(
            elapsed < RESPONSE_LIMIT,
            "{name}: {status} after {elapsed:?}"
        );
    }
    assert!(
        target.sent_bytes.get() > 0,
        "{name}: the target sent nothing"
    );
    compio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        target.open_connections.get(),
        0,
        "{name}: connections still open"
    );
}

const STATUS_AND_TARGET: &str = "HTTP/1.1 200 OK\r\nfighall-target: t0\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

// The cases run one after the other, since each keeps a thread busy.
#[test]
fn endless_responses_do_not_delay_callers() {
    let cases = [
        (
            "header line",
            endless(&format!("{STATUS_AND_TARGET}x-long: "), "a"),
        ),
        ("header fields", endless(STATUS_AND_TARGET, "x-more: 1\r\n")),
        ("no status line", endless("", "no answer in the protocol ")),
        (
            "interim responses",
            endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ),
        ("body", endless(&format!("{STATUS_AND_TARGET}\r\n"), "a")),
        (
            "chunks",
            endless(&format!("{STATUS_AND_TARGET}{CHUNKED}"), "1\r\na\r\n"),
        ),
        (
            "trailers",
            endless(
                &format!("{STATUS_AND_TARGET}{CHUNKED}0\r\n"),
                "x-more: 1\r\n",
            ),
        ),
    ];
    for (name, response) in cases {
        run(check_endless(name, response));
    }
}

// Regression: only each response body was limited, to 16 MB, not all of them together. A gateway with
// 32 MB buffers 4 MB of response bodies.
#[test]
fn endless_bodies_stay_within_the_memory_budget() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let mut response = endless(&format!("{STATUS_AND_TARGET}\r\n"), "a");
        response.limit = 1 << 20;
        let target = start_target(response).await;
        list_target(&fleet.store, "t0", target.address);
        fleet
            .publish(|policy| {
                for route in policy.routes.values_mut().flatten() {
                    route.timeout = Duration::from_secs(6);
                }
            })
            .await;
        compio::time::sleep(LISTING_DELAY).await;
        let mut tasks = Vec::new();
        for number in 0..16 {
            let callers = fleet.callers;
            tasks.push(compio::runtime::spawn(async move {
                let client = cyper::Client::new().expect("a client");
                let started_at = Instant::now();
                let id = format!("m{number}");
                let response = send(&client, callers, "/write/a", &id, KEY).await;
                (response.expect("a response").status, started_at.elapsed())
            }));
        }
        let mut buffered = 0;
        for task in tasks {
            let (status, elapsed) = task.await.expect("a finished task");
            assert!([502, 503, 504].contains(&status), "{status}");
            buffered += u32::from(elapsed > Duration::from_secs(4));
        }
        assert!(buffered <= 4, "{buffered} responses of 1 MB were buffered");
    });
}

// Starts a server that sends `response` once on each connection and keeps the connection open.
async fn start_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    compio::runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            compio::runtime::spawn(async move {
                let _ = stream.read(Vec::with_capacity(4_096)).await;
                let _ = stream.write_all(response).await;
                let _ = stream.read(Vec::with_capacity(4_096)).await;
            })
            .detach();
        }
    })
    .detach();
    address
}

// Sends a request to the server, whose response the process of `budget` has to keep.
async fn read_from(address: SocketAddr, budget: &ResponseBudget) -> AttemptOutcome {
    let request = PreparedRequest {
        id: "m1".to_owned(),
        method: Method::GET,
        path_and_query: "/read/a".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: "".into(),
    };
    let options = AttemptOptions {
        address,
        max_connections: 100,
        max_idle_time: Duration::ZERO,
        deadline: boot_time() + Duration::from_secs(1),
    };
    let pool = ConnectionPool::new();
    let report = pass_to_host(&pool, &native::dialect(), budget, &request, options).await;
    report.outcome
}

// Regression: each connection kept a head of up to 400 KB, so that faulty targets on a thousand connections took a
// process over its memory.
#[test]
fn a_head_above_its_limit_is_given_up_at_once() {
    run(async {
        let head = format!("HTTP/1.1 200 OK\r\nx-long: {}", "a".repeat(24 * 1_024));
        let address = start_server(head.into_bytes()).await;
        let started_at = Instant::now();
        let outcome = read_from(address, &ResponseBudget::new(64)).await;
        let timed_out = matches!(
            outcome,
            AttemptOutcome::Unknown {
                timed_out: true,
                ..
            }
        );
        assert!(!timed_out, "{outcome:?} after {:?}", started_at.elapsed());
    });
}

// Regression: a body that was announced beyond its limit was read up to it, for as long as the request had time.
#[test]
fn a_body_announced_beyond_its_limit_is_given_up_at_once() {
    let lengths = [
        "16777217",
        "9223372036854775807",
        "18446744073709551613",
        "18446744073709551614",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999",
        "18446744073709551615, 18446744073709551615",
    ];
    run(async {
        for length in lengths {
            let head = "HTTP/1.1 404 Not Found\r\nfighall-passed: m1\r\n";
            let response = format!("{head}content-length: {length}\r\n\r\na");
            let address = start_server(response.into_bytes()).await;
            let outcome = read_from(address, &ResponseBudget::new(64)).await;
            let is_given_up = matches!(
                outcome,
                AttemptOutcome::Unknown {
                    timed_out: false,
                    ..
                }
            );
            assert!(is_given_up, "{length}: {outcome:?}");
        }
    });
}

const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a.css>\r\n\r\n";

// Regression: interim responses without end took their share of the thread until the deadline of the request.
#[test]
fn interim_responses_beyond_their_limit_are_given_up_at_once() {
    run(async {
        let address = start_server(HINTS.repeat(100).into_bytes()).await;
        let started_at = Instant::now();
        let outcome = read_from(address, &ResponseBudget::new(64)).await;
        let is_broken = matches!(
            outcome,
            AttemptOutcome::Unknown {
                timed_out: false,
                closed: false,
                ..
            }
        );
        assert!(is_broken, "{outcome:?} after {:?}", started_at.elapsed());
    });
}

// Guards the limit: a few interim responses are skipped.
#[test]
fn a_response_behind_some_interim_ones_is_returned() {
    run(async {
        let response = "HTTP/1.1 404 Not Found\r\nfighall-passed: m1\r\ncontent-length: 1\r\n\r\na";
        let interim = format!("HTTP/1.1 100 Continue\r\n\r\n{}", HINTS.repeat(20));
        let address = start_server(format!("{interim}{response}").into_bytes()).await;
        let outcome = read_from(address, &ResponseBudget::new(64)).await;
        let AttemptOutcome::Answered(response) = outcome else {
            panic!("{outcome:?}");
        };
        assert_eq!(response.status.as_u16(), 404);
    });
}

// Regression: a body no longer counted once it was complete, while its caller read slowly or another attempt was made.
#[test]
fn a_body_counts_until_it_has_been_delivered() {
    run(async {
        let head = "HTTP/1.1 404 Not Found\r\nfighall-passed: m1\r\ncontent-length: 60000\r\n\r\n";
        let mut response = head.as_bytes().to_vec();
        response.resize(response.len() + 60_000, b'a');
        let address = start_server(response).await;
        // 128 KiB, of which a growing body takes up to three times its length.
        let budget = ResponseBudget::new(1);
        let first = read_from(address, &budget).await;
        let AttemptOutcome::Answered(first) = first else {
            panic!("{first:?}");
        };
        assert_eq!(first.body.len(), 60_000);
        let second = read_from(address, &budget).await;
        assert!(
            matches!(second, AttemptOutcome::Unknown { .. }),
            "the budget is used up"
        );
        drop(first);
        let third = read_from(address, &budget).await;
        assert!(matches!(third, AttemptOutcome::Answered(_)), "{third:?}");
    });
}
