//! Fleet membership as this host sees it: the registered hosts, when the last heartbeat of each was
//! received, and the state that they reported.
//!
//! Hosts of an availability zone send heartbeats to each other. One of them, the relay, sends a digest of its
//! zone to a host of each other zone, which forwards it within that zone. The store watchers of a region
//! also exchange heartbeats with all hosts of the region. Thus a host's messages grow with the size of its
//! zone and the number of zones, and few messages leave a zone.

pub mod demands;
pub mod holders;
pub mod peer;
pub mod relays;

use crate::{
    admissions::new_admissions,
    fleet::peer::{FleetPeer, ZoneView},
    message::{CopyStatus, HostStatus, OrgUsage, PeerHeartbeat, ZoneDigest},
    registry::HostEntry,
    rollout::{self, FleetVersions},
};
use fighall_core::ids::{BootTime, HostId, Incarnation, OrgId, RegionId, Version, ZoneId};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time without a heartbeat after which a host of the own zone counts as dead: four heartbeats, and well
/// below the time within which the directory has to drop it.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time without a heartbeat after which a host of another zone counts as dead: it covers the time that the
/// zone's hosts need to detect the failure of their relay and to replace it.
pub const REMOTE_LIVENESS_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time without a digest of a zone's relay after which digests of another relay of the zone are accepted.
const RELAY_LIVENESS_TIMEOUT: Duration = Duration::from_millis(600);

/// Requests of each organisation that a sender admitted since its last message.
pub type Admissions = Vec<(OrgId, u64)>;

/// `FleetTable` holds the other registered hosts and the latest digest of each other availability zone.
#[derive(Debug)]
pub struct FleetTable {
    region: RegionId,
    zone: ZoneId,
    incarnation: Incarnation,
    started_at: BootTime,
    peers: BTreeMap<HostId, FleetPeer>,
    // Incarnation of each host that unregistered last.
    departed: BTreeMap<HostId, Incarnation>,
    zones: BTreeMap<ZoneId, ZoneView>,
    // Whether this host's calls to the store fail.
    store_failing: bool,
}

impl FleetTable {
    /// Creates an empty table for the host in `zone` of `region` that runs as `incarnation`.
    pub fn new(region: &str, zone: &str, incarnation: Incarnation) -> Self {
        Self {
            region: region.to_owned(),
            zone: zone.to_owned(),
            incarnation,
            started_at: Duration::ZERO,
            peers: BTreeMap::new(),
            departed: BTreeMap::new(),
            zones: BTreeMap::new(),
            store_failing: false,
        }
    }

    /// Sets the start of the host. Admissions of other hosts before it are not counted.
    pub fn with_start(mut self, started_at: BootTime) -> Self {
        self.started_at = started_at;
        self
    }

    /// Adds or updates a registered host. The order of the store's changes decides which incarnation is
    /// the latest, as the wall clock that numbers incarnations may have been set back.
    pub fn register(&mut self, entry: HostEntry) {
        // A store restored from an older copy still has the entries of incarnations that have left.
        if self.departed.get(&entry.host) == Some(&entry.incarnation) {
            return;
        }
        let liveness_timeout = if entry.zone == self.zone {
            LIVENESS_TIMEOUT
        } else {
            REMOTE_LIVENESS_TIMEOUT
        };
        match self.peers.get_mut(&entry.host) {
            Some(peer) if peer.entry.incarnation == entry.incarnation => {
                peer.entry = entry;
                peer.unlisted = false;
            }
            _ => {
                let peer = FleetPeer::new(entry, liveness_timeout);
                self.peers.insert(peer.entry.host.clone(), peer);
            }
        }
    }

    /// Removes a host that has unregistered.
    pub fn unregister(&mut self, host: &str) {
        let Some(peer) = self.peers.remove(host) else {
            return;
        };
        self.departed
            .insert(peer.entry.host, peer.entry.incarnation);
    }

    /// Applies a complete list of the store: hosts for which `listed` is false are kept only as long as
    /// they are live. The store may have lost their entries, and a live host keeps its share of the rate
    /// limits.
    pub fn retain_listed(&mut self, now: BootTime, listed: impl Fn(&str) -> bool) {
        for (host, peer) in &mut self.peers {
            peer.unlisted = !listed(host);
        }
        self.expire(now);
    }

    /// Removes hosts that are neither listed nor live.
    pub fn expire(&mut self, now: BootTime) {
        self.peers
            .retain(|_, peer| !peer.unlisted || peer.is_live(now));
    }

    /// Applies a heartbeat of a host of the own region. Returns the admissions since its last heartbeat, none
    /// of another zone, whose digests report them; `None` for an unknown host or an outdated message.
    pub fn apply_heartbeat(
        &mut self,
        now: BootTime,
        heartbeat: PeerHeartbeat,
    ) -> Option<Admissions> {
        let peer = self.peers.get_mut(&heartbeat.host)?;
        if heartbeat.incarnation < peer.entry.incarnation {
            return None;
        }
        if let Some(last) = &peer.heartbeat {
            // Datagrams may be duplicated or reordered.
            let same_incarnation = last.incarnation == heartbeat.incarnation;
            if last.incarnation > heartbeat.incarnation
                || (same_incarnation && last.sent_us >= heartbeat.sent_us)
            {
                return None;
            }
            if !same_incarnation {
                peer.admitted_before.clear();
                peer.demands.clear();
            }
        }
        for usage in &heartbeat.usages {
            peer.demands
                .insert(usage.organisation.clone(), (now, usage.demand));
        }
        let mut admitted = Vec::new();
        let is_local = peer.entry.zone == self.zone;
        let gap = now.saturating_sub(peer.heartbeat_at.max(self.started_at));
        for usage in heartbeat.usages.iter().filter(|_| is_local) {
            admitted.push(count_admissions(&mut peer.admitted_before, usage, gap));
        }
        peer.last_seen_at = Some(now);
        peer.ready = heartbeat.ready;
        peer.leaving = heartbeat.leaving;
        peer.store_unreachable = heartbeat.copies.store_unreachable;
        peer.targets_unreachable = heartbeat.targets_unreachable;
        peer.heartbeat_at = now;
        peer.heartbeat = Some(heartbeat);
        Some(admitted)
    }

    /// Applies the digest of another availability zone. Returns the admissions since its last digest; `None` for an
    /// outdated message, or one of a second relay while digests of the first still arrive.
    pub fn apply_digest(&mut self, now: BootTime, digest: ZoneDigest) -> Option<Admissions> {
        if digest.zone == self.zone {
            return None;
        }
        self.apply_host_statuses(now, &digest.hosts);
        let last_view = self.zones.get(&digest.zone);
        let same_relay = last_view.is_some_and(|last_view| {
            last_view.digest.relay == digest.relay
                && last_view.digest.incarnation == digest.incarnation
        });
        let ignored = last_view.is_some_and(|last_view| {
            let expired = now.saturating_sub(last_view.received_at) >= RELAY_LIVENESS_TIMEOUT;
            (same_relay && last_view.digest.sent_us >= digest.sent_us) || (!same_relay && !expired)
        });
        if ignored {
            return None;
        }
        let previous = self.zones.remove(&digest.zone);
        let reported_at = previous.as_ref().map(|previous| previous.received_at);
        let gap = now.saturating_sub(reported_at.unwrap_or_default().max(self.started_at));
        // The previous relay reported part of what a new one counted before its first accepted digest.
        let previous = previous.filter(|_| same_relay);
        let mut view = ZoneView {
            admitted_before: BTreeMap::new(),
            demands: BTreeMap::new(),
            received_at: now,
            digest,
        };
        if let Some(previous) = previous {
            view.admitted_before = previous.admitted_before;
            view.demands = previous.demands;
        }
        let mut admitted = Vec::new();
        for usage in &view.digest.usages {
            view.demands
                .insert(usage.organisation.clone(), usage.demand);
            admitted.push(count_admissions(&mut view.admitted_before, usage, gap));
        }
        self.zones.insert(view.digest.zone.clone(), view);
        Some(admitted)
    }

    fn apply_host_statuses(&mut self, now: BootTime, statuses: &[HostStatus]) {
        for status in statuses {
            let Some(peer) = self.peers.get_mut(&status.host) else {
                continue;
            };
            if status.incarnation < peer.entry.incarnation {
                continue;
            }
            let last_seen_at = now.saturating_sub(Duration::from_millis(status.age_ms));
            if peer
                .last_seen_at
                .is_none_or(|earlier| earlier <= last_seen_at)
            {
                peer.last_seen_at = Some(last_seen_at);
                peer.ready = status.ready;
                peer.leaving = status.leaving;
                peer.store_unreachable = status.store_unreachable;
                peer.targets_unreachable = status.targets_unreachable;
            }
        }
    }

    /// Lists the state of the other live hosts of the own zone, for a digest.
    pub fn host_statuses(&self, now: BootTime) -> Vec<HostStatus> {
        let mut statuses = Vec::new();
        for peer in self.live_local_peers(now) {
            let age = now.saturating_sub(peer.last_seen_at.unwrap_or_default());
            statuses.push(HostStatus {
                host: peer.entry.host.clone(),
                incarnation: peer.entry.incarnation,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
                ready: peer.ready,
                leaving: peer.leaving,
                store_unreachable: peer.store_unreachable,
                targets_unreachable: peer.targets_unreachable,
            });
        }
        statuses
    }

    /// Lists all other hosts.
    pub fn peers(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers.values()
    }

    /// Lists the other hosts of the own zone.
    pub fn local_peers(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers().filter(|peer| peer.entry.zone == self.zone)
    }

    /// Lists the other hosts of the own region, those of the own zone included.
    pub fn region_peers(&self) -> impl Iterator<Item = &FleetPeer> {
        self.peers().filter(|peer| peer.entry.region == self.region)
    }

    /// Lists the other live hosts of the own region, those of the own zone included.
    pub fn live_region_peers(&self, now: BootTime) -> impl Iterator<Item = &FleetPeer> {
        self.region_peers().filter(move |peer| peer.is_live(now))
    }

    /// Lists the other live hosts of the own zone.
    pub fn live_local_peers(&self, now: BootTime) -> impl Iterator<Item = &FleetPeer> {
        self.local_peers().filter(move |peer| peer.is_live(now))
    }

    /// Gets the number of registered hosts, including this one.
    pub fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Gets the number of live hosts, including this one.
    pub fn live_count(&self, now: BootTime) -> usize {
        1 + self.peers().filter(|peer| peer.is_live(now)).count()
    }

    /// Gets the time at which the live host or zone that has been silent longest last reported its admissions.
    pub fn reported_at(&self, now: BootTime) -> BootTime {
        let mut oldest = now;
        for peer in self.peers().filter(|peer| peer.is_live(now)) {
            let zone = &peer.entry.zone;
            let reported_at = if *zone == self.zone {
                peer.heartbeat_at
            } else {
                self.zones
                    .get(zone)
                    .map_or(self.started_at, |view| view.received_at)
            };
            oldest = oldest.min(reported_at);
        }
        oldest
    }

    /// Lists the names of all hosts, including `own_host`, in order.
    pub fn host_names(&self, own_host: &str) -> Vec<HostId> {
        let mut names: Vec<_> = self.peers.keys().cloned().collect();
        names.push(own_host.to_owned());
        names.sort();
        names
    }

    fn live_views(&self, now: BootTime) -> impl Iterator<Item = &ZoneView> {
        self.zones.values().filter(move |view| view.is_live(now))
    }

    /// Gets the latest time, by this host's clock, at which another host of the region had confirmed that
    /// `version` was the latest policy in the store.
    pub fn confirmed_at(&self, now: BootTime, version: Version) -> Option<BootTime> {
        let mut latest = None;
        for peer in self.live_region_peers(now) {
            let Some(heartbeat) = &peer.heartbeat else {
                continue;
            };
            let (Some(echo), Some(age)) = (heartbeat.echo, heartbeat.copies.policy_age_us) else {
                continue;
            };
            if heartbeat.copies.policy != version || echo.incarnation != self.incarnation {
                continue;
            }
            // The peer received the echoed heartbeat no earlier than this host sent it, so by this clock
            // it replied no earlier than `sent`. Its confirmation was `age` old then.
            let sent = Duration::from_micros(echo.sent_us) + Duration::from_micros(echo.held_us);
            let confirmed = sent.checked_sub(Duration::from_micros(age));
            latest = latest.max(confirmed.filter(|confirmed| *confirmed <= now));
        }
        latest
    }

    /// Gets the latest version of a kind that other hosts report; `version_of` selects the kind.
    pub fn latest_version(
        &self,
        now: BootTime,
        version_of: impl Fn(&CopyStatus) -> Version,
    ) -> Version {
        self.copies(now).map(version_of).max().unwrap_or_default()
    }

    /// Summarises what the hosts of each availability zone have in force; `own` is what this host has.
    pub fn versions(&self, now: BootTime, own: CopyStatus) -> FleetVersions {
        let mut versions = FleetVersions::new();
        for view in self.live_views(now) {
            versions.insert(view.digest.zone.clone(), view.digest.versions.clone());
        }
        let local = self.live_local_peers(now);
        let local = local.filter_map(|peer| Some(peer.heartbeat.as_ref()?.copies));
        let hosts: Vec<_> = local.chain([own]).collect();
        let remote = versions.values().map(|zone| zone.policy);
        let highest = remote
            .chain(hosts.iter().map(|copies| copies.policy_number))
            .max();
        let own_zone = rollout::summarise(&hosts, highest.unwrap_or(0));
        versions.insert(self.zone.clone(), own_zone);
        versions
    }

    /// Lists the versions of the store's objects that other hosts report.
    pub fn copies(&self, now: BootTime) -> impl Iterator<Item = &CopyStatus> {
        let peers = self.live_region_peers(now);
        let peers = peers.filter_map(|peer| Some(&peer.heartbeat.as_ref()?.copies));
        let zones = self.live_views(now).map(|view| &view.digest.copies);
        peers.chain(zones)
    }

    /// Lists the addresses for messages of all other hosts.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers().map(|peer| peer.entry.peers).collect()
    }

    /// Lists the addresses for messages of the other hosts of the own zone.
    pub fn local_addresses(&self) -> Vec<SocketAddr> {
        self.local_peers().map(|peer| peer.entry.peers).collect()
    }
}

// Gets the admissions since the sender's last message, `gap` ago.
fn count_admissions(
    admitted_before: &mut BTreeMap<OrgId, u64>,
    usage: &OrgUsage,
    gap: Duration,
) -> (OrgId, u64) {
    let previous = admitted_before.insert(usage.organisation.clone(), usage.admitted);
    let admitted = new_admissions(previous, usage, gap);
    (usage.organisation.clone(), admitted)
}
