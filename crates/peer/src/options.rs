//! Identity of a host and the bounds of its links.

use fighall_core::{
    ids::{HostId, Incarnation, RegionId, ZoneId},
    secret::SecretText,
    value,
};
use std::{net::IpAddr, time::Duration};

value! {
    /// `MeshOptions` are a host's identity and the bounds of its links.
    pub struct MeshOptions {
        /// This host.
        pub host: HostId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Address that links are dialled from; by default the system picks it.
        pub source: Option<IpAddr>,
        /// The fleet's secret.
        pub secret: SecretText,
        /// Interval of heartbeats.
        pub heartbeat: Duration,
        /// Silence after which a link is dropped.
        pub silence: Duration,
        /// Most messages queued to one peer.
        pub queue_limit: usize,
        /// Most messages queued in the inbox.
        pub inbox_limit: usize,
    }
}

impl MeshOptions {
    /// Creates options with the usual bounds.
    pub fn with_host(host: &str, incarnation: Incarnation, secret: SecretText) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            region: String::new(),
            zone: String::new(),
            source: None,
            secret,
            heartbeat: Duration::from_millis(300),
            silence: Duration::from_millis(1_500),
            queue_limit: 4_096,
            inbox_limit: 65_536,
        }
    }
}
