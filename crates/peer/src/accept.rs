//! Accepted links: handshake, then a receive loop until the link fails.

use crate::{
    codec::MessageLink,
    dial::with_timeout,
    errors::{Error, Result},
    mesh::{PeerMesh, SenderProgress},
    message::{LinkAck, LinkChallenge, LinkHello, LinkWelcome, PeerEnvelope, PeerMessage},
    notice::PeerNotice,
    proof,
};
use compio::net::{TcpListener, TcpStream};
use fighall_core::clock::boot_time;
use std::{rc::Rc, time::Duration};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts links from peers until the process stops.
pub async fn accept_links(mesh: Rc<PeerMesh>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let task_mesh = Rc::clone(&mesh);
        mesh.kernel.spawn_service(async move {
            // The error is dropped: the dialling side detects and records the failure itself.
            let _ = serve_link(&task_mesh, tcp).await;
        });
    }
}

async fn serve_link(mesh: &PeerMesh, tcp: TcpStream) -> Result<()> {
    let timeout = mesh.options.link_timeout;
    tcp.set_nodelay(true).map_err(Error::link)?;
    let (mut link, hello) = with_timeout(timeout, accept_handshake(mesh, tcp)).await?;
    mesh.add_reply_queue(&hello.host);
    let result = receive_all(mesh, &hello, &mut link).await;
    mesh.remove_reply_queue(&hello.host);
    result
}

async fn receive_all(mesh: &PeerMesh, hello: &LinkHello, link: &mut MessageLink) -> Result<()> {
    let timeout = mesh.options.link_timeout;
    loop {
        // The dialling side sends at least one message per heartbeat interval.
        let received = link.receive::<PeerEnvelope>();
        let envelope = with_timeout(timeout + mesh.options.heartbeat_interval, received).await?;
        mesh.ring.observe(envelope.stamp);
        mesh.record_contact(&hello.host, hello.incarnation, boot_time());
        let is_heartbeat = matches!(envelope.message, PeerMessage::Heartbeat(_));
        let mirrors = if is_heartbeat {
            mesh.mirror_states()
        } else {
            Vec::new()
        };
        let ack = LinkAck {
            sequence: envelope.sequence,
            stamp: mesh.ring.stamp(),
            mirrors,
            messages: mesh.drain_replies(&hello.host),
        };
        deliver(mesh, hello, envelope)?;
        with_timeout(timeout, link.send(&ack)).await?;
    }
}

async fn accept_handshake(mesh: &PeerMesh, tcp: TcpStream) -> Result<(MessageLink, LinkHello)> {
    let options = &mesh.options;
    let mut link = MessageLink::new_accepted(tcp).await?;
    let nonce = proof::new_nonce().map_err(Error::link)?;
    let challenge = LinkChallenge {
        nonce: nonce.clone(),
    };
    link.send(&challenge).await?;
    let hello: LinkHello = link.receive().await?;
    if !proof::verify(&options.secret, "dial", &nonce, &hello.host, &hello.proof) {
        return Err(Error::InvalidProof);
    }
    let welcome = LinkWelcome {
        host: options.host.clone(),
        incarnation: options.incarnation,
        region: options.region.clone(),
        zone: options.zone.clone(),
        proof: proof::compute_proof(&options.secret, "accept", &hello.nonce, &options.host),
    };
    link.send(&welcome).await?;
    Ok((link, hello))
}

// Delivers a message to the inbox unless it is a duplicate. Closes a link from an incarnation that is
// older than the latest known one of that host.
fn deliver(mesh: &PeerMesh, hello: &LinkHello, envelope: PeerEnvelope) -> Result<()> {
    let mut senders = mesh.senders.borrow_mut();
    let sender = senders.entry(hello.host.clone()).or_insert(SenderProgress {
        incarnation: hello.incarnation,
        sequence: 0,
    });
    if hello.incarnation < sender.incarnation {
        return Err(Error::Closed);
    }
    if hello.incarnation > sender.incarnation {
        sender.incarnation = hello.incarnation;
        sender.sequence = 0;
    }
    if envelope.sequence <= sender.sequence {
        return Ok(());
    }
    sender.sequence = envelope.sequence;
    drop(senders);
    if let PeerMessage::Heartbeat(state) = &envelope.message {
        mesh.record_state(&hello.host, state);
    }
    mesh.notify(PeerNotice::Received {
        peer: hello.host.clone(),
        message: envelope.message,
    });
    Ok(())
}
