//! Answers that targets send more than once on a connection.

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_core::clock::boot_time;
use fighall_entry::exchange::{ExchangeBounds, ExchangeGuard, ReuseFlag, send};
use fighall_net::{
    body::OutboundBody,
    pool::{ConnectionOptions, ConnectionPool},
};
use fighall_route::retry::AttemptResult;
use fighall_testkit::malformed_heads::{FIELD_LINES, STATUS_LINES};
use http::Request;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

fn answer(id: &str, run: u32) -> String {
    format!("HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nx-run: {run}\r\ncontent-length: 0\r\n\r\n")
}

// Answers each request on a connection, from the second one on behind a copy of the answer before.
async fn serve(mut stream: TcpStream, runs: Rc<Cell<u32>>) -> std::io::Result<()> {
    let mut previous = String::new();
    loop {
        let compio::BufResult(length, head) = stream.read(Vec::with_capacity(4_096)).await;
        if length? == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let mut lines = head.lines();
        let id = lines.find_map(|line| line.strip_prefix("fighall-request: "));
        runs.set(runs.get() + 1);
        let current = answer(id.unwrap_or_default(), runs.get());
        let bytes = format!("{previous}{current}").into_bytes();
        stream.write_all(bytes).await.0?;
        previous = current;
    }
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let runs = Rc::new(Cell::new(0));
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = serve(stream, Rc::clone(&runs));
            compio::runtime::spawn(async move {
                let _ = served.await;
            })
            .detach();
        }
    })
    .detach();
    address
}

// Sends a request. Returns the identifier and the run of the answer, or whether it may have run without one.
async fn send_request(
    pool: &Rc<ConnectionPool>,
    address: SocketAddr,
    id: &str,
) -> Result<String, AttemptResult> {
    let mut guard = ExchangeGuard::new(Rc::clone(pool), None, ReuseFlag::default());
    let request = Request::post("/a")
        .header("host", "quotes.example")
        .header("fighall-request", id)
        .body(OutboundBody::full("content".into()));
    let bounds = ExchangeBounds {
        need: ConnectionOptions {
            max_idle_time: Duration::from_secs(1),
            max_connections: 4,
        },
        give_up_at: boot_time() + Duration::from_secs(1),
    };
    let sent = send(&mut guard, address, request.expect("a request"), bounds).await;
    let response = sent.map_err(|failure| failure.result)?;
    guard.finish();
    let text = |name: &str| response.headers()[name].to_str().expect("text").to_owned();
    Ok(format!("{} run {}", text("fighall-request"), text("x-run")))
}

// Sends two requests one after the other. Returns the result of the second one.
async fn send_both(ids: [&str; 2]) -> Result<String, AttemptResult> {
    let pool = Rc::new(ConnectionPool::new());
    let address = start_target().await;
    let first = send_request(&pool, address, ids[0]).await;
    assert_eq!(first.expect("an answer"), format!("{} run 1", ids[0]));
    send_request(&pool, address, ids[1]).await
}

#[test]
fn copy_of_an_answer_is_not_accepted_for_another_request_on_its_connection() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let second = send_both(["e1", "e2"]).await;
        assert!(
            matches!(second, Err(AttemptResult::MayHaveRun)),
            "{second:?}"
        );
    });
}

#[test]
fn copy_of_an_answer_is_not_accepted_for_a_later_attempt_of_its_request() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let second = send_both(["e1", "e1"]).await;
        assert_eq!(second.expect("an answer"), "e1 run 2");
    });
}

// Starts a target that sends the same bytes for each request.
async fn start_repeating_target(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the listener should be bound");
    let address = listener.local_addr().expect("the address should be known");
    compio::runtime::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(Vec::with_capacity(4_096)).await;
            let _ = stream.write_all(bytes.clone()).await;
            let _ = stream.read(Vec::with_capacity(4_096)).await;
        }
    })
    .detach();
    address
}

#[test]
fn a_malformed_head_is_no_answer() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(async {
        let field = b"fighall-request: e1\r\nx-run: 1\r\ncontent-length: 0\r\n";
        let mut heads = Vec::new();
        for line in STATUS_LINES {
            heads.push([line.as_bytes(), b"\r\n", field, b"\r\n"].concat());
        }
        for line in FIELD_LINES {
            heads.push([b"HTTP/1.1 200 OK\r\n", line, field, b"\r\n"].concat());
        }
        for head in heads {
            let shown = head.escape_ascii().to_string();
            let pool = Rc::new(ConnectionPool::new());
            let address = start_repeating_target(head).await;
            let answer = send_request(&pool, address, "e1").await;
            assert!(
                matches!(answer, Err(AttemptResult::MayHaveRun)),
                "{shown}: {answer:?}"
            );
        }
    });
}
