//! Malformed messages of targets and peers: the host continues to serve, and no caller receives the
//! response to another request.

mod raw_target;
mod support;

use compio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream, UdpSocket},
};
use fighall_core::ids::Version;
use fighall_gateway::{
    message::{CopyStatus, HeartbeatEcho, LimitClaim, OrgUsage, PeerHeartbeat, PeerMessage},
    native::{MAIN_POLICY, POLICIES, TARGETS},
    registry::{HOSTS_KIND, HostEntry},
};
use fighall_testkit::{
    behaviour::TargetBehaviour, platform::PlatformStandIn, target::TargetStandIn,
};
use raw_target::{read_request, start_raw_target};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use support::{KEY, TestFleet, list_target, policy, send, settings, start_gateway};

/// Time after which a starting host has copied everything that was listed.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Sends the response to each request twice: the second copy either 20 ms later, while the connection is
// idle, or in front of the next response.
async fn send_duplicates(mut stream: TcpStream, copy_while_idle: bool) -> std::io::Result<()> {
    let mut previous = String::new();
    while let Some(id) = read_request(&mut stream).await? {
        let response = format!(
            "HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nfighall-target: t0\r\n\
             content-length: {}\r\n\r\n{id}",
            id.len()
        );
        stream
            .write_all(format!("{previous}{response}").into_bytes())
            .await
            .0?;
        if copy_while_idle {
            compio::time::sleep(Duration::from_millis(20)).await;
            stream.write_all(response.into_bytes()).await.0?;
        } else {
            previous = response;
        }
    }
    Ok(())
}

async fn start_duplicating_target(copy_while_idle: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            compio::runtime::spawn(async move {
                let _ = send_duplicates(stream, copy_while_idle).await;
            })
            .detach();
        }
    })
    .detach();
    address
}

#[test]
fn a_duplicate_response_reaches_no_caller() {
    for copy_while_idle in [false, true] {
        run(async {
            let fleet = TestFleet::start(0, "").await;
            list_target(
                &fleet.store,
                "t0",
                start_duplicating_target(copy_while_idle).await,
            );
            fleet.publish(|_| {}).await;
            compio::time::sleep(LISTING_DELAY).await;
            let client = cyper::Client::new().expect("a client");
            let mut served = 0;
            for number in 0..12 {
                let id = format!("m{number}");
                let response = send(&client, fleet.callers, "/read/a", &id, KEY).await;
                let response = response.expect("a response");
                if response.status == 200 {
                    assert_eq!(response.body, id, "response to another request");
                    served += 1;
                }
                compio::time::sleep(Duration::from_millis(30)).await;
            }
            assert!(served >= 6, "{served} of 12");
        });
    }
}

fn heartbeat(number: u64, policy: Version) -> PeerHeartbeat {
    PeerHeartbeat {
        host: "h2".to_owned(),
        incarnation: u64::MAX,
        sent_us: number,
        echo: Some(HeartbeatEcho {
            incarnation: u64::MAX,
            sent_us: u64::MAX,
            held_us: u64::MAX,
        }),
        ready: true,
        leaving: false,
        targets_unreachable: false,
        copies: CopyStatus {
            policy,
            policy_number: u64::MAX,
            policy_age_us: Some(u64::MAX),
            store_age_us: Some(u64::MAX),
            store_unreachable: false,
            targets: u64::MAX,
            evacuations: u64::MAX,
            settings: u64::MAX,
        },
        usages: vec![OrgUsage {
            organisation: "andes".to_owned(),
            admitted: if number.is_multiple_of(2) {
                u64::MAX
            } else {
                1
            },
            demand: f32::NAN,
            recent: Vec::new(),
        }],
        demands: BTreeMap::from([("quotes".to_owned(), Some(f32::INFINITY))]),
        limits: vec![LimitClaim {
            target: "t0".to_owned(),
            started_ms: None,
            rate: number.is_multiple_of(2).then_some(f64::MAX),
            age_ms: u64::MAX,
            live_holders: u32::MAX,
            demand: f32::NAN,
            fraction: f32::NEG_INFINITY,
            reserved: f32::NAN,
        }],
        crashes: Vec::new(),
    }
}

fn encode(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message");
    bytes
}

// Regression: a single message with a store era that never existed made every later response of the
// store count as outdated.
#[test]
fn malformed_peer_messages_do_not_disturb_a_host() {
    run(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let target = TargetStandIn::start("t0", loopback, TargetBehaviour::default()).await;
        let target = target.expect("a target");
        list_target(&store, "t0", target.address());
        let (_, settings) = settings("h1", store.address(), "");
        let (callers, peers) = (settings.callers, settings.peers);
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        let entry = HostEntry {
            host: "h2".to_owned(),
            incarnation: 1,
            region: "lima".to_owned(),
            zone: "lima-a".to_owned(),
            callers: loopback,
            peers: socket.local_addr().expect("an address"),
        };
        store.put(
            HOSTS_KIND,
            "h2",
            &serde_json::to_string(&entry).expect("an entry"),
        );
        store.put(HOSTS_KIND, "h3", "{\"host\": 7}");
        store.put(TARGETS, "t1", "not an entry");
        let text = serde_json::to_string(&policy(1)).expect("a policy");
        store.put(POLICIES, MAIN_POLICY, &text);
        let gateway = start_gateway(settings).await;
        compio::time::sleep(LISTING_DELAY).await;
        assert!(gateway.is_ready());
        let mut random = fastrand::Rng::with_seed(7);
        let valid = encode(&PeerMessage::Heartbeat(heartbeat(1, 1)));
        for number in 0..400_u64 {
            let mut datagram = match number % 4 {
                0 => encode(&PeerMessage::Heartbeat(heartbeat(number + 2, u64::MAX))),
                // A CBOR array header that announces more items than fit into memory.
                1 => vec![0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
                2 => valid[..random.usize(0..valid.len())].to_vec(),
                _ => valid.clone(),
            };
            if number % 4 == 3 {
                let index = random.usize(0..datagram.len());
                datagram[index] = random.u8(..);
            }
            let sent = socket.send_to(datagram, peers).await;
            sent.0.expect("a datagram is sent");
            if number % 20 == 0 {
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        // The other host sends nothing more, and what it reported expires.
        compio::time::sleep(Duration::from_secs(5)).await;
        assert!(gateway.is_ready());
        let client = cyper::Client::new().expect("a client");
        for number in 0..5 {
            let id = format!("m{number}");
            let response = send(&client, callers, "/read/a", &id, KEY).await;
            assert_eq!(response.expect("a response").status, 200);
        }
        // Changes of the store still arrive.
        let mut changed = policy(2);
        changed.keys.clear();
        let text = serde_json::to_string(&changed).expect("a policy");
        store.put(POLICIES, MAIN_POLICY, &text);
        compio::time::sleep(LISTING_DELAY).await;
        let response = send(&client, callers, "/read/a", "m9", KEY).await;
        assert_eq!(response.expect("a response").status, 401);
    });
}

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nfighall-target: t0\r\nfighall-run: no\r\ncontent-length: 0\r\n\r\n";

fn full_response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nfighall-target: t0\r\n\
         content-length: 12\r\n\r\nwhole answer"
    )
}

#[test]
fn refusal_that_a_kept_connection_repeats_is_not_believed_for_the_next_request() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        // The first request is refused; the second one runs, behind the same refusal once more.
        let address = start_raw_target(|number, id| match number {
            0 => (REFUSAL.as_bytes().to_vec(), false),
            _ => (
                format!("{REFUSAL}{}", full_response(id)).into_bytes(),
                false,
            ),
        });
        list_target(&fleet.store, "t0", address.await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("a client");
        let first = send(&client, fleet.callers, "/write/a", "m1", KEY).await;
        assert_eq!(first.expect("a response").status, 503, "it did not run");
        let second = send(&client, fleet.callers, "/write/a", "m2", KEY).await;
        assert_eq!(second.expect("a response").status, 502, "it ran");
    });
}

#[test]
fn response_whose_head_is_cut_at_any_byte_is_no_success() {
    run(async {
        let fleet = TestFleet::start(0, "").await;
        let head_length = full_response("m000").find("\r\n\r\n").expect("an end") + 4;
        let address = start_raw_target(move |number, id| {
            let response = full_response(id).into_bytes();
            (response[..number.min(head_length)].to_vec(), true)
        });
        list_target(&fleet.store, "t0", address.await);
        fleet.publish(|_| {}).await;
        compio::time::sleep(LISTING_DELAY).await;
        let client = cyper::Client::new().expect("a client");
        for number in 0..=head_length {
            let id = format!("m{number:03}");
            let response = send(&client, fleet.callers, "/write/a", &id, KEY).await;
            let response = response.expect("a response");
            assert_eq!(response.status, 502, "cut after {number} bytes");
        }
    });
}
