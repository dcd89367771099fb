//! Framing of requests in the bytes of a connection.

use fighall_net::{
    chunks::{ChunkScanner, ScanResult},
    framing::{FrameResult, RequestFrame, parse_frame, parse_head, with_single_length},
};

const MAX_HEAD_BYTES: usize = 64 * 1_024;
const MAX_BODY_BYTES: u64 = 1 << 40;

fn frame(head: &str) -> Option<RequestFrame> {
    match parse_frame(head.as_bytes(), MAX_HEAD_BYTES) {
        FrameResult::Complete(frame) => Some(frame),
        FrameResult::Partial | FrameResult::Unframed => None,
    }
}

#[test]
fn the_head_determines_the_length_of_a_request() {
    let head = "POST /a HTTP/1.1\r\nhost: a\r\nContent-Length: 12\r\n\r\n";
    let request_frame = frame(&format!("{head}GET / ")).expect("a complete head");
    assert_eq!(request_frame.head_length, head.len());
    assert_eq!(request_frame.body_length, 12);
    assert!(!request_frame.may_run_concurrently() && !request_frame.closes_connection);
    for end in 0..head.len() {
        let result = parse_frame(&head.as_bytes()[..end], MAX_HEAD_BYTES);
        assert!(matches!(result, FrameResult::Partial), "{end}");
    }
}

#[test]
fn only_safe_requests_without_a_body_may_run_concurrently() {
    let cases = [
        ("GET / HTTP/1.1\r\n\r\n", true),
        ("HEAD / HTTP/1.1\r\n\r\n", true),
        ("GET / HTTP/1.1\r\ncontent-length: 1\r\n\r\n", false),
        (
            "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
            false,
        ),
        ("POST / HTTP/1.1\r\n\r\n", false),
        ("PUT / HTTP/1.1\r\n\r\n", false),
        ("DELETE / HTTP/1.1\r\n\r\n", false),
    ];
    for (head, expected) in cases {
        let frame = frame(head).expect("a complete head");
        assert_eq!(frame.may_run_concurrently(), expected, "{head}");
    }
}

#[test]
fn requests_without_a_determined_length_are_not_framed() {
    let heads = [
        "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: identity\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n",
        "GET / HTTP/1.1\r\nupgrade: h2c\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1, 2\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1,\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: +1\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: \r\n\r\n",
        "no request at all\r\n\r\n",
    ];
    for head in heads {
        assert!(
            matches!(
                parse_frame(head.as_bytes(), MAX_HEAD_BYTES),
                FrameResult::Unframed
            ),
            "{head}"
        );
    }
}

// A list of equal values is processed as one of them (RFC 9112, section 6.3).
#[test]
fn repeated_and_large_lengths_are_framed_and_marked() {
    let cases = [
        ("content-length: 1\r\n", 1, false),
        ("content-length: 1, 1\r\n", 1, true),
        ("content-length: 1\r\ncontent-length: 01\r\n", 1, true),
        (
            "content-length: 9223372036854775806\r\n",
            (1 << 63) - 2,
            false,
        ),
        (
            "content-length: 18446744073709551615\r\n",
            (1 << 63) - 1,
            true,
        ),
        (
            "content-length: 99999999999999999999\r\n",
            (1 << 63) - 1,
            true,
        ),
    ];
    for (fields, body_length, is_marked) in cases {
        let head = format!("POST /a HTTP/1.1\r\nhost: a\r\n{fields}x: y\r\n\r\n");
        let request_frame = frame(&head).expect("a complete head");
        assert_eq!(request_frame.body_length, body_length, "{fields}");
        assert_eq!(request_frame.has_ambiguous_length, is_marked, "{fields}");
        let single = with_single_length(head.as_bytes(), body_length).expect("a head");
        let expected =
            format!("POST /a HTTP/1.1\r\nhost:a\r\nx:y\r\ncontent-length:{body_length}\r\n\r\n");
        assert_eq!(String::from_utf8_lossy(&single), expected);
    }
}

#[test]
fn a_chunked_body_ends_after_its_last_line_in_any_segments() {
    let bodies = [
        "0\r\n\r\n",
        "3\r\nabc\r\n00a;name=\"x\"\r\n0\r\n\r\n01234\r\n0\r\n\r\n",
        "A \r\n0123456789\r\n0;last\r\nname: value\r\nother:\r\n\r\n",
    ];
    for body in bodies {
        let text = format!("{body}GET / ");
        for end in 0..body.len() {
            let mut scanner = ChunkScanner::default();
            let (first, rest) = text.as_bytes().split_at(end);
            assert_eq!(
                scanner.scan(first, MAX_BODY_BYTES),
                ScanResult::Partial,
                "{body} {end}"
            );
            let left = body.len() - end;
            assert_eq!(
                scanner.scan(rest, MAX_BODY_BYTES),
                ScanResult::Complete(left),
                "{body} {end}"
            );
        }
    }
}

#[test]
fn malformed_chunked_bodies_are_recognized() {
    let long_line = format!("1;{}", "x".repeat(5_000));
    let bodies = [
        "\r\n",
        "x\r\n",
        "-1\r\n",
        "1\n",
        "1;a\nb",
        "1\r\nab\r\n",
        "1\r\na\n",
        "0\r\nname: value\n",
        "0\r\n\rx",
        &long_line,
    ];
    for body in bodies {
        let scanned = ChunkScanner::default().scan(body.as_bytes(), MAX_BODY_BYTES);
        assert_eq!(scanned, ScanResult::Malformed, "{body}");
    }
}

// Regression: a size of 16 digits was malformed, and one of 15 digits was not compared with any limit.
#[test]
fn chunks_beyond_the_limit_are_recognized_at_the_digit_that_exceeds_it() {
    let bodies = [
        ("1000000000000000\r\n", 11),
        ("fffffffffffffff\r\n", 10),
        ("0000000100000000001\r\n", 18),
        ("10000000001\r\n", 10),
        ("ffffffffffffffffffffffffffffffffffffff;a=b\r\n", 10),
        ("3\r\nabc\r\nfffffffffe\r\n", 17),
    ];
    for (body, position) in bodies {
        let scanned = ChunkScanner::default().scan(body.as_bytes(), MAX_BODY_BYTES);
        assert_eq!(scanned, ScanResult::TooLarge(position), "{body}");
    }
}

#[test]
fn requests_that_close_the_connection_are_recognized() {
    let heads = [
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n",
    ];
    for head in heads {
        assert!(
            frame(head).expect("a complete head").closes_connection,
            "{head}"
        );
    }
}

#[test]
fn a_complete_head_is_parsed() {
    let text = "GET /a?b=c HTTP/1.1\r\nHost: a.example\r\ncookie: x\r\ncookie: y\r\n\r\nGET";
    let parts = parse_head(text.as_bytes()).expect("parts");
    assert_eq!(
        parts.uri.path_and_query().expect("a path").as_str(),
        "/a?b=c"
    );
    assert_eq!(parts.headers.get_all("cookie").iter().count(), 2);
    assert_eq!(parts.headers["host"], "a.example");
}
