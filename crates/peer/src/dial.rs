//! Dialled links: connection, handshake, then heartbeats and messages until the link fails.

use crate::{
    codec::MessageLink,
    errors::{Error, Result},
    mesh::{PeerEntry, PeerMesh},
    message::{HostState, LinkAck, LinkChallenge, LinkHello, LinkWelcome, PeerMessage},
    notice::PeerNotice,
    outbox::PeerOutbox,
    proof,
    view::{LinkState, PeerAddress, PeerView},
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, HostId, Incarnation},
};
use fighall_net::socket::connect;
use futures_util::{FutureExt, pin_mut, select_biased};
use std::{cell::RefCell, collections::VecDeque, future::Future, rc::Rc, time::Duration};

/// Initial delay before a link is dialled again.
const REDIAL_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of the exponential backoff between dial attempts.
const REDIAL_LIMIT: Duration = Duration::from_secs(1);
/// Number of messages sent before acknowledgements are read.
const BATCH_LIMIT: usize = 64;

impl PeerMesh {
    /// Sets the peers to keep links to. New peers are dialled; links to removed peers are closed.
    pub fn set_peers(self: &Rc<Self>, wanted: &[PeerAddress]) {
        let mut started = Vec::new();
        {
            let mut peers = self.peers.borrow_mut();
            peers.retain(|host, entry| {
                let kept = wanted.iter().any(|peer| peer.host == *host);
                // The link task ends once it finds that its entry was removed.
                if !kept {
                    entry.outbox.borrow_mut().clear();
                }
                kept
            });
            for address in wanted {
                if address.host == self.options.host {
                    continue;
                }
                if let Some(entry) = peers.get_mut(&address.host) {
                    entry.view.peer = address.clone();
                    continue;
                }
                let outbox = PeerOutbox::new(self.options.queue_limit);
                let outbox = Rc::new(RefCell::new(outbox));
                let view = new_view(address);
                let entry = PeerEntry {
                    view,
                    outbox: Rc::clone(&outbox),
                };
                peers.insert(address.host.clone(), entry);
                started.push((address.host.clone(), outbox));
            }
        }
        for (host, outbox) in started {
            let mesh = Rc::clone(self);
            self.kernel.spawn_service(keep_link(mesh, host, outbox));
        }
    }
}

fn new_view(address: &PeerAddress) -> PeerView {
    PeerView {
        peer: address.clone(),
        link: LinkState::Dialling,
        heard_incarnation: None,
        heard_at: None,
        state: HostState::default(),
        round_trip: Duration::ZERO,
        dropped: 0,
    }
}

/// Keeps a link to a peer, dialling again after failures, until the peer is removed.
pub(crate) async fn keep_link(mesh: Rc<PeerMesh>, host: HostId, outbox: Rc<RefCell<PeerOutbox>>) {
    let mut pause = REDIAL_PAUSE;
    let mut last_incarnation = None;
    loop {
        let wanted = match mesh.peers.borrow().get(&host) {
            Some(entry) => Rc::ptr_eq(&entry.outbox, &outbox),
            None => false,
        };
        if !wanted {
            return;
        }
        let opened = open(&mesh, &host).await;
        match opened {
            Ok((link, welcome)) => {
                pause = REDIAL_PAUSE;
                let known = last_incarnation.replace(welcome.incarnation);
                restart_outbox(&outbox, known, welcome.incarnation);
                mesh.note_heard(&host, welcome.incarnation, boot_time());
                mesh.set_link(&host, LinkState::Up, "");
                let ended = run(&mesh, &host, link, &outbox, welcome.incarnation).await;
                if let Err(error) = ended {
                    mesh.set_link(&host, LinkState::Dialling, &error.to_string());
                }
            }
            Err(error) => mesh.set_link(&host, LinkState::Down, &error.to_string()),
        }
        compio::time::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        pause = (pause * 2).min(REDIAL_LIMIT);
    }
}

fn restart_outbox(
    outbox: &RefCell<PeerOutbox>,
    known: Option<Incarnation>,
    incarnation: Incarnation,
) {
    let mut outbox = outbox.borrow_mut();
    if known.is_some_and(|known| known != incarnation) {
        outbox.clear();
    }
    outbox.restart();
}

async fn open(mesh: &PeerMesh, host: &str) -> Result<(MessageLink, LinkWelcome)> {
    let bound = mesh.options.silence;
    within(bound, open_unbounded(mesh, host)).await
}

async fn open_unbounded(mesh: &PeerMesh, host: &str) -> Result<(MessageLink, LinkWelcome)> {
    let options = &mesh.options;
    let peer = mesh.address_of(host).ok_or(Error::Closed)?;
    let address = peer.address.parse().map_err(Error::link)?;
    let tcp = connect(address, options.source)
        .await
        .map_err(Error::link)?;
    let mut link = MessageLink::new_dialled(tcp).await?;
    let challenge: LinkChallenge = link.receive().await?;
    let nonce = proof::new_nonce().map_err(Error::link)?;
    let hello = LinkHello {
        host: options.host.clone(),
        incarnation: options.incarnation,
        region: options.region.clone(),
        zone: options.zone.clone(),
        proof: proof::proof(&options.secret, "dial", &challenge.nonce, &options.host),
        nonce: nonce.clone(),
    };
    link.send(&hello).await?;
    let welcome: LinkWelcome = link.receive().await?;
    let proved = proof::verify(
        &options.secret,
        "accept",
        &nonce,
        &welcome.host,
        &welcome.proof,
    );
    if !proved {
        return Err(Error::Proof);
    }
    if !peer.is_seed() && welcome.host != host {
        return Err(Error::Unexpected);
    }
    Ok((link, welcome))
}

struct SentHeartbeat {
    sequence: u64,
    at: BootTime,
}

async fn run(
    mesh: &PeerMesh,
    host: &str,
    mut link: MessageLink,
    outbox: &RefCell<PeerOutbox>,
    incarnation: Incarnation,
) -> Result<()> {
    let options = &mesh.options;
    let mut heartbeat_at = boot_time();
    let mut heartbeats: VecDeque<SentHeartbeat> = VecDeque::new();
    let mut heard_at = boot_time();
    loop {
        let now = boot_time();
        if now.saturating_sub(heard_at) > options.silence {
            return Err(Error::Silent {
                millis: options.silence.as_millis(),
            });
        }
        if now >= heartbeat_at {
            heartbeat_at = now + options.heartbeat;
            let message = PeerMessage::Heartbeat(mesh.state());
            outbox.borrow_mut().push(mesh.ring.stamp(), message);
        }
        within(
            options.silence,
            send_batch(&mut link, outbox, &mut heartbeats),
        )
        .await?;
        let pause = heartbeat_at.saturating_sub(boot_time());
        if let Some(ack) = wait(&mut link, outbox, pause).await? {
            heard_at = boot_time();
            mesh.note_heard(host, incarnation, heard_at);
            mesh.ring.observe(ack.stamp);
            outbox.borrow_mut().acknowledge(ack.sequence);
            note_ack(mesh, host, &ack, &mut heartbeats);
            for message in ack.messages {
                let peer = host.to_owned();
                mesh.notify(PeerNotice::Received { peer, message });
            }
        }
        // The entry is missing once the peer was removed.
        if mesh.address_of(host).is_none() {
            return Err(Error::Closed);
        }
    }
}

async fn send_batch(
    link: &mut MessageLink,
    outbox: &RefCell<PeerOutbox>,
    heartbeats: &mut VecDeque<SentHeartbeat>,
) -> Result<()> {
    for _ in 0..BATCH_LIMIT {
        let next = outbox.borrow_mut().next_unsent();
        let Some(envelope) = next else {
            break;
        };
        if matches!(envelope.message, PeerMessage::Heartbeat(_)) {
            heartbeats.push_back(SentHeartbeat {
                sequence: envelope.sequence,
                at: boot_time(),
            });
        }
        link.feed(&envelope).await?;
    }
    link.flush().await
}

// Waits for an acknowledgement, a message to send, or the end of the delay.
async fn wait(
    link: &mut MessageLink,
    outbox: &RefCell<PeerOutbox>,
    pause: Duration,
) -> Result<Option<LinkAck>> {
    let (listener, ready) = {
        let outbox = outbox.borrow();
        (outbox.listen(), outbox.has_unsent())
    };
    let pause = if ready { Duration::ZERO } else { pause };
    let received = link.receive::<LinkAck>().fuse();
    let added = listener.fuse();
    let elapsed = compio::time::sleep(pause).fuse();
    pin_mut!(received, added, elapsed);
    select_biased! {
        ack = received => ack.map(Some),
        () = added => Ok(None),
        () = elapsed => Ok(None),
    }
}

fn note_ack(mesh: &PeerMesh, host: &str, ack: &LinkAck, heartbeats: &mut VecDeque<SentHeartbeat>) {
    let mut answered = None;
    while heartbeats
        .front()
        .is_some_and(|first| first.sequence <= ack.sequence)
    {
        answered = heartbeats.pop_front();
    }
    let Some(heartbeat) = answered else {
        return;
    };
    mesh.note_round_trip(host, boot_time().saturating_sub(heartbeat.at));
    mesh.notify(PeerNotice::Confirmed {
        peer: host.to_owned(),
        mirrors: ack.mirrors.clone(),
        sent_at: heartbeat.at,
    });
}

pub(crate) async fn within<T>(
    bound: Duration,
    operation: impl Future<Output = Result<T>>,
) -> Result<T> {
    match compio::time::timeout(bound, operation).await {
        Ok(result) => result,
        Err(_) => Err(Error::Silent {
            millis: bound.as_millis(),
        }),
    }
}
