//! The requests that run are those that the client sent, whatever their fields contain and however they are cut into
//! segments.

mod pipelined_host;

use arbtest::{arbitrary::Unstructured, arbtest};
use compio::net::TcpStream;
use pipelined_host::{bodies, run, start_host, write};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 1..60;
const SEED_SIZE: u64 = 4_096;
const PAUSE: Duration = Duration::from_millis(2);
/// Request lines that a field or a body contains.
const EMBEDDED_LINES: [&str; 5] = [
    "POST /once/never-sent HTTP/1.1",
    "GET /never-sent HTTP/1.1",
    "DELETE /once/never-sent?a=b HTTP/1.0",
    "/never-sent HTTP/1.1",
    "x /never-sent HTTP/1.1",
];

/// `SentRequest` is a request as its client sends it and as its host records it.
#[derive(Debug, Clone)]
struct SentRequest {
    text: String,
    record: String,
    answer: String,
}

impl SentRequest {
    fn new(method: &str, path: &str, field: &str) -> Self {
        Self {
            text: format!("{method} {path} HTTP/1.1\r\nhost: a\r\nx-trace: {field}\r\n\r\n"),
            record: format!("{method} {path}\nhost: a\nx-trace: {field}\n"),
            answer: path.to_owned(),
        }
    }

    fn with_body(path: &str, field: &str, body: &str, chunk_bytes: Option<usize>) -> Self {
        let (framing, text) = match chunk_bytes {
            None => (format!("content-length: {}", body.len()), body.to_owned()),
            Some(bytes) => {
                let mut text = String::new();
                for chunk in body.as_bytes().chunks(bytes) {
                    let chunk = String::from_utf8_lossy(chunk);
                    text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
                }
                let framing = "transfer-encoding: chunked".to_owned();
                (framing, text + "0\r\n\r\n")
            }
        };
        Self {
            text: format!(
                "POST {path} HTTP/1.1\r\nhost: a\r\n{framing}\r\nx-trace: {field}\r\n\r\n{text}"
            ),
            record: format!("POST {path}\nhost: a\nx-trace: {field}\n{body}"),
            answer: format!("{path}{body}"),
        }
    }
}

// A field value with `line` at about `offset` of the request's head, and more behind it.
fn field_with(line: &str, offset: usize, padding: usize) -> String {
    format!("{}{line}{}", "p".repeat(offset), "q".repeat(padding))
}

// Sends the requests in segments of the given sizes, one after the other, and checks what ran and what was answered.
fn check(requests: &[SentRequest], segments: &[usize], pause: Duration) {
    let text: String = requests
        .iter()
        .map(|request| request.text.as_str())
        .collect();
    run(async {
        let (host, _kernel, address) = start_host(Duration::from_millis(1)).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let mut rest = text.as_str();
        for size in segments {
            let (segment, left) = rest.split_at((*size).min(rest.len()));
            write(&mut stream, segment).await;
            compio::time::sleep(pause).await;
            rest = left;
        }
        write(&mut stream, rest).await;
        let answers = bodies(&mut stream, requests.len()).await;
        let expected: Vec<_> = requests
            .iter()
            .map(|request| request.answer.clone())
            .collect();
        let mut ran = host.requests.borrow().clone();
        let mut sent: Vec<_> = requests
            .iter()
            .map(|request| request.record.clone())
            .collect();
        ran.sort();
        sent.sort();
        assert_eq!(ran, sent, "the requests that ran");
        assert_eq!(answers, expected, "the answers");
    });
}

// Regression: while the HTTP library had read only a part of a long head, the rest of it was parsed as the next request.
#[test]
fn a_head_that_is_handed_over_in_parts_is_no_later_request() {
    let offsets = [
        1_000, 4_096, 8_130, 8_150, 8_192, 9_000, 12_000, 15_000, 16_300,
    ];
    for line in EMBEDDED_LINES {
        for offset in offsets {
            for segments in [&[][..], &[offset], &[100, 8_092], &[8_192, 1]] {
                let long = SentRequest::new("GET", "/long", &field_with(line, offset, 0));
                let behind = SentRequest::new("GET", "/behind", "short");
                check(&[long, behind], segments, PAUSE);
            }
        }
    }
}

// Regression: the same for a long head behind other requests, before longer ones, and between requests with bodies.
#[test]
fn any_requests_in_any_segments_run_as_they_were_sent() {
    for seed in SEEDS {
        arbtest(|source| {
            let mut requests = Vec::new();
            for number in 0..source.int_in_range(1..=8_usize)? {
                requests.push(any_request(source, number)?);
            }
            let mut segments = Vec::new();
            for _ in 0..source.int_in_range(0..=12_usize)? {
                segments.push(source.int_in_range(1..=12_000_usize)?);
            }
            let pause = *source.choose(&[Duration::ZERO, PAUSE])?;
            check(&requests, &segments, pause);
            Ok(())
        })
        .seed((seed << 32) | SEED_SIZE)
        .run();
    }
}

fn any_request(
    source: &mut Unstructured<'_>,
    number: usize,
) -> arbtest::arbitrary::Result<SentRequest> {
    let offset = match source.ratio(1, 2)? {
        true => source.int_in_range(0..=200_usize)?,
        false => source.int_in_range(7_900..=15_000_usize)?,
    };
    let padding = match source.ratio(2, 3)? {
        true => 0,
        false => source.int_in_range(1..=400_usize)?,
    };
    let line = *source.choose(&EMBEDDED_LINES)?;
    let field = field_with(line, offset, padding);
    if source.ratio(2, 3)? {
        let method = *source.choose(&["GET", "OPTIONS"])?;
        return Ok(SentRequest::new(method, &format!("/{number}"), &field));
    }
    let path = *source.choose(&["/once", "/any"])?;
    let path = format!("{path}/{number}");
    let body = format!("{line}\r\nhost: a\r\n\r\n").repeat(source.int_in_range(0..=300_usize)?);
    let chunk_bytes = match source.ratio(1, 2)? {
        true => Some(source.int_in_range(1..=9_000_usize)?),
        false => None,
    };
    Ok(SentRequest::with_body(&path, &field, &body, chunk_bytes))
}

// Regression: requests behind a head longer than one read of the HTTP library are served concurrently with it.
#[test]
fn requests_behind_a_long_head_run_concurrently() {
    let mut requests = vec![SentRequest::new("GET", "/long", &"p".repeat(15_000))];
    for path in ["/a", "/b", "/c"] {
        requests.push(SentRequest::new("GET", path, "short"));
    }
    let text: String = requests
        .iter()
        .map(|request| request.text.as_str())
        .collect();
    run(async {
        let (host, _kernel, address) = start_host(Duration::from_millis(200)).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        write(&mut stream, &text).await;
        assert_eq!(bodies(&mut stream, 4).await, ["/long", "/a", "/b", "/c"]);
        assert_eq!(host.max_running.get(), 4);
    });
}
