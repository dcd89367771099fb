//! Attempts whose connection is disturbed around the moment at which they are sent.

use fighall_core::clock::boot_time;
use fighall_gateway::{
    dialect::TargetMetadata,
    native,
    response_body::ResponseBudget,
    sender::{AttemptOptions, AttemptOutcome, PreparedRequest, send_attempt},
};
use fighall_net::pool::ConnectionPool;
use http::{HeaderMap, Method};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::Duration,
};

/// Attempts of each series.
const ATTEMPTS: usize = 300;

// What reached the target, by identifier.
#[derive(Default)]
struct Received {
    heads: BTreeSet<String>,
    runs: BTreeSet<String>,
}

type SharedReceived = Arc<Mutex<Received>>;

// Removes a complete request from the front. Returns its identifier, and records heads.
fn take_request(bytes: &mut Vec<u8>, received: &SharedReceived) -> Option<String> {
    let head = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let value = |name: &str| {
        let mut lines = text.lines();
        lines.find_map(|line| line.strip_prefix(name).map(str::to_owned))
    };
    let id = value("fighall-request: ").unwrap_or_default();
    let length: usize = value("content-length: ").map_or(0, |text| text.parse().unwrap_or(0));
    received.lock().expect("a lock").heads.insert(id.clone());
    if bytes.len() < head + length {
        return None;
    }
    bytes.drain(..head + length);
    Some(id)
}

// Serves a connection: now and then it is disturbed while it is idle, or while a request arrives.
fn serve(mut stream: TcpStream, received: &SharedReceived, seed: u64) -> std::io::Result<()> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut bytes = Vec::new();
    loop {
        let Some(id) = take_request(&mut bytes, received) else {
            let mut part = vec![0; 16 * 1_024];
            let length = stream.read(&mut part)?;
            // Closing with bytes unread resets the connection.
            if length == 0 || !bytes.is_empty() && random.u8(..) < 8 {
                return Ok(());
            }
            bytes.extend_from_slice(&part[..length]);
            continue;
        };
        let refused = random.bool();
        if !refused {
            received.lock().expect("a lock").runs.insert(id.clone());
        }
        let response = if refused {
            format!(
                "HTTP/1.1 503 Status\r\nfighall-request: {id}\r\nfighall-run: no\r\ncontent-length: 0\r\n\r\n"
            )
        } else {
            format!(
                "HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nfighall-target: t0\r\ncontent-length: 2\r\n\r\nok"
            )
        };
        let interim = "HTTP/1.1 103 Early Hints\r\nfighall-request: r0\r\nfighall-run: no\r\n\r\n";
        if random.u8(..) < 64 {
            stream.write_all(interim.as_bytes())?;
        }
        stream.write_all(response.as_bytes())?;
        std::thread::sleep(Duration::from_micros(random.u64(0..1_500)));
        match random.u8(0..8) {
            0 => return Ok(()),
            1 => stream.write_all(response.as_bytes())?,
            2 => stream.write_all(b"no response")?,
            3 => stream.shutdown(std::net::Shutdown::Write)?,
            4 => stream.write_all(interim.as_bytes())?,
            _ => {}
        }
    }
}

fn start_target(received: &SharedReceived, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let received = Arc::clone(received);
    std::thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming()) {
            let Ok(stream) = stream else {
                return;
            };
            let received = Arc::clone(&received);
            std::thread::spawn(move || serve(stream, &received, seed * 10_000 + number));
        }
    });
    address
}

async fn attempt(
    pool: &ConnectionPool,
    address: SocketAddr,
    id: &str,
    body: Vec<u8>,
) -> AttemptOutcome {
    let request = PreparedRequest {
        id: id.to_owned(),
        method: Method::POST,
        path_and_query: "/write/a".parse().expect("a path"),
        headers: HeaderMap::new(),
        body: body.into(),
    };
    let metadata = TargetMetadata {
        request: id.to_owned(),
        target: "t0".to_owned(),
        time_left: Duration::from_secs(1),
        organisation: None,
    };
    let options = AttemptOptions {
        address,
        max_connections: 4,
        max_idle_time: Duration::from_secs(1),
        deadline: boot_time() + Duration::from_secs(1),
    };
    let (dialect, budget) = (native::dialect(), ResponseBudget::new(64));
    let report = send_attempt(pool, &dialect, &budget, &request, metadata, options, |_| {});
    report.await.outcome
}

// Returns the number of attempts by outcome.
async fn play(seed: u64) -> BTreeMap<&'static str, usize> {
    let received = SharedReceived::default();
    let address = start_target(&received, seed);
    let pool = ConnectionPool::new();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut counts = BTreeMap::new();
    let mut promised = Vec::new();
    for number in 0..ATTEMPTS {
        let id = format!("r{seed}-{number}");
        let body = vec![b'x'; [0, 100, 300_000][random.usize(0..3)]];
        let outcome = attempt(&pool, address, &id, body).await;
        let label = match outcome {
            AttemptOutcome::Answered(response) => {
                assert_eq!(response.status, 200, "{id}");
                let received = received.lock().expect("a lock");
                assert!(received.runs.contains(&id), "{id} was answered");
                "answered"
            }
            AttemptOutcome::Rejected { .. } => {
                promised.push((id, "rejected"));
                "rejected"
            }
            AttemptOutcome::NotSent { .. } => {
                promised.push((id, "not sent"));
                "not sent"
            }
            AttemptOutcome::Unknown { .. } => "unknown",
        };
        *counts.entry(label).or_insert(0) += 1;
        compio::time::sleep(Duration::from_micros(random.u64(0..2_000))).await;
    }
    compio::time::sleep(Duration::from_millis(300)).await;
    let received = received.lock().expect("a lock");
    for (id, label) in promised {
        assert!(!received.runs.contains(&id), "{id} was {label} and ran");
        let arrived = received.heads.contains(&id);
        assert!(
            label == "rejected" || !arrived,
            "{id} was {label} and arrived"
        );
    }
    counts
}

#[test]
fn attempt_that_is_given_back_as_not_sent_never_arrives_whatever_its_connection_does() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let mut counts = BTreeMap::new();
        for seed in 0..8 {
            for (label, count) in play(seed).await {
                *counts.entry(label).or_insert(0) += count;
            }
        }
        for label in ["answered", "rejected", "not sent", "unknown"] {
            assert!(
                counts.get(label).is_some_and(|count| *count >= 5),
                "{counts:?}"
            );
        }
    });
}
