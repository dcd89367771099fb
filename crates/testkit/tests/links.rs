//! Links between hosts: silence, replacement, wrong secrets and restarts of the other side.

mod support;

use compio::net::TcpListener;
use fighall_core::{clock::boot_time, ring::EventRing, secret::SecretText};
use fighall_kernel::kernel::MicroKernel;
use fighall_peer::{
    accept::accept_links,
    mesh::PeerMesh,
    message::PeerMessage,
    notice::PeerNotice,
    options::MeshOptions,
    view::{LinkState, PeerAddress},
};
use fighall_testkit::relay::FaultRelay;
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};
use support::run;

const BOUND: Duration = Duration::from_secs(10);

struct Side {
    mesh: Rc<PeerMesh>,
    address: String,
    received: Rc<RefCell<Vec<u64>>>,
}

impl Side {
    async fn start(host: &str, incarnation: u64, secret: &str) -> Self {
        let kernel = MicroKernel::new();
        let ring = Rc::new(EventRing::new(host.to_owned(), 100));
        let secret = SecretText::new(secret.to_owned());
        let mut options = MeshOptions::with_host(host, incarnation, secret);
        options.heartbeat_interval = Duration::from_millis(50);
        options.link_timeout = Duration::from_millis(400);
        let mesh = PeerMesh::new(options, Rc::clone(&kernel), ring);
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap().to_string();
        kernel.spawn_service(accept_links(Rc::clone(&mesh), listener));
        let received = Rc::new(RefCell::new(Vec::new()));
        let sink = Rc::clone(&received);
        let inbox = Rc::clone(&mesh);
        kernel.spawn_service(async move {
            loop {
                if let PeerNotice::Received {
                    message: PeerMessage::MirrorRequest { after, .. },
                    ..
                } = inbox.next_notice().await
                {
                    sink.borrow_mut().push(after);
                }
            }
        });
        Self {
            mesh,
            address,
            received,
        }
    }

    fn dial(&self, host: &str, incarnation: u64, address: &str) {
        self.mesh.set_peers(&[PeerAddress {
            host: host.to_owned(),
            incarnation,
            address: address.to_owned(),
            region: "lima".to_owned(),
            zone: "lima-a".to_owned(),
        }]);
    }

    fn link(&self, host: &str) -> LinkState {
        self.mesh.view(host).unwrap().link
    }

    async fn wait_for(&self, host: &str, state: LinkState) {
        let until = boot_time() + BOUND;
        while self.link(host) != state {
            assert!(boot_time() < until, "the link is {:?}", self.link(host));
            compio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn numbered(after: u64) -> PeerMessage {
    PeerMessage::MirrorRequest {
        kind: "keys".to_owned(),
        after,
    }
}

#[test]
fn a_silent_link_is_replaced_and_every_message_arrives_once() {
    run(async {
        let a = Side::start("a", 1, "secret").await;
        let b = Side::start("b", 1, "secret").await;
        let relay = FaultRelay::start(b.address.clone()).await.unwrap();
        a.dial("b", 1, &relay.address().to_string());
        a.wait_for("b", LinkState::Up).await;
        for number in 0..300 {
            assert!(a.mesh.send("b", numbered(number)));
            if number % 100 == 50 {
                relay.silence();
            }
            compio::time::sleep(Duration::from_millis(5)).await;
        }
        let until = boot_time() + BOUND;
        while b.received.borrow().len() < 300 && boot_time() < until {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        let expected: Vec<u64> = (0..300).collect();
        assert_eq!(*b.received.borrow(), expected);
        assert!(relay.accepted() >= 4, "{} connections", relay.accepted());
        assert_eq!(a.link("b"), LinkState::Up);
    });
}

#[test]
fn a_wrong_secret_opens_no_link() {
    run(async {
        let a = Side::start("a", 1, "secret").await;
        let b = Side::start("b", 1, "other").await;
        a.dial("b", 1, &b.address);
        a.mesh.send("b", numbered(1));
        compio::time::sleep(Duration::from_millis(600)).await;
        assert_ne!(a.link("b"), LinkState::Up);
        assert!(b.received.borrow().is_empty());
    });
}

#[test]
fn messages_for_an_earlier_life_of_a_peer_are_dropped() {
    run(async {
        let a = Side::start("a", 1, "secret").await;
        let b = Side::start("b", 1, "secret").await;
        let relay = FaultRelay::start(b.address.clone()).await.unwrap();
        a.dial("b", 1, &relay.address().to_string());
        a.wait_for("b", LinkState::Up).await;
        relay.silence();
        for number in 0..10 {
            a.mesh.send("b", numbered(number));
        }
        // A new life of b serves at another address; the queue was meant for the old one.
        let reborn = Side::start("b", 2, "secret").await;
        a.dial("b", 2, &reborn.address);
        a.wait_for("b", LinkState::Dialling).await;
        a.wait_for("b", LinkState::Up).await;
        a.mesh.send("b", numbered(99));
        let until = boot_time() + BOUND;
        while reborn.received.borrow().is_empty() && boot_time() < until {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(*reborn.received.borrow(), [99]);
    });
}

#[test]
fn the_queue_to_a_peer_that_is_down_is_bounded() {
    run(async {
        let a = Side::start("a", 1, "secret").await;
        a.dial("b", 1, "127.0.0.1:9");
        let mut taken = 0;
        for number in 0..10_000 {
            taken += u32::from(a.mesh.send("b", numbered(number)));
        }
        assert_eq!(taken, 4_096);
    });
}
