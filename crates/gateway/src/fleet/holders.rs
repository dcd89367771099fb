//! Holders of the rate limits that targets name, and what they claim.

use super::{FleetTable, peer::FleetPeer};
use crate::{
    message::LimitClaim,
    target_share::{HolderClaims, equal_fraction, max_holders},
};
use fighall_core::{
    ids::{BootTime, HostId, RegionId, TargetId},
    rendezvous, value,
};
use std::collections::{BTreeMap, BTreeSet};

value! {
    /// `LimitedTarget` identifies the target of a limit.
    pub struct LimitedTarget {
        /// Name of the target.
        pub target: TargetId,
        /// Start time of its process.
        pub started_ms: Option<u64>,
        /// Region that it runs in.
        pub region: RegionId,
        /// Requests per second that it accepts from all hosts together.
        pub rate: f64,
    }
}

impl LimitedTarget {
    fn find<'c>(&self, claims: &'c [LimitClaim]) -> Option<&'c LimitClaim> {
        let mut claims = claims.iter();
        claims.find(|claim| claim.target == self.target && claim.started_ms == self.started_ms)
    }
}

impl FleetTable {
    /// Lists the hosts that hold a target's limit, out of all registered ones, `own_host` included. Hosts of
    /// the target's region come first, since most of its requests pass through them.
    pub fn limit_holders(&self, own_host: &str, limited: &LimitedTarget) -> BTreeSet<HostId> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        let own = std::iter::once((own_host, &self.region));
        let peers = self.peers();
        let peers = peers.map(|peer| (peer.entry.host.as_str(), &peer.entry.region));
        for (host, region) in own.chain(peers) {
            if *region == limited.region {
                near.push(host);
            } else {
                far.push(host);
            }
        }
        let count = max_holders(limited.rate);
        let mut holders = rendezvous::top(&limited.target, &near, count, |host| host);
        let missing = count - holders.len();
        holders.extend(rendezvous::top(&limited.target, &far, missing, |host| host));
        holders.into_iter().map(|host| (*host).to_owned()).collect()
    }

    /// Tells whether any other of `hosts` is live.
    pub fn is_any_live(&self, now: BootTime, hosts: &BTreeSet<HostId>) -> bool {
        self.peers()
            .any(|peer| hosts.contains(&peer.entry.host) && peer.is_live(now))
    }

    /// Sums the claims of the other holders of the own zone.
    pub fn local_limit_claims(
        &self,
        now: BootTime,
        holders: &BTreeSet<HostId>,
        limited: &LimitedTarget,
    ) -> HolderClaims {
        let mut sum = HolderClaims::default();
        for peer in self.local_peers() {
            if holders.contains(&peer.entry.host) {
                sum.add(&peer_claims(now, peer, holders.len(), limited));
            }
        }
        sum
    }

    /// Sums the claims of the holders of all other zones.
    pub fn remote_limit_claims(
        &self,
        now: BootTime,
        holders: &BTreeSet<HostId>,
        limited: &LimitedTarget,
    ) -> HolderClaims {
        let mut holder_counts: BTreeMap<&str, u32> = BTreeMap::new();
        for peer in self.peers() {
            if peer.entry.zone != self.zone && holders.contains(&peer.entry.host) {
                *holder_counts.entry(&peer.entry.zone).or_default() += 1;
            }
        }
        let mut sum = HolderClaims::default();
        for (zone, holder_count) in holder_counts {
            let view = self.zones.get(zone);
            let claim = view.and_then(|view| limited.find(&view.digest.limits));
            sum.add(&match claim {
                Some(claim) if view.is_some_and(|view| view.is_live(now)) => from_claim(claim),
                Some(claim) => HolderClaims::with_reserved(from_claim(claim).fraction),
                None => {
                    let equal = equal_fraction(holders.len());
                    HolderClaims::with_reserved(f64::from(holder_count) * equal)
                }
            });
        }
        sum
    }
}

fn peer_claims(
    now: BootTime,
    peer: &FleetPeer,
    holder_count: usize,
    limited: &LimitedTarget,
) -> HolderClaims {
    let heartbeat = peer.heartbeat.as_ref();
    match heartbeat.and_then(|heartbeat| limited.find(&heartbeat.limits)) {
        Some(claim) if peer.is_live(now) => from_claim(claim),
        Some(claim) => HolderClaims::with_reserved(from_claim(claim).fraction),
        None => HolderClaims::with_reserved(equal_fraction(holder_count)),
    }
}

fn from_claim(claim: &LimitClaim) -> HolderClaims {
    HolderClaims {
        live_holders: claim.live_holders,
        demand: within(claim.demand, f32::MAX),
        fraction: within(claim.fraction, 1.0),
        reserved: within(claim.reserved, 1.0),
    }
}

// Bounds a value of another host, which may be anything.
fn within(value: f32, max: f32) -> f64 {
    if value.is_nan() {
        return 0.0;
    }
    f64::from(value.clamp(0.0, max))
}
