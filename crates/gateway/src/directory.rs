//! The directory: selects the hosts that a caller may connect to.

use crate::fleet::FleetTable;
use fighall_core::{
    ids::{BootTime, RegionId},
    rendezvous, value,
};
use std::{net::SocketAddr, time::Duration};

/// Maximum number of addresses in a look-up response.
const ANSWER_LIMIT: usize = 64;

value! {
    /// `LookupQuery` is a caller's look-up request.
    #[derive(Default)]
    pub struct LookupQuery {
        /// Host name that the caller will send requests to. Not used by the selection: each host serves all
        /// routes.
        pub name: String,
        /// Region of the caller.
        pub region: RegionId,
        /// Availability zone of the caller.
        pub zone: String,
    }
}

value! {
    /// `LookupAnswer` is the directory's response.
    pub struct LookupAnswer {
        /// Addresses of hosts, in no order of preference.
        pub addresses: Vec<SocketAddr>,
        /// Time for which the caller may cache the response.
        pub lifetime: Duration,
    }
}

value! {
    /// `OwnPlace` is the host that handles the look-up.
    pub struct OwnPlace {
        /// Region.
        pub region: RegionId,
        /// Address that callers connect to.
        pub callers: SocketAddr,
        /// Whether the host accepts callers.
        pub open: bool,
    }
}

/// Selects the addresses for a caller: all hosts of its region that accept callers or, without any, those
/// of all regions. Above the maximum number, rendezvous hashing by the caller's availability zone picks.
pub fn addresses(
    fleet: &FleetTable,
    now: BootTime,
    own: &OwnPlace,
    query: &LookupQuery,
) -> Vec<SocketAddr> {
    let mut near = Vec::new();
    let mut far = Vec::new();
    let mut add = |region: &str, address: SocketAddr| {
        if region == query.region {
            near.push(address);
        } else {
            far.push(address);
        }
    };
    if own.open {
        add(&own.region, own.callers);
    }
    for peer in fleet.peers().filter(|peer| peer.takes_callers(now)) {
        add(&peer.entry.region, peer.entry.callers);
    }
    let mut chosen = if near.is_empty() { far } else { near };
    if chosen.len() > ANSWER_LIMIT {
        rendezvous::rank(&query.zone, &mut chosen, ToString::to_string);
        chosen.truncate(ANSWER_LIMIT);
    }
    chosen
}
