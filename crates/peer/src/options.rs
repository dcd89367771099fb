//! Identity of a host and the timeouts and limits of its links.

use fighall_core::{
    ids::{HostId, Incarnation, RegionId, ZoneId},
    secret::SecretText,
    value,
};
use std::{net::IpAddr, time::Duration};

value! {
    /// `MeshOptions` holds the identity of a host and the timeouts and limits of its links.
    pub struct MeshOptions {
        /// ID of this host.
        pub host: HostId,
        /// Incarnation of this host.
        pub incarnation: Incarnation,
        /// Region of this host.
        pub region: RegionId,
        /// Availability zone of this host.
        pub zone: ZoneId,
        /// Local address for dialled links; `None` leaves the choice to the operating system.
        pub source_address: Option<IpAddr>,
        /// Secret shared by all hosts of the fleet.
        pub secret: SecretText,
        /// Interval of heartbeats.
        pub heartbeat_interval: Duration,
        /// Time without an acknowledgement after which a link is closed; also the timeout of the handshake
        /// and of each send.
        pub link_timeout: Duration,
        /// Number of messages queued to one peer, above which new ones are dropped.
        pub queue_limit: usize,
        /// Number of notices queued in the inbox, above which new ones are dropped.
        pub inbox_limit: usize,
    }
}

impl MeshOptions {
    /// Creates options with the default timeouts and limits, without region and zone.
    pub fn with_host(host: &str, incarnation: Incarnation, secret: SecretText) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            region: String::new(),
            zone: String::new(),
            source_address: None,
            secret,
            heartbeat_interval: Duration::from_millis(300),
            link_timeout: Duration::from_millis(1_500),
            queue_limit: 4_096,
            inbox_limit: 65_536,
        }
    }
}
