//! Selection of the hosts of a region that exchange digests with other regions, and of those that watch
//! the store on behalf of the others.

use super::{FleetTable, peer::FleetPeer};
use fighall_core::{
    ids::{BootTime, HostId, RegionId},
    rendezvous,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of hosts of a region that watch the store on behalf of the others.
const FEEDERS: usize = 2;
/// Rendezvous hashing key by which relays and store watchers are picked.
pub const RELAY_KEY: &str = "relay";

impl FleetTable {
    /// Tells whether `own` is the relay of its region: the first by hash of the hosts that serve callers.
    /// The state of the store is not considered, because each change of the relay loses the admissions
    /// that are in transit.
    pub fn is_relay(&self, now: BootTime, own: &str) -> bool {
        let serving = self.near_serving(now);
        let mut hosts: Vec<_> = serving.map(|peer| peer.entry.host.as_str()).collect();
        hosts.push(own);
        let first = rendezvous::top(RELAY_KEY, &hosts, 1, |host| *host);
        first.first().is_some_and(|first| **first == own)
    }

    /// Lists the hosts of the region that watch the store, confirm the policy and forward changes to the
    /// others. There are two, so that the loss of one leaves no gap. Hosts whose calls to the store fail
    /// are picked only if the calls of all hosts fail.
    pub fn feeders(&self, now: BootTime, own: &str) -> Vec<HostId> {
        let mut served = Vec::new();
        let mut away = Vec::new();
        for peer in self.near_serving(now) {
            let is_away = peer.beat.as_ref().is_some_and(|beat| beat.copies.away);
            let hosts = if is_away { &mut away } else { &mut served };
            hosts.push(peer.entry.host.clone());
        }
        let hosts = if self.away { &mut away } else { &mut served };
        hosts.push(own.to_owned());
        let hosts = if served.is_empty() { away } else { served };
        let first = rendezvous::top(RELAY_KEY, &hosts, FEEDERS, String::as_str);
        first.into_iter().cloned().collect()
    }

    /// Sets whether this host's calls to the store fail.
    pub fn set_away(&mut self, away: bool) {
        self.away = away;
    }

    /// Tells whether a store watcher other than `own` is heard that got an answer from the store itself
    /// within `bound`. Confirmations that the watcher got from other hosts do not count, since its own
    /// calls to the store may fail.
    pub fn is_fed(&self, now: BootTime, own: &str, bound: Duration) -> bool {
        let feeders = self.feeders(now, own);
        let mut near = self
            .near_heard(now)
            .filter(|peer| feeders.contains(&peer.entry.host));
        near.any(|peer| {
            let beat = peer.beat.as_ref();
            let age = beat.and_then(|beat| beat.copies.store_age_us);
            let since = now.saturating_sub(peer.heard_at.unwrap_or_default());
            age.is_some_and(|age| Duration::from_micros(age) + since < bound)
        })
    }

    /// Lists, for each other region, the addresses of the two hosts that receive digests and forward them
    /// in their region: the first by hash of the hosts that serve callers, or of all if none does.
    pub fn far_relays(&self, now: BootTime) -> BTreeMap<RegionId, Vec<SocketAddr>> {
        let mut regions: BTreeMap<RegionId, Vec<&FleetPeer>> = BTreeMap::new();
        for peer in self.peers() {
            if peer.entry.region != self.region {
                let hosts = regions.entry(peer.entry.region.clone()).or_default();
                hosts.push(peer);
            }
        }
        let mut relays = BTreeMap::new();
        for (region, hosts) in regions {
            let heard: Vec<_> = hosts
                .iter()
                .filter(|peer| peer.takes_callers(now))
                .collect();
            let known = if heard.is_empty() {
                hosts.iter().collect()
            } else {
                heard
            };
            let first = rendezvous::top(RELAY_KEY, &known, 2, |peer| peer.entry.host.as_str());
            let addresses = first.into_iter().map(|peer| peer.entry.peers);
            relays.insert(region, addresses.collect());
        }
        relays
    }
}
