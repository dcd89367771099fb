//! Faulty targets that send an endless header section or body until the connection closes: the caller
//! gets a response in time, other callers are served meanwhile, and memory use stays bounded.

mod support;

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_gateway::native::READY_PATH;
use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};
use support::{KEY, TestFleet, list, send};

/// The route's timeout of 1 s, with an allowance for the response.
const ANSWERED: Duration = Duration::from_millis(1_500);
/// Limit for a readiness check while targets flood the host.
const READY: Duration = Duration::from_millis(500);
/// Time after which a starting host knows a target that was listed meanwhile.
const LISTED: Duration = Duration::from_millis(1_500);
/// Bytes sent in one write.
const PIECE: usize = 16_384;

/// A response that starts with `first` and then repeats `again` without end; `limit` is not applied.
struct EndlessAnswer {
    first: String,
    again: String,
    limit: usize,
}

fn endless(first: &str, again: &str) -> EndlessAnswer {
    EndlessAnswer {
        first: first.to_owned(),
        again: again.repeat((PIECE / again.len()).max(1)),
        limit: usize::MAX,
    }
}

struct EndlessTarget {
    address: SocketAddr,
    sent: Rc<Cell<usize>>,
    open: Rc<Cell<u32>>,
}

async fn start(answer: EndlessAnswer) -> EndlessTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (sent, open) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let target = EndlessTarget {
        address,
        sent: Rc::clone(&sent),
        open: Rc::clone(&open),
    };
    let answer = Rc::new(answer);
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, sent, open) = (Rc::clone(&answer), Rc::clone(&sent), Rc::clone(&open));
            compio::runtime::spawn(async move {
                open.set(open.get() + 1);
                let _ = flood(stream, &answer, &sent).await;
                open.set(open.get() - 1);
            })
            .detach();
        }
    })
    .detach();
    target
}

async fn flood(
    mut stream: TcpStream,
    answer: &EndlessAnswer,
    sent: &Cell<usize>,
) -> std::io::Result<()> {
    let compio::BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
    if read? == 0 {
        return Ok(());
    }
    stream
        .write_all(answer.first.clone().into_bytes())
        .await
        .0?;
    loop {
        stream
            .write_all(answer.again.clone().into_bytes())
            .await
            .0?;
        sent.set(sent.get() + answer.again.len());
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

async fn check(name: &str, answer: EndlessAnswer) {
    let fleet = TestFleet::start(0, "").await;
    let target = start(answer).await;
    list(&fleet.store, "t0", target.address);
    fleet.publish(|_| {}).await;
    compio::time::sleep(LISTED).await;
    let mut calls = Vec::new();
    for number in 0..4 {
        let callers = fleet.callers;
        calls.push(compio::runtime::spawn(async move {
            let client = cyper::Client::new().expect("a client");
            let path = if number % 2 == 0 {
                "/read/a"
            } else {
                "/write/a"
            };
            let from = Instant::now();
            let answer = send(&client, callers, path, &format!("m{number}"), KEY).await;
            (answer.expect("a response").status, from.elapsed())
        }));
    }
    let client = cyper::Client::new().expect("a client");
    let ready = format!("http://{}{READY_PATH}", fleet.ready);
    let asked = client.get(ready).expect("a request").send();
    let answer = compio::time::timeout(READY, asked).await;
    let answer = answer.unwrap_or_else(|_| panic!("{name}: readiness check timed out"));
    assert_eq!(answer.expect("a response").status().as_u16(), 200, "{name}");
    for call in calls {
        let (status, elapsed) = call.await.expect("a finished task");
        assert!([502, 503, 504].contains(&status), "{name}: {status}");
        assert!(elapsed < ANSWERED, "{name}: {status} after {elapsed:?}");
    }
    assert!(target.sent.get() > 0, "{name}: the target sent nothing");
    compio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(target.open.get(), 0, "{name}: connections still open");
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nfighall-target: t0\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

// The cases run one after the other, since each keeps a thread busy.
#[test]
fn callers_are_answered_in_time_whatever_comes_without_end() {
    let kinds = [
        ("header line", endless(&format!("{HEAD}x-long: "), "a")),
        ("header fields", endless(HEAD, "x-more: 1\r\n")),
        ("no status line", endless("", "no answer in the protocol ")),
        (
            "interim responses",
            endless("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ),
        ("body", endless(&format!("{HEAD}\r\n"), "a")),
        ("chunks", endless(&format!("{HEAD}{CHUNKED}"), "1\r\na\r\n")),
        (
            "trailers",
            endless(&format!("{HEAD}{CHUNKED}0\r\n"), "x-more: 1\r\n"),
        ),
    ];
    for (name, answer) in kinds {
        run(check(name, answer));
    }
}

// Regression: only each response body was limited, to 16 MB, not all of them together. A gateway with
// 32 MB buffers 4 MB of response bodies.
#[test]
fn many_bodies_take_no_more_memory_than_their_part() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let mut answer = endless(&format!("{HEAD}\r\n"), "a");
        answer.limit = 1 << 20;
        let target = start(answer).await;
        list(&fleet.store, "t0", target.address);
        fleet
            .publish(|policy| {
                for route in policy.routes.values_mut().flatten() {
                    route.timeout = Duration::from_secs(6);
                }
            })
            .await;
        compio::time::sleep(LISTED).await;
        let mut calls = Vec::new();
        for number in 0..16 {
            let callers = fleet.callers;
            calls.push(compio::runtime::spawn(async move {
                let client = cyper::Client::new().expect("a client");
                let from = Instant::now();
                let mark = format!("m{number}");
                let answer = send(&client, callers, "/write/a", &mark, KEY).await;
                (answer.expect("a response").status, from.elapsed())
            }));
        }
        let mut held = 0;
        for call in calls {
            let (status, elapsed) = call.await.expect("a finished task");
            assert!([502, 503, 504].contains(&status), "{status}");
            held += u32::from(elapsed > Duration::from_secs(4));
        }
        assert!(held <= 4, "{held} responses of 1 MB were buffered");
    });
}
