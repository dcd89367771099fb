//! Lengths that a client announces: what is too large gets 413 at once, what is invalid gets 400, and no other request is
//! lost.

mod support;

use compio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use fighall_core::clock::boot_time;
use std::{net::SocketAddr, time::Duration};
use support::{KEY, TestFleet};

/// Time after which a starting host has copied its targets.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
/// Time within which a refusal is sent: less than the timeout of a route and the time for a body, 1 s.
const REFUSAL_LIMIT: Duration = Duration::from_millis(700);
/// Limit on bodies.
const BODY_LIMIT: usize = 100_000;

fn head(method: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} /read/a HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: {id}\r\n\
         x-mark: {id}\r\nauthorization: Bearer {KEY}\r\n{fields}\r\n"
    )
}

// Sends bytes and reads until the host closes the connection. Returns the status of each response.
async fn exchange(callers: SocketAddr, bytes: String) -> Vec<String> {
    let mut stream = TcpStream::connect(callers).await.expect("a connection");
    let sent = stream.write_all(bytes.into_bytes()).await;
    sent.0.expect("the requests should be sent");
    let mut text = Vec::new();
    let read = async {
        loop {
            let compio::BufResult(read, chunk) = stream.append(Vec::with_capacity(4_096)).await;
            text.extend_from_slice(&chunk);
            if !matches!(read, Ok(1..)) {
                return;
            }
        }
    };
    let _ = compio::time::timeout(REFUSAL_LIMIT, read).await;
    let text = String::from_utf8_lossy(&text);
    let statuses = text.split("HTTP/1.1 ").skip(1);
    statuses.map(|status| status[..3].to_owned()).collect()
}

fn with_length(length: &str) -> String {
    format!("content-length: {length}\r\n")
}

fn chunk(size: &str) -> (String, String) {
    let fields = "transfer-encoding: chunked\r\n".to_owned();
    (fields, format!("{size}\r\nabc"))
}

// Regression: the length of a request was added to that of others without a check, so that their sum could wrap; lengths
// that the HTTP library does not read got other statuses, and the size of a chunk was refused when the time for the body
// was over.
#[test]
fn lengths_beyond_the_limit_are_refused_at_once_and_cost_no_other_request() {
    let mut cases = Vec::new();
    // Around the length with which the sum of two requests is 2^64.
    let heads = head("GET", "first", "").len() + head("POST", "second", &with_length("")).len();
    for offset in -3..=3 {
        let digits = i128::try_from("18446744073709551615".len()).unwrap_or_default();
        let wrapping = (1 << 64) - i128::try_from(heads).unwrap_or_default() - digits + offset;
        cases.push((with_length(&wrapping.to_string()), String::new()));
    }
    let lengths = [
        "100001",
        "1099511627776",
        "9223372036854775807",
        "9223372036854775808",
        "18446744073709551613",
        "18446744073709551614",
        "18446744073709551615",
        "18446744073709551616",
        "99999999999999999999999999999999999999",
        "000000000000000000000000000000000000000100001",
    ];
    for length in lengths {
        let field = with_length(length);
        cases.push((field.clone(), String::new()));
        cases.push((format!("{field}{field}"), String::new()));
        cases.push((with_length(&format!("{length}, {length}")), String::new()));
    }
    let sizes = [
        "186a1",
        "fffffffffffffff",
        "ffffffffffffffff",
        "10000000000000000",
        "fffffffffffffffffffffffff",
        "ffffffffffffffff;name=value",
        "3\r\nabc\r\nfffffffffffffffd",
        "3\r\nabc\r\n1869e",
    ];
    cases.extend(sizes.map(chunk));
    run_cases(cases, "413");
}

// Guards what is not a length: ambiguous or malformed values, of any size.
#[test]
fn invalid_lengths_are_refused_and_cost_no_other_request() {
    let mut cases = Vec::new();
    let lengths = [
        "-1",
        "+1",
        "0x10",
        "1.0",
        "1 1",
        "1, 2",
        "1,",
        ",",
        "",
        "18446744073709551615, 18446744073709551614",
        "99999999999999999999999, 99999999999999999999998",
    ];
    for length in lengths {
        cases.push((with_length(length), "ab".to_owned()));
    }
    let different = [with_length("1"), with_length("2")].concat();
    cases.push((different, "ab".to_owned()));
    cases.extend(["-1", "x", "", " 1", "0x1", "+1"].map(chunk));
    run_cases(cases, "400");
}

// Sends each request behind another one, with bytes of a third one behind it.
fn run_cases(cases: Vec<(String, String)>, expected: &str) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = TestFleet::start(1, "").await;
        fleet
            .publish(|policy| policy.limits.max_body_bytes = BODY_LIMIT)
            .await;
        compio::time::sleep(LISTING_DELAY).await;
        let mut failures = Vec::new();
        for (number, (fields, body)) in cases.iter().enumerate() {
            let first = format!("first-{number}");
            let second = format!("second-{number}");
            let bytes = [
                head("GET", &first, ""),
                head("POST", &second, fields),
                body.clone(),
            ];
            let started_at = boot_time();
            let statuses = exchange(fleet.callers, bytes.concat()).await;
            let elapsed = boot_time().saturating_sub(started_at);
            let runs = (fleet.runs(&first), fleet.runs(&second));
            if statuses != ["200", expected] || runs != (1, 0) || elapsed >= REFUSAL_LIMIT {
                failures.push(format!(
                    "{fields:?} {body:?}: {statuses:?}, runs {runs:?}, {elapsed:?}"
                ));
            }
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

// Guards values that are no reason to refuse: the same length twice is one length.
#[test]
fn a_length_that_is_repeated_is_one_length() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let fleet = TestFleet::start(1, "").await;
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let twice = [with_length("3"), with_length("3")].concat();
        for (number, fields) in [twice, with_length("3, 3"), with_length("0003")]
            .iter()
            .enumerate()
        {
            let second = format!("second-{number}");
            let bytes = [
                head("GET", "first", ""),
                head("POST", &second, fields),
                "abc".to_owned(),
                head("GET", "last", "connection: close\r\n"),
            ];
            let statuses = exchange(fleet.callers, bytes.concat()).await;
            assert_eq!(statuses, ["200", "200", "200"], "{fields:?}");
            assert_eq!(fleet.runs(&second), 1, "{fields:?}");
        }
    });
}
