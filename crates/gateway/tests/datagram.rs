//! Datagrams between hosts: small and large messages, and what is no message.

use fighall_gateway::{
    datagram::{Error, MAX_DATAGRAM_BYTES, decode, encode},
    message::{FollowedKind, KindChanges, PeerMessage},
};
use fighall_store::object::ObjectChange;
use flate2::{Compression, write::DeflateEncoder};
use std::io::Write;

fn changes(count: u64, value: impl Fn(u64) -> String) -> PeerMessage {
    let changes = (0..count).map(|number| ObjectChange {
        name: format!("target-{number}"),
        version: number,
        value: Some(value(number)),
    });
    PeerMessage::Changes(KindChanges {
        kind: FollowedKind::Targets,
        previous: 0,
        version: count,
        changes: changes.collect(),
        to_forward: true,
    })
}

#[test]
fn messages_of_any_size_are_read_back() {
    for count in [0, 1, 10, 150] {
        let message = changes(count, |number| {
            format!(
                "{{\"service\":\"quotes\",\"zone\":\"lima-a\",\"slots\":8,\"number\":{number}}}"
            )
        });
        let datagram = encode(&message).expect("a datagram");
        let PeerMessage::Changes(read) = decode(&datagram).expect("a message") else {
            panic!("another kind of message");
        };
        assert_eq!(read.changes.len(), usize::try_from(count).expect("small"));
        assert!(read.to_forward);
        assert!(
            datagram.len() < 3_000,
            "{count} changes: {} bytes",
            datagram.len()
        );
    }
}

#[test]
fn message_that_fits_no_datagram_is_an_error() {
    let mut rng = fastrand::Rng::with_seed(1);
    let noise: String = (0..2 * MAX_DATAGRAM_BYTES)
        .map(|_| rng.alphanumeric())
        .collect();
    let error = encode(&changes(1, |_| noise.clone()));
    assert!(matches!(error, Err(Error::TooLarge { .. })), "{error:?}");
}

#[test]
fn what_is_no_message_is_an_error() {
    let datagram = encode(&changes(100, |_| "value".to_owned())).expect("a datagram");
    for datagram in [
        &[][..],
        &[0],
        &[0, 255, 255],
        b"text",
        &datagram[..datagram.len() / 2],
    ] {
        assert!(decode(datagram).is_err(), "{datagram:?}");
    }
    // Some kilobytes that decompress to 20 MB.
    let mut encoder = DeflateEncoder::new(vec![0], Compression::best());
    for _ in 0..200 {
        encoder.write_all(&[0; 100_000]).expect("in memory");
    }
    let bomb = encoder.finish().expect("in memory");
    assert!(bomb.len() < MAX_DATAGRAM_BYTES);
    assert!(decode(&bomb).is_err());
}
