//! Remote hosts that send without end, as fast as they can: other tasks of the thread run in time.

mod pipelined_host;

use bytes::Bytes;
use compio::net::TcpStream;
use fighall_core::clock::boot_time;
use fighall_net::{
    body::OutboundBody,
    pool::{ConnectionOptions, ConnectionPool},
    stream::SocketStream,
};
use http::Request;
use http_body_util::BodyExt;
use pipelined_host::{bodies, get, run, start_host, write};
use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream as BlockingStream},
    task::{Context, Poll, Waker},
    thread,
    time::{Duration, Instant},
};

/// Time for which a remote host sends.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a timeout or after a request within which the answer has to be ready.
const ALLOWANCE: Duration = Duration::from_millis(500);
/// Time within which a remote host fills a receive buffer.
const FILL_TIME: Duration = Duration::from_millis(300);
/// Largest number of bytes in a turn, and number of turns for which a receive buffer lasts.
const MAX_TURN_BYTES: usize = 32 * 1_024;
const MIN_TURNS: usize = 3;
/// Bytes sent in one write.
const WRITE_BYTES: usize = 64 * 1_024;

/// `Flood` is what a remote host sends.
#[derive(Debug, Clone)]
struct Flood {
    name: &'static str,
    start: String,
    repeated: String,
}

fn flood(name: &'static str, start: &str, repeated: &str) -> Flood {
    Flood {
        name,
        start: start.to_owned(),
        repeated: repeated.to_owned(),
    }
}

// Sends until the time is over or the other side closes the connection.
fn send(mut stream: &BlockingStream, flood: &Flood) {
    let started_at = Instant::now();
    let _ = stream.set_write_timeout(Some(FLOOD_TIME));
    let repeated = flood
        .repeated
        .repeat((WRITE_BYTES / flood.repeated.len()).max(1));
    let mut sent = stream.write_all(flood.start.as_bytes());
    while sent.is_ok() && started_at.elapsed() < FLOOD_TIME {
        sent = stream.write_all(repeated.as_bytes());
    }
    let _ = stream.shutdown(Shutdown::Both);
}

// Starts a remote host that answers one request with a flood.
fn start_flooding_host(flood: Flood) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 4_096]);
        send(&stream, &flood);
    });
    address
}

async fn exchange(address: SocketAddr) {
    let pool = ConnectionPool::new();
    let options = ConnectionOptions {
        max_idle_time: Duration::ZERO,
        max_connections: 1,
    };
    let taken = pool.take(address, None, options).await;
    let mut connection = taken.expect("a connection");
    let request = Request::new(OutboundBody::full(Bytes::new()));
    let Ok(response) = connection.sender.send_request(request).await else {
        return;
    };
    let mut body = response.into_body();
    while let Some(Ok(_)) = body.frame().await {}
}

// Reads what has arrived until the stream gives way. Returns the number of bytes.
fn read_turn(stream: &mut SocketStream) -> usize {
    let mut cx = Context::from_waker(Waker::noop());
    let mut bytes = [0; 4_096];
    let mut count = 0;
    while let Poll::Ready(read) = stream.poll_read_bytes(&mut cx, &mut bytes) {
        count += read.expect("an open stream");
    }
    count
}

// Regression: a task that read a stream did not give way as long as bytes had arrived.
#[test]
fn a_stream_gives_way_while_more_bytes_wait() {
    run(async {
        let address = start_flooding_host(flood("bytes", "", "x"));
        let mut tcp = TcpStream::connect(address).await.expect("a connection");
        write(&mut tcp, "x").await;
        // Blocks the thread, so that the remote host fills the receive buffer.
        thread::sleep(FILL_TIME);
        let mut stream = SocketStream::new(tcp).expect("a stream");
        for _ in 0..MIN_TURNS {
            let count = read_turn(&mut stream);
            assert!((1..=MAX_TURN_BYTES).contains(&count), "{count} bytes");
        }
    });
}

// Regression: a connection whose remote host sent faster than its responses were parsed kept its thread until the remote
// host stopped, and no timeout took effect.
#[test]
fn an_exchange_with_a_host_that_sends_without_end_is_given_up_at_its_timeout() {
    let fields = "link: </style.css>; rel=preload; as=style\r\n".repeat(60);
    let hints = format!("HTTP/1.1 103 Early Hints\r\n{fields}\r\n");
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let floods = [
        flood("interim responses with many fields", "", &hints),
        flood(
            "interim responses without fields",
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
        ),
        flood("a head", "HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        flood("a body until the end", "HTTP/1.1 200 OK\r\n\r\n", "x"),
        flood("small chunks", chunked, "1\r\nx\r\n"),
        flood("a chunk extension", &format!("{chunked}1;"), "x"),
        flood("blanks behind a chunk's size", &format!("{chunked}1"), " "),
        flood("trailers", &format!("{chunked}0\r\n"), "a: b\r\n"),
        flood("empty lines", "", "\r\n"),
    ];
    let mut late = Vec::new();
    for flood in floods {
        let name = flood.name;
        run(async {
            let address = start_flooding_host(flood);
            let started_at = boot_time();
            let _ = compio::time::timeout(EXCHANGE_TIMEOUT, exchange(address)).await;
            let elapsed = boot_time().saturating_sub(started_at);
            if elapsed > EXCHANGE_TIMEOUT + ALLOWANCE {
                late.push((name, elapsed));
            }
        });
    }
    assert!(late.is_empty(), "given up too late: {late:?}");
}

// Guards the other side: a client that sends without end, with others waiting for their responses.
#[test]
fn a_client_that_sends_without_end_does_not_delay_others() {
    let post = "POST /a HTTP/1.1\r\nhost: a\r\n";
    let chunked = format!("{post}transfer-encoding: chunked\r\n\r\n");
    let floods = [
        flood("requests", "", &get("/a")),
        flood("a head", "GET /a HTTP/1.1\r\n", "a: b\r\n"),
        flood("empty lines", "", "\r\n"),
        flood(
            "a body",
            &format!("{post}content-length: 99999999999\r\n\r\n"),
            "x",
        ),
        flood("small chunks", &chunked, "1\r\nx\r\n"),
        flood("a chunk extension", &format!("{chunked}1;"), "x"),
        flood("trailers", &format!("{chunked}0\r\n"), "a: b\r\n"),
        flood("bytes that are no request", "", "\0"),
    ];
    for flood in floods {
        run(async {
            let (_host, _kernel, address) = start_host(Duration::ZERO).await;
            let sender = {
                let flood = flood.clone();
                thread::spawn(move || {
                    let stream = BlockingStream::connect(address).expect("a connection");
                    send(&stream, &flood);
                })
            };
            let started_at = boot_time();
            while !sender.is_finished() && boot_time().saturating_sub(started_at) < FLOOD_TIME {
                let sent_at = boot_time();
                let mut stream = TcpStream::connect(address).await.expect("a connection");
                write(&mut stream, &get("/b")).await;
                assert_eq!(bodies(&mut stream, 1).await, ["/b"], "{}", flood.name);
                let elapsed = boot_time().saturating_sub(sent_at);
                assert!(elapsed <= ALLOWANCE, "{}: {elapsed:?}", flood.name);
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        });
    }
}
