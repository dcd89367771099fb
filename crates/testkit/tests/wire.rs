//! What callers may do on the wire: slow heads and bodies, large heads, `Expect`, several requests
//! on a connection, and garbage.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use fighall_testkit::cluster::LocalCluster;
use std::time::{Duration, Instant};
use support::{run, small};

const BOUND: Duration = Duration::from_secs(15);

/// Sends bytes in parts with a pause after each, then reads until the host closes or `enough`.
async fn exchange(address: &str, parts: &[&str], pause: Duration, enough: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    for part in parts {
        let BufResult(sent, _) = stream.write_all(part.as_bytes().to_vec()).await;
        if sent.is_err() {
            break;
        }
        compio::time::sleep(pause).await;
    }
    let mut text = String::new();
    let until = Instant::now() + BOUND;
    while Instant::now() < until && (enough.is_empty() || !text.contains(enough)) {
        let read = stream.read(Vec::with_capacity(4_096));
        match compio::time::timeout(BOUND, read).await {
            Ok(BufResult(Ok(count), bytes)) if count > 0 => {
                text.push_str(&String::from_utf8_lossy(&bytes));
            }
            _ => break,
        }
    }
    text
}

#[test]
fn callers_on_the_wire_get_what_http_promises() {
    run(async {
        let cluster = LocalCluster::start(small()).await.unwrap();
        let entry = cluster.entries().remove(0);
        let short = Duration::from_millis(50);

        let open = "GET /open/a HTTP/1.1\r\nHost: desk.example\r\n\r\n";
        let two = exchange(&entry, &[open, open], short, "nothing").await;
        assert_eq!(two.matches("HTTP/1.1 200").count(), 2, "{two}");

        let expecting = "POST /open/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\n\
                         Expect: 100-continue\r\n\r\n";
        let text = exchange(&entry, &[expecting, "abc"], short, "HTTP/1.1 200").await;
        assert!(text.starts_with("HTTP/1.1 100"), "{text}");
        assert!(text.contains("HTTP/1.1 200"), "{text}");

        let chunked = "POST /open/a HTTP/1.1\r\nHost: desk.example\r\n\
                       Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let text = exchange(&entry, &[chunked], short, "HTTP/1.1").await;
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");

        let garbage = exchange(&entry, &["\u{1}\u{2} garbage\r\n\r\n"], short, "").await;
        assert!(
            garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"),
            "{garbage}"
        );

        let head = format!(
            "GET /open/a HTTP/1.1\r\nHost: desk.example\r\nX-Large: {}\r\n\r\n",
            "x".repeat(100_000)
        );
        let large = exchange(&entry, &[&head], short, "").await;
        assert!(
            large.is_empty() || large.starts_with("HTTP/1.1 431"),
            "{large}"
        );
    });
}

#[test]
fn slow_callers_are_let_go_and_nothing_runs_for_them() {
    run(async {
        let cluster = LocalCluster::start(small()).await.unwrap();
        let entry = cluster.entries().remove(0);
        let started = Instant::now();
        // Half a head, and then nothing.
        let text = exchange(&entry, &["GET /open/a HTTP/1.1\r\nHo"], Duration::ZERO, "").await;
        assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
        // A head whose body does not come.
        let half = "POST /open/a HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 9\r\n\r\nab";
        let text = exchange(&entry, &[half], Duration::ZERO, "\"run\"").await;
        assert!(text.starts_with("HTTP/1.1 408"), "{text}");
        assert!(text.contains("\"run\":\"no\""), "{text}");
        assert!(started.elapsed() < BOUND, "{:?}", started.elapsed());
        let started: u64 = cluster
            .targets
            .values()
            .map(|target| target.record().started)
            .sum();
        assert_eq!(started, 0);
    });
}

#[test]
fn a_lookup_is_the_same_with_and_without_encoding() {
    run(async {
        let cluster = LocalCluster::start(small()).await.unwrap();
        let entry = cluster.entries().remove(0);
        for query in [
            "service=desk",
            "service=%64esk",
            "&ser%76ice=des%6B&client=%3A%3a1",
        ] {
            let head =
                format!("GET /.fighall/hosts?{query} HTTP/1.1\r\nHost: desk.example\r\n\r\n");
            let text = exchange(&entry, &[&head], Duration::ZERO, "\r\n\r\n{").await;
            assert!(text.starts_with("HTTP/1.1 200"), "{query}: {text}");
        }
    });
}
