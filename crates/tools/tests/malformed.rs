//! Malformed input of any kind is a typed error, never a panic.

use arbtest::{arbitrary::Unstructured, arbtest};
use fighall_config::source::read_document;
use fighall_core::clock::HybridStamp;
use fighall_entry::settings::EntrySettings;
use fighall_peer::message::{HostState, MirrorDelta, PeerEnvelope, PeerMessage};
use fighall_tools::loading::LoadExperiment;

const SEEDS: std::ops::Range<u64> = 1..200;
const SEED_SIZE: u64 = 2_048;

fn check(mut property: impl FnMut(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for seed in SEEDS {
        arbtest(|u| property(u))
            .seed((seed << 32) | SEED_SIZE)
            .run();
    }
}

/// A valid text with random bytes cut out, doubled or replaced.
fn damaged(u: &mut Unstructured<'_>, text: &str) -> arbtest::arbitrary::Result<String> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..u.int_in_range(1..=12)? {
        if bytes.is_empty() {
            break;
        }
        let at = u.choose_index(bytes.len())?;
        match u.int_in_range(0..=3)? {
            0 => bytes[at] = u.arbitrary()?,
            1 => {
                bytes.remove(at);
            }
            2 => bytes.insert(at, *u.choose(b"{}[]\",:0-9/*")?),
            _ => bytes.truncate(at),
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[test]
fn damaged_documents_and_settings_are_reported() {
    let files = [
        include_str!("../../../examples/condor-alado/fleet.json"),
        include_str!("../../../examples/condor-alado/quote-desk.json"),
        include_str!("../../../examples/condor-alado/blocks.json"),
        include_str!("../../../examples/entry.json"),
        include_str!("../../../examples/load.json"),
    ];
    check(|u| {
        for file in files {
            let text = damaged(u, file)?;
            // Whatever is wrong has a place within the text.
            if let Err(findings) = read_document("file", &text) {
                let last = text.lines().count() + 1;
                let places = findings.findings.iter().map(|finding| finding.place.line);
                assert!(!findings.is_empty());
                assert!(places.max() <= Some(last));
            }
            let _ = EntrySettings::parse("file", &text);
            let _ = LoadExperiment::parse("file", &text);
        }
        Ok(())
    });
}

fn message(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<PeerMessage> {
    Ok(match u.int_in_range(0..=3)? {
        0 => PeerMessage::Heartbeat(HostState {
            generation: u.arbitrary()?,
            open: u.arbitrary()?,
            caller_address: u.arbitrary()?,
            ..HostState::default()
        }),
        1 => PeerMessage::MirrorRequest {
            kind: u.arbitrary()?,
            after: u.arbitrary()?,
        },
        2 => PeerMessage::Document {
            digest: u.arbitrary()?,
            text: u.arbitrary()?,
        },
        _ => PeerMessage::MirrorDelta(MirrorDelta {
            kind: u.arbitrary()?,
            version: u.arbitrary()?,
            after: u.arbitrary()?,
            changes: Vec::new(),
        }),
    })
}

#[test]
fn peer_messages_survive_the_wire_and_damage_is_an_error() {
    check(|u| {
        let envelope = PeerEnvelope {
            sequence: u.arbitrary()?,
            stamp: HybridStamp {
                millis: u.arbitrary()?,
                counter: u.arbitrary()?,
            },
            message: message(u)?,
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&envelope, &mut bytes).unwrap();
        let read: PeerEnvelope = ciborium::from_reader(bytes.as_slice()).unwrap();
        assert_eq!(read, envelope);
        let at = u.choose_index(bytes.len())?;
        bytes[at] = u.arbitrary()?;
        let _: Result<PeerEnvelope, _> = ciborium::from_reader(bytes.as_slice());
        bytes.truncate(at);
        let cut: Result<PeerEnvelope, _> = ciborium::from_reader(bytes.as_slice());
        assert!(cut.is_err());
        Ok(())
    });
}
