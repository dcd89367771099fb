//! Whether this host reaches targets, and which ones it probes to find out.

use super::RequestRouter;
use fighall_core::{
    ids::{BootTime, ServiceId, ZoneId},
    value,
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
