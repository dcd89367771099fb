//! Framing of requests in the bytes of a connection.

use fighall_net::framing::{FrameStep, RequestFrame, read_frame, read_parts};

fn frame(head: &str) -> Option<RequestFrame> {
    match read_frame(head.as_bytes()) {
        FrameStep::Whole(frame) => Some(frame),
        FrameStep::Partial | FrameStep::Unframed => None,
    }
}

#[test]
fn the_length_of_a_request_follows_from_its_head() {
    let head = "POST /a HTTP/1.1\r\nhost: a\r\nContent-Length: 12\r\n\r\n";
    let whole = frame(&format!("{head}GET / ")).expect("a complete head");
    assert_eq!(whole.head_length, head.len());
    assert_eq!(whole.body_length, 12);
    assert!(!whole.may_run_beside() && !whole.is_last);
    for end in 0..head.len() {
        let step = read_frame(&head.as_bytes()[..end]);
        assert!(matches!(step, FrameStep::Partial), "{end}");
    }
}

#[test]
fn only_safe_requests_without_a_body_may_run_beside_others() {
    let cases = [
        ("GET / HTTP/1.1\r\n\r\n", true),
        ("HEAD / HTTP/1.1\r\n\r\n", true),
        ("GET / HTTP/1.1\r\ncontent-length: 1\r\n\r\n", false),
        ("POST / HTTP/1.1\r\n\r\n", false),
        ("PUT / HTTP/1.1\r\n\r\n", false),
        ("DELETE / HTTP/1.1\r\n\r\n", false),
    ];
    for (head, expected) in cases {
        let frame = frame(head).expect("a complete head");
        assert_eq!(frame.may_run_beside(), expected, "{head}");
    }
}

#[test]
fn requests_whose_end_is_not_told_are_not_framed() {
    let heads = [
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nupgrade: h2c\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\ncontent-length: 1, 1\r\n\r\n",
        "no request at all\r\n\r\n",
    ];
    for head in heads {
        assert!(
            matches!(read_frame(head.as_bytes()), FrameStep::Unframed),
            "{head}"
        );
    }
}

#[test]
fn the_last_request_of_a_connection_is_known() {
    let heads = [
        "GET / HTTP/1.0\r\n\r\n",
        "GET / HTTP/1.1\r\nConnection: keep-alive, Close\r\n\r\n",
    ];
    for head in heads {
        assert!(frame(head).expect("a complete head").is_last, "{head}");
    }
}

#[test]
fn the_head_of_an_early_request_is_read_whole() {
    let text = "GET /a?b=c HTTP/1.1\r\nHost: a.example\r\ncookie: x\r\ncookie: y\r\n\r\nGET";
    let parts = read_parts(text.as_bytes()).expect("parts");
    assert_eq!(
        parts.uri.path_and_query().expect("a path").as_str(),
        "/a?b=c"
    );
    assert_eq!(parts.headers.get_all("cookie").iter().count(), 2);
    assert_eq!(parts.headers["host"], "a.example");
}
