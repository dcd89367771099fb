//! Accepted links: handshake, then a receive loop until the link fails.

use crate::{
    codec::MessageLink,
    dial::within,
    errors::{Error, Result},
    mesh::{HeardSender, PeerMesh},
    message::{LinkAck, LinkChallenge, LinkHello, LinkWelcome, PeerEnvelope, PeerMessage},
    notice::PeerNotice,
    proof,
};
use compio::net::{TcpListener, TcpStream};
use fighall_core::clock::boot_time;
use std::{rc::Rc, time::Duration};

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts links from peers until the process stops.
pub async fn accept_links(mesh: Rc<PeerMesh>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            compio::time::sleep(ACCEPT_PAUSE).await;
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
    let bound = mesh.options.silence;
    tcp.set_nodelay(true).map_err(Error::link)?;
    let (mut link, hello) = within(bound, open(mesh, tcp)).await?;
    mesh.open_replies(&hello.host);
    let ended = receive_all(mesh, &hello, &mut link).await;
    mesh.close_replies(&hello.host);
    ended
}

async fn receive_all(mesh: &PeerMesh, hello: &LinkHello, link: &mut MessageLink) -> Result<()> {
    let bound = mesh.options.silence;
    loop {
        // The dialling side sends at least one message per heartbeat interval.
        let received = link.receive::<PeerEnvelope>();
        let envelope = within(bound + mesh.options.heartbeat, received).await?;
        mesh.ring.observe(envelope.stamp);
        mesh.note_heard(&hello.host, hello.incarnation, boot_time());
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
            messages: mesh.take_replies(&hello.host),
        };
        take_in(mesh, hello, envelope)?;
        within(bound, link.send(&ack)).await?;
    }
}

async fn open(mesh: &PeerMesh, tcp: TcpStream) -> Result<(MessageLink, LinkHello)> {
    let options = &mesh.options;
    let mut link = MessageLink::new_accepted(tcp).await?;
    let nonce = proof::new_nonce().map_err(Error::link)?;
    let challenge = LinkChallenge {
        nonce: nonce.clone(),
    };
    link.send(&challenge).await?;
    let hello: LinkHello = link.receive().await?;
    if !proof::verify(&options.secret, "dial", &nonce, &hello.host, &hello.proof) {
        return Err(Error::Proof);
    }
    let welcome = LinkWelcome {
        host: options.host.clone(),
        incarnation: options.incarnation,
        region: options.region.clone(),
        zone: options.zone.clone(),
        proof: proof::proof(&options.secret, "accept", &hello.nonce, &options.host),
    };
    link.send(&welcome).await?;
    Ok((link, hello))
}

// Delivers a message to the inbox unless it is a duplicate. Closes a link from an incarnation that is
// older than the latest known one of that host.
fn take_in(mesh: &PeerMesh, hello: &LinkHello, envelope: PeerEnvelope) -> Result<()> {
    let mut heard = mesh.heard.borrow_mut();
    let sender = heard.entry(hello.host.clone()).or_insert(HeardSender {
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
    drop(heard);
    if let PeerMessage::Heartbeat(state) = &envelope.message {
        mesh.note_state(&hello.host, state);
    }
    mesh.notify(PeerNotice::Received {
        peer: hello.host.clone(),
        message: envelope.message,
    });
    Ok(())
}
