//! Selection of the hosts of a region that exchange digests with other regions, and of those that watch
//! the store on behalf of the others.

use super::{FleetTable, peer::FleetPeer};
use fighall_core::{
    ids::{BootTime, HostId, RegionId},
    rendezvous,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of hosts of a region that watch the store on behalf of the others.
const STORE_WATCHERS: usize = 2;
/// Rendezvous hashing key by which relays and store watchers are picked.
pub const RELAY_KEY: &str = "relay";

impl FleetTable {
    /// Tells whether `own_host` is the relay of its region: the first by hash of the hosts that are
    /// live and not leaving. The state of the store is not considered, because each change of the relay loses the
    /// admissions that are in transit.
    pub fn is_relay(&self, now: BootTime, own_host: &str) -> bool {
        let remaining = self.remaining_local_peers(now);
        let mut hosts: Vec<_> = remaining.map(|peer| peer.entry.host.as_str()).collect();
        hosts.push(own_host);
        let picked = rendezvous::top(RELAY_KEY, &hosts, 1, |host| *host);
        picked.first().is_some_and(|picked| **picked == own_host)
    }

    /// Lists the hosts of the region that watch the store, confirm the policy and forward changes to the
    /// others. There are two, so that the loss of one leaves no gap. Hosts whose calls to the store fail
    /// are picked only if the calls of all hosts fail.
    pub fn store_watchers(&self, now: BootTime, own_host: &str) -> Vec<HostId> {
        let mut available = Vec::new();
        let mut failing = Vec::new();
        for peer in self.remaining_local_peers(now) {
            let is_failing = peer
                .heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.copies.store_unreachable);
            let hosts = if is_failing {
                &mut failing
            } else {
                &mut available
            };
            hosts.push(peer.entry.host.clone());
        }
        let hosts = if self.store_failing {
            &mut failing
        } else {
            &mut available
        };
        hosts.push(own_host.to_owned());
        let hosts = if available.is_empty() {
            failing
        } else {
            available
        };
        let picked = rendezvous::top(RELAY_KEY, &hosts, STORE_WATCHERS, String::as_str);
        picked.into_iter().cloned().collect()
    }

    /// Sets whether this host's calls to the store fail.
    pub fn set_store_failing(&mut self, failing: bool) {
        self.store_failing = failing;
    }

    /// Tells whether a store watcher other than `own_host` is live that got a response from the store
    /// itself within `bound`. Confirmations that it got from other hosts do not count, since its own calls
    /// to the store may fail.
    pub fn has_live_store_watcher(&self, now: BootTime, own_host: &str, bound: Duration) -> bool {
        let store_watchers = self.store_watchers(now, own_host);
        let mut watchers = self
            .live_local_peers(now)
            .filter(|peer| store_watchers.contains(&peer.entry.host));
        watchers.any(|peer| {
            let heartbeat = peer.heartbeat.as_ref();
            let store_age = heartbeat.and_then(|heartbeat| heartbeat.copies.store_age_us);
            let last_seen_age = now.saturating_sub(peer.last_seen_at.unwrap_or_default());
            store_age
                .is_some_and(|store_age| Duration::from_micros(store_age) + last_seen_age < bound)
        })
    }

    /// Lists, for each other region, the addresses of the two hosts that receive digests and forward them
    /// in their region: the first by hash of the hosts that serve callers, or of all if none does.
    pub fn remote_relays(&self, now: BootTime) -> BTreeMap<RegionId, Vec<SocketAddr>> {
        let mut region_peers: BTreeMap<RegionId, Vec<&FleetPeer>> = BTreeMap::new();
        for peer in self.peers() {
            if peer.entry.region != self.region {
                let hosts = region_peers.entry(peer.entry.region.clone()).or_default();
                hosts.push(peer);
            }
        }
        let mut relays = BTreeMap::new();
        for (region, hosts) in region_peers {
            let serving: Vec<_> = hosts
                .iter()
                .filter(|peer| peer.accepts_callers(now))
                .collect();
            let candidates = if serving.is_empty() {
                hosts.iter().collect()
            } else {
                serving
            };
            let picked =
                rendezvous::top(RELAY_KEY, &candidates, 2, |peer| peer.entry.host.as_str());
            let addresses = picked.into_iter().map(|peer| peer.entry.peers);
            relays.insert(region, addresses.collect());
        }
        relays
    }
}
