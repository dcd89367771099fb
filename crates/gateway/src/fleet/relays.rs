//! Selection of the hosts that send, receive and forward messages between availability zones, and of those
//! that watch the store on behalf of their region.

use super::{FleetTable, peer::FleetPeer};
use crate::message::CopyStatus;
use fighall_core::{
    ids::{BootTime, HostId, ZoneId},
    rendezvous, value,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Number of hosts of a region that watch the store on behalf of the others.
const STORE_WATCHERS: usize = 2;
/// Number of hosts of a zone that receive messages of another zone, in turn, so that the loss of one costs
/// only every second message.
const ZONE_RECEIVERS: usize = 2;
/// Rendezvous hashing key by which relays and store watchers are picked.
pub const RELAY_KEY: &str = "relay";

value! {
    /// `HeartbeatRecipient` is a host that heartbeats are sent to.
    pub struct HeartbeatRecipient {
        /// Name of the host.
        pub host: HostId,
        /// Its address for messages of other hosts.
        pub address: SocketAddr,
        /// Whether it is in the own availability zone.
        pub is_local: bool,
    }
}

impl FleetTable {
    // Lists the hosts of the own region that may be relays and store watchers. Whether they serve callers
    // does not matter: hosts that start together would otherwise all pick themselves until they do.
    fn remaining_peers(&self, now: BootTime) -> impl Iterator<Item = &FleetPeer> {
        self.live_region_peers(now).filter(|peer| !peer.leaving)
    }

    /// Tells whether `own_host` is the relay of its zone: the first by hash of the hosts that are live and not
    /// leaving. The state of the store is not considered, because each change of the relay loses the
    /// admissions that are in transit.
    pub fn is_relay(&self, now: BootTime, own_host: &str) -> bool {
        let local = self
            .remaining_peers(now)
            .filter(|peer| peer.entry.zone == self.zone);
        let mut hosts: Vec<_> = local.map(|peer| peer.entry.host.as_str()).collect();
        hosts.push(own_host);
        let picked = rendezvous::top(RELAY_KEY, &hosts, 1, |host| *host);
        picked.first().is_some_and(|picked| **picked == own_host)
    }

    /// Lists the hosts of the region that watch the store, confirm the policy and forward changes to the
    /// others. There are two, in different zones if possible, so that the loss of one host or zone leaves no
    /// gap. Hosts whose calls to the store fail are picked only if the calls of all hosts fail.
    pub fn store_watchers(&self, now: BootTime, own_host: &str) -> Vec<HostId> {
        let available = self.available_hosts(now, own_host);
        if available.is_empty() {
            return self.preferred_store_watchers(now, own_host);
        }
        pick_store_watchers(&available)
    }

    /// Lists the hosts of the region that would watch the store without its present store watchers.
    pub fn next_store_watchers(&self, now: BootTime, own_host: &str) -> Vec<HostId> {
        let store_watchers = self.store_watchers(now, own_host);
        let is_watching = |host: &str| store_watchers.iter().any(|watcher| watcher == host);
        let mut others = self.available_hosts(now, own_host);
        others.retain(|(host, _)| !is_watching(host));
        pick_store_watchers(&others)
    }

    // Lists the hosts of the region whose calls to the store do not fail, with their zones.
    fn available_hosts<'f>(&'f self, now: BootTime, own_host: &'f str) -> Vec<(&'f str, &'f str)> {
        let peers = self.remaining_peers(now);
        let available = peers.filter(|peer| !peer.store_unreachable);
        let mut available: Vec<_> = available.map(host_and_zone).collect();
        if !self.store_failing {
            available.push((own_host, self.zone.as_str()));
        }
        available
    }

    /// Lists the hosts of the region that watch the store if it serves them.
    pub fn preferred_store_watchers(&self, now: BootTime, own_host: &str) -> Vec<HostId> {
        let peers = self.remaining_peers(now).map(host_and_zone);
        let hosts: Vec<_> = peers.chain([(own_host, self.zone.as_str())]).collect();
        pick_store_watchers(&hosts)
    }

    /// Lists the recipients of this host's heartbeats: the hosts of its zone, the store watchers of the region
    /// and the hosts from which heartbeats arrive; if this host is a store watcher, all hosts of the region.
    pub fn heartbeat_recipients(&self, now: BootTime, own_host: &str) -> Vec<HeartbeatRecipient> {
        let store_watchers = self.store_watchers(now, own_host);
        let is_store_watcher = store_watchers.iter().any(|host| host == own_host);
        let mut recipients = Vec::new();
        for peer in self.region_peers() {
            let is_local = peer.entry.zone == self.zone;
            let is_recipient = is_local
                || is_store_watcher
                || store_watchers.contains(&peer.entry.host)
                || peer.sends_heartbeats(now);
            if is_recipient {
                recipients.push(HeartbeatRecipient {
                    host: peer.entry.host.clone(),
                    address: peer.entry.peers,
                    is_local,
                });
            }
        }
        recipients
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
            .live_region_peers(now)
            .filter(|peer| store_watchers.contains(&peer.entry.host));
        watchers.any(|peer| {
            let heartbeat = peer.heartbeat.as_ref();
            let store_age = heartbeat.and_then(|heartbeat| heartbeat.copies.store_age_us);
            let heartbeat_age = now.saturating_sub(peer.heartbeat_at);
            store_age
                .is_some_and(|store_age| Duration::from_micros(store_age) + heartbeat_age < bound)
        })
    }

    /// Lists the addresses for messages of hosts whose copies `is_ahead` selects: those of the own region. If it has none, a
    /// preferred store watcher gets those of the relays of other zones, and the rest of the region follows it.
    pub fn hosts_ahead(
        &self,
        now: BootTime,
        own_host: &str,
        is_ahead: impl Fn(&CopyStatus) -> bool,
    ) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for peer in self.live_region_peers(now) {
            let heartbeat = peer.heartbeat.as_ref();
            if heartbeat.is_some_and(|heartbeat| is_ahead(&heartbeat.copies)) {
                addresses.push(peer.entry.peers);
            }
        }
        let watchers = self.preferred_store_watchers(now, own_host);
        if !addresses.is_empty() || !watchers.iter().any(|host| host == own_host) {
            return addresses;
        }
        for view in self.live_views(now) {
            let relay = self.peers.get(&view.digest.relay);
            if let Some(relay) = relay.filter(|_| is_ahead(&view.digest.copies)) {
                addresses.push(relay.entry.peers);
            }
        }
        addresses
    }

    /// Lists, for each other zone, the addresses of the two hosts that receive messages of the own zone and
    /// forward them in theirs: the first by hash of the hosts that serve callers, or of all if none does. The
    /// own zone is the key of the hash, so that a zone's hosts share the forwarding for all others.
    pub fn zone_receivers(&self, now: BootTime) -> BTreeMap<ZoneId, Vec<SocketAddr>> {
        self.receivers(now, |_| true)
    }

    /// Lists the same for the other zones of the own region.
    pub fn region_receivers(&self, now: BootTime) -> BTreeMap<ZoneId, Vec<SocketAddr>> {
        self.receivers(now, |peer| peer.entry.region == self.region)
    }

    fn receivers(
        &self,
        now: BootTime,
        is_included: impl Fn(&FleetPeer) -> bool,
    ) -> BTreeMap<ZoneId, Vec<SocketAddr>> {
        let mut zone_peers: BTreeMap<ZoneId, Vec<&FleetPeer>> = BTreeMap::new();
        for peer in self.peers().filter(|peer| is_included(peer)) {
            if peer.entry.zone != self.zone {
                let hosts = zone_peers.entry(peer.entry.zone.clone()).or_default();
                hosts.push(peer);
            }
        }
        let mut receivers = BTreeMap::new();
        for (zone, hosts) in zone_peers {
            let serving: Vec<_> = hosts
                .iter()
                .filter(|peer| peer.accepts_callers(now))
                .collect();
            let candidates = if serving.is_empty() {
                hosts.iter().collect()
            } else {
                serving
            };
            let picked = rendezvous::top(&self.zone, &candidates, ZONE_RECEIVERS, |peer| {
                peer.entry.host.as_str()
            });
            let addresses = picked.into_iter().map(|peer| peer.entry.peers);
            receivers.insert(zone, addresses.collect());
        }
        receivers
    }
}

fn host_and_zone(peer: &FleetPeer) -> (&str, &str) {
    (peer.entry.host.as_str(), peer.entry.zone.as_str())
}

// Picks the first host by hash, and the first one of another zone or, without any, the second one.
fn pick_store_watchers(hosts: &[(&str, &str)]) -> Vec<HostId> {
    let ranked = rendezvous::top(RELAY_KEY, hosts, hosts.len(), |(host, _)| host);
    let mut picked: Vec<&(&str, &str)> = ranked.first().copied().into_iter().collect();
    let first_zone = picked.first().map(|(_, zone)| *zone);
    let elsewhere = ranked.iter().find(|(_, zone)| Some(*zone) != first_zone);
    let second = elsewhere.or_else(|| ranked.get(1)).copied();
    picked.extend(second);
    picked.truncate(STORE_WATCHERS);
    picked
        .into_iter()
        .map(|(host, _)| (*host).to_owned())
        .collect()
}
