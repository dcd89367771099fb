//! The directory: selects the hosts that a caller may connect to.

use crate::fleet::FleetTable;
use fighall_core::{
    ids::{BootTime, RegionId},
    rendezvous, value,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

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
        /// Whether the host reaches no target.
        pub targets_unreachable: bool,
    }
}

/// Selects the addresses for a caller: all hosts of its region that accept callers or, without any, those
/// of all regions. Hosts that reach no target are left out unless that is so for all. Above the maximum number,
/// rendezvous hashing by the caller's availability zone picks.
pub fn select_addresses(
    fleet: &FleetTable,
    now: BootTime,
    own: &OwnEndpoint,
    query: &LookupQuery,
) -> Vec<SocketAddr> {
    let mut groups: BTreeMap<(bool, bool), Vec<SocketAddr>> = BTreeMap::new();
    let mut add = |region: &str, address: SocketAddr, targets_unreachable: bool| {
        let group = (targets_unreachable, region != query.region);
        groups.entry(group).or_default().push(address);
    };
    if own.accepts_callers {
        add(&own.region, own.callers, own.targets_unreachable);
    }
    for peer in fleet.peers().filter(|peer| peer.accepts_callers(now)) {
        let entry = &peer.entry;
        add(&entry.region, entry.callers, peer.targets_unreachable);
    }
    let (_, mut chosen) = groups.pop_first().unwrap_or_default();
    if chosen.len() > MAX_ADDRESSES {
        rendezvous::rank(&query.zone, &mut chosen, ToString::to_string);
        chosen.truncate(MAX_ADDRESSES);
    }
    chosen
}
