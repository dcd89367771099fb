//! Whether this host reaches targets, and which ones it probes to find out.

use super::RequestRouter;
use fighall_core::{
    ids::{BootTime, HostId, RegionId, ServiceId, ZoneId},
    rendezvous, value,
};
use std::{collections::BTreeMap, net::SocketAddr};

/// Largest number of targets in a round of probes.
const PROBED_TARGETS: usize = 6;

value! {
    /// `ProbedTarget` is a target to which a connection is opened.
    pub struct ProbedTarget {
        /// Its service.
        pub service: ServiceId,
        /// Its address.
        pub address: SocketAddr,
    }
}

impl RequestRouter {
    /// Tells whether this host is cut off from targets that other hosts reach, so that callers are better served
    /// there.
    pub fn is_cut_off(&self, now: BootTime) -> bool {
        let mut peers = self.fleet.peers();
        self.reach.is_unreachable()
            && peers.any(|peer| peer.accepts_callers(now) && !peer.targets_unreachable)
    }

    /// Lists the hosts that may serve requests for this one, with their addresses for callers: those that reach targets and
    /// are in `allowed_regions`, if that is given. Hosts of the own region come first; `key` spreads requests.
    pub fn serving_hosts(
        &self,
        now: BootTime,
        allowed_regions: Option<&[RegionId]>,
        key: &str,
    ) -> Vec<(HostId, SocketAddr)> {
        let mut local = Vec::new();
        let mut remote = Vec::new();
        for peer in self.fleet.peers() {
            let entry = &peer.entry;
            let is_allowed = allowed_regions
                .is_none_or(|allowed_regions| allowed_regions.contains(&entry.region));
            if !is_allowed || peer.targets_unreachable || !peer.accepts_callers(now) {
                continue;
            }
            let host = (entry.host.clone(), entry.callers);
            if entry.region == self.own_host.region {
                local.push(host);
            } else {
                remote.push(host);
            }
        }
        for hosts in [&mut local, &mut remote] {
            rendezvous::rank(key, hosts, |(host, _)| host.clone());
        }
        local.extend(remote);
        local
    }

    /// Picks the targets of a round of probes: of all availability zones in turn, other ones in each round, and those
    /// to which connections failed only if there are no others.
    pub fn probed_targets(&self, now: BootTime, round: usize) -> Vec<ProbedTarget> {
        let mut zones: BTreeMap<(bool, &ZoneId), Vec<ProbedTarget>> = BTreeMap::new();
        for record in self.roster.records() {
            if !self.roster.accepts_requests(now, record) {
                continue;
            }
            let has_failed = self.reach.has_failed(&record.entry.name);
            let targets = zones.entry((has_failed, &record.entry.zone)).or_default();
            targets.push(ProbedTarget {
                service: record.entry.service.clone(),
                address: record.entry.address,
            });
        }
        let mut picked = Vec::new();
        for has_failed in [false, true] {
            let candidates: Vec<_> = zones
                .iter()
                .filter(|((failed, _), _)| *failed == has_failed)
                .map(|(_, targets)| targets)
                .collect();
            let longest = candidates.iter().map(|targets| targets.len()).max();
            for position in 0..longest.unwrap_or(0) {
                for targets in &candidates {
                    if position < targets.len() {
                        picked.push(targets[(position + round) % targets.len()].clone());
                    }
                }
            }
        }
        picked.truncate(PROBED_TARGETS);
        picked
    }
}
