//! Many hosts of a region that start at the same moment, as after the loss of all.

mod support;

use compio::{BufResult, net::UdpSocket};
use fighall_gateway::{
    message::PeerMessage,
    registry::{HOSTS_KIND, HostEntry},
};
use fighall_testkit::platform::PlatformStandIn;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use support::{list_target, settings, start_gateway};

const HOSTS: usize = 12;
const TARGETS: u16 = 40;
// Store watchers of a region, each of which forwards a change to the other hosts.
const STORE_WATCHERS: usize = 2;

// Registers a host that only counts the changes that it receives.
async fn count_changes(store: &PlatformStandIn) -> Rc<Cell<usize>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let entry = HostEntry {
        host: "counter".to_owned(),
        incarnation: 1,
        region: "lima".to_owned(),
        zone: "lima-a".to_owned(),
        callers: ([127, 0, 0, 1], 9).into(),
        peers: socket.local_addr().expect("an address"),
    };
    let text = serde_json::to_string(&entry).expect("an entry");
    store.put(HOSTS_KIND, "counter", &text);
    let count = Rc::new(Cell::new(0));
    let counted = Rc::clone(&count);
    compio::runtime::spawn(async move {
        loop {
            let buffer = Vec::with_capacity(65_536);
            let BufResult(received, buffer) = socket.recv_from(buffer).await;
            let (length, _) = received.expect("a datagram");
            if let Ok(PeerMessage::Changes(changes)) = ciborium::from_reader(&buffer[..length]) {
                counted.set(counted.get() + changes.changes.len());
            }
        }
    })
    .detach();
    count
}

// Regression: each starting host considered itself a store watcher, because it was aware of no other host, and
// forwarded what its first call returned to all hosts of its region. With 98 hosts a region that made 1.4 GB
// in the first second, which every host also reads from the store itself.
#[test]
fn starting_hosts_do_not_forward_what_every_host_reads_at_its_start() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let count = count_changes(&store).await;
        let mut starts = Vec::new();
        for number in 0..HOSTS {
            let (_, settings) = settings(&format!("h{number}"), store.address(), "");
            starts.push(start_gateway(settings));
        }
        futures_util::future::join_all(starts).await;
        for number in 0..TARGETS {
            list_target(
                &store,
                &format!("t{number}"),
                ([127, 0, 0, 1], 9_000 + number).into(),
            );
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        compio::time::sleep(Duration::from_millis(1_500)).await;
        let changes = HOSTS + usize::from(TARGETS);
        assert!(
            count.get() <= changes * STORE_WATCHERS,
            "a host received {} changes of {changes} objects",
            count.get()
        );
    });
}
