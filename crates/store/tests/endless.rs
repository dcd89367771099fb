//! A store whose responses do not end: calls fail in time, and other tasks of the thread run.

use compio::runtime::Runtime;
use fighall_core::clock::boot_time;
use fighall_store::{
    client::{ClientOptions, StoreClient},
    errors::Error,
};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Time for which the store sends.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of a call that ends before it.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after a timeout within which the call has to end.
const ALLOWANCE: Duration = Duration::from_millis(500);
/// Bytes sent in one write.
const WRITE_BYTES: usize = 64 * 1_024;
/// Number of calls at a time.
const CALLS: usize = 4;

// Sends `repeated` up to `max_bytes`, or until the time is over or the other side closes the connection.
fn send(mut stream: TcpStream, start: &str, repeated: &str, max_bytes: usize) {
    let started_at = Instant::now();
    let _ = stream.read(&mut [0; 4_096]);
    let _ = stream.set_write_timeout(Some(FLOOD_TIME));
    let repeated = repeated.repeat((WRITE_BYTES / repeated.len()).max(1));
    let mut sent_bytes = 0;
    let mut sent = stream.write_all(start.as_bytes());
    while sent.is_ok() && sent_bytes < max_bytes && started_at.elapsed() < FLOOD_TIME {
        sent = stream.write_all(repeated.as_bytes());
        sent_bytes += repeated.len();
    }
    // Keeps the connection open until the other side closes it.
    let _ = stream.read(&mut [0; 4_096]);
}

fn start_store(start: &'static str, repeated: &str, max_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let repeated = repeated.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let repeated = repeated.clone();
            thread::spawn(move || send(stream, start, &repeated, max_bytes));
        }
    });
    address
}

// Sends calls at the same time. Returns the error of each and the time that it took.
fn call(store: SocketAddr, timeout: Duration) -> Vec<(Error, Duration)> {
    let options = ClientOptions {
        timeout,
        ..ClientOptions::with_address(store.to_string())
    };
    let client = StoreClient::new(options).expect("the client should be created");
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let calls = (0..CALLS).map(|_| async {
            let started_at = boot_time();
            let watched = client.watch("targets", 0, Duration::ZERO).await;
            let error = watched.expect_err("no valid response");
            (error, boot_time().saturating_sub(started_at))
        });
        futures_util::future::join_all(calls).await
    })
}

// Regression: a store that sent faster than its responses were parsed kept the thread, and no timeout took effect.
#[test]
fn a_call_to_a_store_that_sends_without_end_fails_in_time() {
    let fields = "link: </style.css>; rel=preload; as=style\r\n".repeat(60);
    let hints = format!("HTTP/1.1 103 Early Hints\r\n{fields}\r\n");
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, repeated) in [
        ("", hints.as_str()),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        (chunked, "1\r\nx\r\n"),
    ] {
        let store = start_store(start, repeated, usize::MAX);
        for (error, elapsed) in call(store, CALL_TIMEOUT) {
            let limit = CALL_TIMEOUT + ALLOWANCE;
            assert!(elapsed <= limit, "{error} after {elapsed:?}: {repeated:?}");
        }
    }
}

// Regression: the size of a response had no limit but the rate of the link for the time of a call.
#[test]
fn a_response_of_the_store_beyond_its_limit_is_not_read_to_the_end() {
    let store = start_store("HTTP/1.1 200 OK\r\n\r\n", "x", 40 << 20);
    for (error, _) in call(store, LONG_TIMEOUT) {
        assert!(!matches!(error, Error::Timeout { .. }), "{error}");
    }
}

// Regression: a length that was announced beyond the limit was awaited until the timeout.
#[test]
fn a_response_of_the_store_announced_beyond_its_limit_is_not_awaited() {
    for start in [
        "HTTP/1.1 200 OK\r\ncontent-length: 8388609\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551613\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n",
    ] {
        let store = start_store(start, "x", 1);
        for (error, _) in call(store, LONG_TIMEOUT) {
            assert!(
                !matches!(error, Error::Timeout { .. }),
                "{start:?}: {error}"
            );
        }
    }
}

// Regression: the same for interim responses, whose number had no limit.
#[test]
fn interim_responses_of_the_store_beyond_their_limit_fail_the_call() {
    let store = start_store("", "HTTP/1.1 100 Continue\r\n\r\n", 1);
    for (error, _) in call(store, LONG_TIMEOUT) {
        assert!(!matches!(error, Error::Timeout { .. }), "{error}");
    }
}
