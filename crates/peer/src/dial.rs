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
const MIN_REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the exponential backoff between dial attempts.
const MAX_REDIAL_DELAY: Duration = Duration::from_secs(1);
/// Number of messages sent before acknowledgements are read.
const BATCH_LIMIT: usize = 64;

impl PeerMesh {
    /// Sets the peers to keep links to. New peers are dialled; links to removed peers are closed.
    pub fn set_peers(self: &Rc<Self>, addresses: &[PeerAddress]) {
        let mut added_peers = Vec::new();
        {
            let mut peers = self.peers.borrow_mut();
            peers.retain(|host, entry| {
                let retained = addresses.iter().any(|peer| peer.host == *host);
                // The link task ends once it finds that its entry was removed.
                if !retained {
                    entry.outbox.borrow_mut().clear();
                }
                retained
            });
            for address in addresses {
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
                added_peers.push((address.host.clone(), outbox));
            }
        }
        for (host, outbox) in added_peers {
            let mesh = Rc::clone(self);
            self.kernel.spawn_service(maintain_link(mesh, host, outbox));
        }
    }
}

fn new_view(address: &PeerAddress) -> PeerView {
    PeerView {
        peer: address.clone(),
        link: LinkState::Dialling,
        last_incarnation: None,
        last_message_at: None,
        state: HostState::default(),
        round_trip: Duration::ZERO,
        dropped: 0,
    }
}

/// Keeps a link to a peer, dialling again after failures, until the peer is removed.
pub(crate) async fn maintain_link(
    mesh: Rc<PeerMesh>,
    host: HostId,
    outbox: Rc<RefCell<PeerOutbox>>,
) {
    let mut delay = MIN_REDIAL_DELAY;
    let mut last_incarnation = None;
    loop {
        let is_current = match mesh.peers.borrow().get(&host) {
            Some(entry) => Rc::ptr_eq(&entry.outbox, &outbox),
            None => false,
        };
        if !is_current {
            return;
        }
        let dialled = dial(&mesh, &host).await;
        match dialled {
            Ok((link, welcome)) => {
                delay = MIN_REDIAL_DELAY;
                let previous = last_incarnation.replace(welcome.incarnation);
                restart_outbox(&outbox, previous, welcome.incarnation);
                mesh.record_contact(&host, welcome.incarnation, boot_time());
                mesh.set_link(&host, LinkState::Up, "");
                let result = run_link(&mesh, &host, link, &outbox, welcome.incarnation).await;
                if let Err(error) = result {
                    mesh.set_link(&host, LinkState::Dialling, &error.to_string());
                }
            }
            Err(error) => mesh.set_link(&host, LinkState::Down, &error.to_string()),
        }
        compio::time::sleep(delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
        delay = (delay * 2).min(MAX_REDIAL_DELAY);
    }
}

fn restart_outbox(
    outbox: &RefCell<PeerOutbox>,
    previous: Option<Incarnation>,
    incarnation: Incarnation,
) {
    let mut outbox = outbox.borrow_mut();
    if previous.is_some_and(|previous| previous != incarnation) {
        outbox.clear();
    }
    outbox.requeue_unacknowledged();
}

async fn dial(mesh: &PeerMesh, host: &str) -> Result<(MessageLink, LinkWelcome)> {
    let timeout = mesh.options.link_timeout;
    with_timeout(timeout, dial_and_handshake(mesh, host)).await
}

async fn dial_and_handshake(mesh: &PeerMesh, host: &str) -> Result<(MessageLink, LinkWelcome)> {
    let options = &mesh.options;
    let peer = mesh.address_of(host).ok_or(Error::Closed)?;
    let address = peer.address.parse().map_err(Error::link)?;
    let tcp = connect(address, options.source_address)
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
        proof: proof::compute_proof(&options.secret, "dial", &challenge.nonce, &options.host),
        nonce: nonce.clone(),
    };
    link.send(&hello).await?;
    let welcome: LinkWelcome = link.receive().await?;
    let verified = proof::verify(
        &options.secret,
        "accept",
        &nonce,
        &welcome.host,
        &welcome.proof,
    );
    if !verified {
        return Err(Error::InvalidProof);
    }
    if !peer.is_seed() && welcome.host != host {
        return Err(Error::WrongHost);
    }
    Ok((link, welcome))
}

struct SentHeartbeat {
    sequence: u64,
    at: BootTime,
}

async fn run_link(
    mesh: &PeerMesh,
    host: &str,
    mut link: MessageLink,
    outbox: &RefCell<PeerOutbox>,
    incarnation: Incarnation,
) -> Result<()> {
    let options = &mesh.options;
    let mut next_heartbeat_at = boot_time();
    let mut heartbeats: VecDeque<SentHeartbeat> = VecDeque::new();
    let mut last_received_at = boot_time();
    loop {
        let now = boot_time();
        if now.saturating_sub(last_received_at) > options.link_timeout {
            return Err(Error::Timeout {
                millis: options.link_timeout.as_millis(),
            });
        }
        if now >= next_heartbeat_at {
            next_heartbeat_at = now + options.heartbeat_interval;
            let message = PeerMessage::Heartbeat(mesh.state());
            outbox.borrow_mut().push(mesh.ring.stamp(), message);
        }
        with_timeout(
            options.link_timeout,
            send_batch(&mut link, outbox, &mut heartbeats),
        )
        .await?;
        let delay = next_heartbeat_at.saturating_sub(boot_time());
        if let Some(ack) = wait_for_event(&mut link, outbox, delay).await? {
            last_received_at = boot_time();
            mesh.record_contact(host, incarnation, last_received_at);
            mesh.ring.observe(ack.stamp);
            outbox.borrow_mut().acknowledge(ack.sequence);
            record_ack(mesh, host, &ack, &mut heartbeats);
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
async fn wait_for_event(
    link: &mut MessageLink,
    outbox: &RefCell<PeerOutbox>,
    delay: Duration,
) -> Result<Option<LinkAck>> {
    let (listener, has_unsent) = {
        let outbox = outbox.borrow();
        (outbox.listen(), outbox.has_unsent())
    };
    let delay = if has_unsent { Duration::ZERO } else { delay };
    let received = link.receive::<LinkAck>().fuse();
    let added = listener.fuse();
    let elapsed = compio::time::sleep(delay).fuse();
    pin_mut!(received, added, elapsed);
    select_biased! {
        ack = received => ack.map(Some),
        () = added => Ok(None),
        () = elapsed => Ok(None),
    }
}

fn record_ack(
    mesh: &PeerMesh,
    host: &str,
    ack: &LinkAck,
    heartbeats: &mut VecDeque<SentHeartbeat>,
) {
    let mut acknowledged = None;
    while heartbeats
        .front()
        .is_some_and(|first| first.sequence <= ack.sequence)
    {
        acknowledged = heartbeats.pop_front();
    }
    let Some(heartbeat) = acknowledged else {
        return;
    };
    mesh.record_round_trip(host, boot_time().saturating_sub(heartbeat.at));
    mesh.notify(PeerNotice::Confirmed {
        peer: host.to_owned(),
        mirrors: ack.mirrors.clone(),
        sent_at: heartbeat.at,
    });
}

pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Result<T>>,
) -> Result<T> {
    match compio::time::timeout(timeout, operation).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout {
            millis: timeout.as_millis(),
        }),
    }
}
