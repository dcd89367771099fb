//! The directory: selects the hosts that a caller may connect to.

use crate::fleet::FleetTable;
use fighall_core::{
    ids::{BootTime, RegionId},
    rendezvous, value,
};
use std::{net::SocketAddr, time::Duration};

/// Maximum number of addresses in a look-up response.
const MAX_ADDRESSES: usize = 64;

value! {
    /// `LookupQuery` is a caller's look-up request.
    #[derive(Default)]
    pub struct LookupQuery {
        /// Host name that the caller will send requests to; the selection does not depend on it.
        pub name: String,
        /// Region of the caller.
        pub region: RegionId,
        /// Availability zone of the caller.
        pub zone: String,
    }
}

value! {
    /// `LookupResponse` is the directory's response.
    pub struct LookupResponse {
        /// Addresses of hosts; the caller may use any of them.
        pub addresses: Vec<SocketAddr>,
        /// Time for which the caller may cache the response.
        pub ttl: Duration,
    }
}

value! {
    /// `OwnEndpoint` is the host that handles the look-up.
    pub struct OwnEndpoint {
        /// Region.
        pub region: RegionId,
        /// Address that callers connect to.
        pub callers: SocketAddr,
        /// Whether the host accepts callers.
        pub accepts_callers: bool,
    }
}

/// Selects the addresses for a caller: all hosts of its region that accept callers or, without any, those
/// of all regions. Above the maximum number, rendezvous hashing by the caller's availability zone picks.
pub fn select_addresses(
    fleet: &FleetTable,
    now: BootTime,
    own: &OwnEndpoint,
    query: &LookupQuery,
) -> Vec<SocketAddr> {
    let mut in_region = Vec::new();
    let mut elsewhere = Vec::new();
    let mut add = |region: &str, address: SocketAddr| {
        if region == query.region {
            in_region.push(address);
        } else {
            elsewhere.push(address);
        }
    };
    if own.accepts_callers {
        add(&own.region, own.callers);
    }
    for peer in fleet.peers().filter(|peer| peer.accepts_callers(now)) {
        add(&peer.entry.region, peer.entry.callers);
    }
    let mut chosen = if in_region.is_empty() {
        elsewhere
    } else {
        in_region
    };
    if chosen.len() > MAX_ADDRESSES {
        rendezvous::rank(&query.zone, &mut chosen, ToString::to_string);
        chosen.truncate(MAX_ADDRESSES);
    }
    chosen
}
