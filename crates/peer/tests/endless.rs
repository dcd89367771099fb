//! A host that sends frames without end, as fast as it can: other tasks of the thread run in time.

use compio::{net::TcpListener, runtime::Runtime};
use fighall_core::clock::boot_time;
use fighall_peer::{codec::MessageLink, message::LinkHello};
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Time for which the other host sends.
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Timeout for a message.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a timeout within which it has to take effect.
const ALLOWANCE: Duration = Duration::from_millis(500);
const HANDSHAKE: &str = "GET /peers HTTP/1.1\r\nhost: fighall\r\nconnection: upgrade\r\n\
    upgrade: websocket\r\nsec-websocket-version: 13\r\n\
    sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
/// A masked pong without content.
const PONG: [u8; 6] = [0x8a, 0x80, 0, 0, 0, 0];

fn send_pongs(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let _ = stream.set_write_timeout(Some(FLOOD_TIME));
    stream
        .write_all(HANDSHAKE.as_bytes())
        .expect("the handshake should be sent");
    let _ = stream.read(&mut [0; 1_024]);
    let pongs = PONG.repeat(10_000);
    let started_at = Instant::now();
    while started_at.elapsed() < FLOOD_TIME && stream.write_all(&pongs).is_ok() {}
}

// Regression: a link whose remote host sent frames faster than they were read kept its thread, and no timeout took effect.
#[test]
fn a_link_with_a_host_that_sends_without_end_is_given_up_at_its_timeout() {
    let runtime = Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || send_pongs(address));
        let (tcp, _) = listener.accept().await.expect("a connection");
        let link = MessageLink::new_accepted(tcp).await;
        let mut link = link.expect("a link");
        // Blocks the thread, so that the other host fills the receive buffer.
        thread::sleep(RECEIVE_TIMEOUT);
        let started_at = boot_time();
        let received = compio::time::timeout(RECEIVE_TIMEOUT, link.receive::<LinkHello>()).await;
        let elapsed = boot_time().saturating_sub(started_at);
        assert!(received.is_err(), "no message was sent");
        assert!(elapsed <= RECEIVE_TIMEOUT + ALLOWANCE, "{elapsed:?}");
    });
}
