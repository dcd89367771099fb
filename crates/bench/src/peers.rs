//! Messages between hosts: bytes and processor time by what they report.

use fighall_core::clock::HybridStamp;
use fighall_peer::message::{
    HostState, OrgDemand, PeerEnvelope, PeerMessage, RecentPeer, ServiceCapacity, TargetUse,
};
use std::time::Instant;

/// Targets in use, services, peers heard and organisations with demand.
const SIZES: [(u32, u32, u32, u32); 4] = [
    (0, 2, 8, 0),
    (28, 2, 8, 8),
    (100, 10, 30, 50),
    (500, 50, 100, 200),
];
/// Messages timed.
const MESSAGES: u32 = 5_000;

pub(crate) fn run() {
    println!("targets services peers organisations  B/heartbeat  us/encode  us/decode");
    for (targets, services, peers, organisations) in SIZES {
        let envelope = envelope(targets, services, peers, organisations);
        let (bytes, encode, decode) = time(&envelope);
        println!(
            "{targets:>7} {services:>8} {peers:>5} {organisations:>13} {bytes:>12} {encode:>10.1} {decode:>10.1}"
        );
    }
}

fn envelope(targets: u32, services: u32, peers: u32, organisations: u32) -> PeerEnvelope {
    let mut state = HostState {
        member: Some(7),
        generation: 1_000,
        open: true,
        store_up: true,
        caller_address: "10.0.0.11:8080".to_owned(),
        forward_address: "10.0.0.11:8082".to_owned(),
        ..HostState::default()
    };
    for index in 0..targets {
        state.targets.push(TargetUse {
            target: format!("quote-desk-{index}"),
            in_flight: 3,
            ejected: false,
        });
    }
    for index in 0..services {
        state.capacities.push(ServiceCapacity {
            service: format!("service-{index}"),
            free: 9,
        });
    }
    for index in 0..peers {
        state.recent_peers.push(RecentPeer {
            host: format!("lima-{index}"),
            incarnation: 1_796_000_000_000,
        });
    }
    for index in 0..organisations {
        state.demands.push(OrgDemand {
            organisation: format!("organisation-{index}"),
            rate: 40_000_000,
        });
    }
    PeerEnvelope {
        sequence: 123_456,
        stamp: HybridStamp {
            millis: 1_796_000_000_000,
            counter: 3,
        },
        message: PeerMessage::Heartbeat(state),
    }
}

fn time(envelope: &PeerEnvelope) -> (usize, f64, f64) {
    let mut bytes = Vec::new();
    let started = Instant::now();
    for _ in 0..MESSAGES {
        bytes.clear();
        if ciborium::into_writer(envelope, &mut bytes).is_err() {
            return (0, 0.0, 0.0);
        }
    }
    let encode = started.elapsed().as_secs_f64() * 1e6 / f64::from(MESSAGES);
    let started = Instant::now();
    for _ in 0..MESSAGES {
        let read: Result<PeerEnvelope, _> = ciborium::from_reader(bytes.as_slice());
        if read.is_err() {
            return (0, 0.0, 0.0);
        }
    }
    let decode = started.elapsed().as_secs_f64() * 1e6 / f64::from(MESSAGES);
    (bytes.len(), encode, decode)
}
