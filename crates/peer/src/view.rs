//! Information that a host has about a peer.

use crate::message::HostState;
use fighall_core::{
    ids::{BootTime, HostId, Incarnation, RegionId, ZoneId},
    message, tag, value,
};
use std::time::Duration;

tag! {
    /// `LinkState` is the state of the dialled link to a peer.
    pub enum LinkState {
        /// The link is up.
        Up,
        /// The link is being dialled, for the first time or after a failure.
        Dialling,
        /// The latest dial attempt failed.
        Down,
    }
}

message! {
    /// `PeerAddress` identifies and locates a peer, as taken from its membership lease.
    pub struct PeerAddress {
        /// ID of the host.
        pub host: HostId,
        /// Incarnation of the host; 0 for a seed.
        pub incarnation: Incarnation,
        /// Address for peer links, as `IP:PORT`.
        pub address: String,
        /// Region of the host.
        pub region: RegionId,
        /// Availability zone of the host.
        pub zone: ZoneId,
    }
}

impl PeerAddress {
    /// Creates the address of a seed: a host of which only the address is known. Seeds come from the
    /// settings and are used by a host that starts while the store is down.
    pub fn from_seed(address: &str) -> Self {
        Self {
            host: format!("seed-{address}"),
            incarnation: 0,
            address: address.to_owned(),
            region: RegionId::new(),
            zone: ZoneId::new(),
        }
    }

    /// Returns whether this is a seed, whose host ID is unknown.
    pub fn is_seed(&self) -> bool {
        self.incarnation == 0
    }
}

value! {
    /// `PeerView` is the information that a host has about one peer.
    pub struct PeerView {
        /// Identity and address of the peer.
        pub peer: PeerAddress,
        /// State of the dialled link.
        pub link: LinkState,
        /// Incarnation from which the latest message was received.
        pub last_incarnation: Option<Incarnation>,
        /// Time at which the latest message was received; `None` before the first one.
        pub last_message_at: Option<BootTime>,
        /// State from the latest heartbeat.
        pub state: HostState,
        /// Moving average of the round trip of heartbeats; zero before the first one.
        pub round_trip: Duration,
        /// Number of messages dropped because the queue was full.
        pub dropped: u64,
    }
}

impl PeerView {
    /// Returns whether a message was received within `max_age` and the link is not down.
    pub fn is_alive(&self, now: BootTime, max_age: Duration) -> bool {
        let is_recent = self
            .last_message_at
            .is_some_and(|at| now.saturating_sub(at) <= max_age);
        is_recent && self.link != LinkState::Down
    }
}
