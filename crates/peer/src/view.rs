//! What a host knows of a peer.

use crate::message::HostState;
use fighall_core::{
    ids::{BootTime, HostId, Incarnation, RegionId, ZoneId},
    message, tag, value,
};
use std::time::Duration;

tag! {
    /// `LinkState` is whether messages reach a peer.
    pub enum LinkState {
        /// The link is up.
        Up,
        /// The link was dropped and is dialled anew.
        Dialling,
        /// New connections fail too.
        Down,
    }
}

message! {
    /// `PeerAddress` is where a peer is found, from its membership lease.
    pub struct PeerAddress {
        /// Host.
        pub host: HostId,
        /// Incarnation.
        pub incarnation: Incarnation,
        /// Address for peers.
        pub address: String,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
    }
}

impl PeerAddress {
    /// Creates the address of a host that is known by its address alone, from the settings of a
    /// host that starts while the store is down.
    pub fn with_seed(address: &str) -> Self {
        Self {
            host: format!("seed-{address}"),
            incarnation: 0,
            address: address.to_owned(),
            region: RegionId::new(),
            zone: ZoneId::new(),
        }
    }

    /// Tells whether the host's name is not known.
    pub fn is_seed(&self) -> bool {
        self.incarnation == 0
    }
}

value! {
    /// `PeerView` is what is known of one peer.
    pub struct PeerView {
        /// Where it is found.
        pub peer: PeerAddress,
        /// Whether messages reach it.
        pub link: LinkState,
        /// Incarnation that was last heard.
        pub heard_incarnation: Option<Incarnation>,
        /// When anything was last heard from it.
        pub heard_at: Option<BootTime>,
        /// Latest state it sent.
        pub state: HostState,
        /// Moving average of the round trip.
        pub round_trip: Duration,
        /// Messages dropped for want of room.
        pub dropped: u64,
    }
}

impl PeerView {
    /// Tells whether the peer was heard within `bound`.
    pub fn is_alive(&self, now: BootTime, bound: Duration) -> bool {
        let heard = self
            .heard_at
            .is_some_and(|at| now.saturating_sub(at) <= bound);
        heard && self.link != LinkState::Down
    }
}
