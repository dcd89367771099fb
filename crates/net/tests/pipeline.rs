//! Pipelined requests over real sockets: which requests run concurrently, the order of responses, and
//! what happens to them when the caller disconnects or the host stops.

mod pipelined_host;

use arbtest::arbtest;
use compio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use fighall_core::clock::boot_time;
use fighall_kernel::stage::LifeStage;
use pipelined_host::{bodies, chunked, get, post, run, start_host, write};
use std::time::Duration;

const WORK_TIME: Duration = Duration::from_millis(200);

#[test]
fn safe_requests_run_concurrently_and_are_answered_in_order() {
    run(async {
        let (host, _kernel, address) = start_host(WORK_TIME).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let sent_at = boot_time();
        write(&mut stream, &[get("/a"), get("/b")].concat()).await;
        // Sends the third request while the others are being served.
        compio::time::sleep(WORK_TIME / 4).await;
        write(&mut stream, &get("/c")).await;
        assert_eq!(bodies(&mut stream, 3).await, ["/a", "/b", "/c"]);
        let elapsed = boot_time().saturating_sub(sent_at);
        assert!(
            elapsed < WORK_TIME * 2,
            "three concurrent requests took {elapsed:?}"
        );
        assert_eq!(host.max_running.get(), 3);
    });
}

#[test]
fn unsafe_requests_do_not_run_concurrently() {
    run(async {
        let (host, _kernel, address) = start_host(WORK_TIME).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let requests = [
            get("/a"),
            post("/b", "x"),
            get("/c"),
            get("/once"),
            get("/d"),
        ];
        write(&mut stream, &requests.concat()).await;
        let expected = ["/a", "/bx", "/c", "/once", "/d"];
        assert_eq!(bodies(&mut stream, 5).await, expected);
        let started = host.started.borrow().clone();
        // `/d` may run concurrently with `/c`; `/once` waits for its turn.
        assert_eq!(started, ["/a", "/b", "/c", "/d", "/once"]);
        assert_eq!(host.max_running.get(), 2);
    });
}

#[test]
fn requests_of_a_caller_that_disconnects_are_cancelled() {
    run(async {
        let (host, _kernel, address) = start_host(WORK_TIME * 10).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        write(&mut stream, &[get("/a"), get("/b")].concat()).await;
        compio::time::sleep(WORK_TIME).await;
        assert_eq!(host.running.get(), 2);
        drop(stream);
        compio::time::sleep(WORK_TIME).await;
        assert_eq!(host.cancelled.get(), 2);
    });
}

// Sends `requests`, closes the connection while the first one is being served, and waits until the others
// would have started. Returns how many requests were started and how many of them cancelled.
async fn play_disconnect(requests: &str) -> (usize, usize) {
    let (host, _kernel, address) = start_host(WORK_TIME * 3).await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    write(&mut stream, requests).await;
    compio::time::sleep(WORK_TIME).await;
    assert_eq!(host.running.get(), 1);
    drop(stream);
    compio::time::sleep(WORK_TIME * 4).await;
    let started = host.started.borrow().len();
    (started, host.cancelled.get())
}

// Regression: a close was not noticed while bytes of later requests waited behind a chunked body. The request
// in progress went on, and those behind it ran after their caller had left.
#[test]
fn requests_behind_a_chunked_body_are_cancelled_when_the_caller_disconnects() {
    run(async {
        let requests = [chunked("/a", &["abc", "de"]), get("/b"), get("/c")];
        assert_eq!(play_disconnect(&requests.concat()).await, (1, 1));
    });
}

// Regression: the same behind more bytes of later requests than are read ahead.
#[test]
fn requests_before_a_full_buffer_are_cancelled_when_the_caller_disconnects() {
    run(async {
        for body in [70_000, 90_000] {
            let requests = [post("/a", "x"), post("/b", &"y".repeat(body))];
            assert_eq!(play_disconnect(&requests.concat()).await, (1, 1));
        }
    });
}

#[test]
fn a_graceful_shutdown_answers_all_requests_that_were_started() {
    run(async {
        let (host, kernel, address) = start_host(WORK_TIME).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        write(&mut stream, &[get("/a"), get("/b"), get("/c")].concat()).await;
        compio::time::sleep(WORK_TIME / 2).await;
        kernel.signal().enter(LifeStage::Refusing);
        compio::time::sleep(Duration::from_millis(10)).await;
        write(&mut stream, &get("/late")).await;
        // The connection closes after these responses; the later request was not started.
        assert_eq!(bodies(&mut stream, 4).await, ["/a", "/b", "/c"]);
        assert_eq!(*host.started.borrow(), ["/a", "/b", "/c"]);
        kernel.wait_for_work().await;
    });
}

#[test]
fn the_connection_closes_only_after_the_responses_to_running_requests() {
    run(async {
        let (host, _kernel, address) = start_host(WORK_TIME).await;
        host.closes_connection.set(true);
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        write(&mut stream, &[get("/a"), get("/b"), get("/c")].concat()).await;
        assert_eq!(bodies(&mut stream, 3).await, ["/a", "/b", "/c"]);
        write(&mut stream, &get("/d")).await;
        assert!(
            bodies(&mut stream, 1).await.is_empty(),
            "the connection must be closed"
        );
    });
}

#[test]
fn requests_of_unknown_length_are_served_in_sequence() {
    run(async {
        let (_host, _kernel, address) = start_host(Duration::ZERO).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let chunked = "POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
                       3\r\nabc\r\n0\r\n\r\n";
        let requests = [get("/x"), chunked.to_owned(), get("/b"), get("/c")].concat();
        write(&mut stream, &requests).await;
        assert_eq!(bodies(&mut stream, 4).await, ["/x", "/aabc", "/b", "/c"]);
    });
}

#[test]
fn a_too_large_head_is_refused() {
    run(async {
        let (_host, _kernel, address) = start_host(Duration::ZERO).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let filler = "x".repeat(80_000);
        let request = format!("GET /a HTTP/1.1\r\nhost: a\r\nfiller: {filler}\r\n\r\n");
        let sent = stream.write_all(request.into_bytes()).await;
        // The write fails if the host closes the connection before the whole request is sent.
        drop(sent);
        let chunk = Vec::with_capacity(4_096);
        let compio::BufResult(read, chunk) = stream.append(chunk).await;
        let text = String::from_utf8_lossy(&chunk).into_owned();
        assert!(read.is_err() || text.starts_with("HTTP/1.1 431"), "{text}");
    });
}

#[test]
fn any_sequence_of_requests_in_any_segments_is_answered_in_order() {
    arbtest(|source| {
        let mut text = String::new();
        let mut expected = Vec::new();
        for number in 0..source.int_in_range(1..=24_usize)? {
            let path = format!("/{number}");
            if source.ratio(1, 5)? {
                let text_chunks = [get("/no"), "y".repeat(9_000), "0\r\n\r\n".to_owned()];
                let mut chunks = Vec::new();
                for _ in 0..source.int_in_range(0..=3_usize)? {
                    chunks.push(source.choose(&text_chunks)?.as_str());
                }
                text.push_str(&chunked(&path, &chunks));
                expected.push(format!("{path}{}", chunks.concat()));
                continue;
            }
            if source.ratio(2, 3)? {
                text.push_str(&get(&path));
                expected.push(path);
                continue;
            }
            // One of the bodies looks like a request, which the framing must not take for one.
            let body = [get("/no"), "y".repeat(9_000), String::new()];
            let body = source.choose(&body)?;
            text.push_str(&post(&path, body));
            expected.push(format!("{path}{body}"));
        }
        let mut segments = Vec::new();
        let mut rest = text.as_str();
        while !rest.is_empty() {
            let max_length = rest.len().min(20_000);
            let (segment, left) = rest.split_at(source.int_in_range(1..=max_length)?);
            segments.push(segment.to_owned());
            rest = left;
        }
        run(async {
            let (_host, _kernel, address) = start_host(Duration::from_millis(1)).await;
            let mut stream = TcpStream::connect(address).await.expect("a connection");
            for segment in &segments {
                write(&mut stream, segment).await;
            }
            assert_eq!(bodies(&mut stream, expected.len()).await, expected);
        });
        Ok(())
    })
    .budget_ms(2_000);
}
