//! Look-up: which entry hosts a caller should use, in order of preference.

use fighall_core::{
    ids::{HostId, RegionId},
    message, rendezvous, value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `HostView` is the state of an entry host as known to the host that answers look-ups.
    pub struct HostView {
        /// Name of the host.
        pub host: HostId,
        /// Region of the host.
        pub region: RegionId,
        /// Address for callers.
        pub address: String,
        /// Whether the host takes new callers: it is running and not drained.
        pub accepts_callers: bool,
        /// Whether the host has less capacity than its load needs.
        pub overloaded: bool,
        /// Round-trip time from the answering host.
        pub round_trip: Duration,
    }
}

message! {
    /// `LookupHost` is one entry host in a look-up answer.
    #[derive(Eq)]
    pub struct LookupHost {
        /// Name of the host.
        pub host: HostId,
        /// Address for callers.
        pub address: String,
        /// Region of the host.
        pub region: RegionId,
    }
}

message! {
    /// `LookupAnswer` is the ordered list of entry hosts for a caller, with its time to live.
    pub struct LookupAnswer {
        /// Service that was asked for.
        pub service: String,
        /// Region nearest to the caller.
        pub region: RegionId,
        /// Time to live of the answer, in milliseconds.
        pub ttl_ms: u64,
        /// Entry hosts, the preferred one first.
        pub hosts: Vec<LookupHost>,
    }
}

/// Largest number of hosts of the caller's region in an answer.
const MAX_NEAR_HOSTS: usize = 8;
/// Largest number of hosts of each other region in an answer.
const MAX_FAR_HOSTS: usize = 3;
/// Largest number of hosts in an answer.
const MAX_ANSWER_HOSTS: usize = 16;

#[derive(Debug)]
struct RegionHosts {
    region: RegionId,
    round_trip: Duration,
    hosts: Vec<LookupHost>,
}

/// `HostDirectory` holds the entry hosts that take new callers, grouped by region for look-ups.
#[derive(Debug, Default)]
pub struct HostDirectory {
    // Sorted by round-trip time, the nearest region first.
    regions: Vec<RegionHosts>,
}

impl HostDirectory {
    /// Creates a directory of the hosts that take new callers. Overloaded hosts are left out unless
    /// all of them are overloaded.
    pub fn new(views: &[HostView]) -> Self {
        let accepting = || views.iter().filter(|view| view.accepts_callers);
        let all_overloaded = accepting().all(|view| view.overloaded);
        let mut regions: BTreeMap<&RegionId, RegionHosts> = BTreeMap::new();
        for view in accepting().filter(|view| all_overloaded || !view.overloaded) {
            let group = regions.entry(&view.region).or_insert_with(|| RegionHosts {
                region: view.region.clone(),
                round_trip: Duration::MAX,
                hosts: Vec::new(),
            });
            group.round_trip = group.round_trip.min(view.round_trip);
            group.hosts.push(LookupHost {
                host: view.host.clone(),
                address: view.address.clone(),
                region: view.region.clone(),
            });
        }
        let mut regions: Vec<_> = regions.into_values().collect();
        regions.sort_by_key(|group| group.round_trip);
        Self { regions }
    }

    /// Orders the entry hosts for a caller near `region`: hosts of that region, then some of each
    /// other region, the nearest first. Rendezvous hashing by service and organisation sends the
    /// callers of an organisation to few hosts, so that its quota is not split into small shares.
    pub fn answer(&self, region: &str, service: &str, organisation: &str) -> Vec<LookupHost> {
        let key = format!("{service}/{organisation}");
        let mut hosts = Vec::new();
        let near = self.regions.iter().filter(|group| group.region == region);
        let far = self.regions.iter().filter(|group| group.region != region);
        for group in near.chain(far) {
            let limit = if group.region == region {
                MAX_NEAR_HOSTS
            } else {
                MAX_FAR_HOSTS
            };
            let limit = limit.min(MAX_ANSWER_HOSTS - hosts.len());
            if limit == 0 {
                break;
            }
            let selected = rendezvous::top(&key, &group.hosts, limit, |host| host.host.as_str());
            hosts.extend(selected.into_iter().cloned());
        }
        hosts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn views(count: u64, per_region: u64) -> Vec<HostView> {
        let mut views = Vec::new();
        for index in 0..count {
            views.push(HostView {
                host: format!("h{index}"),
                region: format!("r{}", index / per_region),
                address: format!("127.0.0.1:{index}"),
                accepts_callers: true,
                overloaded: false,
                round_trip: Duration::from_millis(index / per_region * 20),
            });
        }
        views
    }

    #[test]
    fn the_callers_region_comes_first_and_a_lost_host_keeps_the_order() {
        let mut views = views(9, 3);
        let answer = HostDirectory::new(&views).answer("r1", "s", "acme");
        assert_eq!(answer.len(), 9);
        let regions: Vec<_> = answer.iter().map(|host| host.region.as_str()).collect();
        assert_eq!(
            regions,
            ["r1", "r1", "r1", "r0", "r0", "r0", "r2", "r2", "r2"]
        );
        let first = answer[0].host.clone();
        for view in &mut views {
            view.accepts_callers = view.host != first;
        }
        let next = HostDirectory::new(&views).answer("r1", "s", "acme");
        assert_eq!(next[0].host, answer[1].host);
        assert_eq!(next.len(), 8);
    }

    #[test]
    fn overloaded_hosts_are_listed_only_if_all_are_overloaded() {
        let mut views = views(9, 3);
        for view in &mut views {
            view.overloaded = true;
        }
        let answer = HostDirectory::new(&views).answer("r0", "s", "");
        assert_eq!(answer.len(), 9);
        views[4].overloaded = false;
        let answer = HostDirectory::new(&views).answer("r0", "s", "");
        assert_eq!(answer.len(), 1);
    }

    #[test]
    fn an_answer_stays_short_in_a_large_fleet() {
        let directory = HostDirectory::new(&views(600, 25));
        let answer = directory.answer("r7", "s", "acme");
        assert_eq!(answer.len(), MAX_ANSWER_HOSTS);
        assert!(
            answer[..MAX_NEAR_HOSTS]
                .iter()
                .all(|host| host.region == "r7")
        );
        assert!(
            answer[MAX_NEAR_HOSTS..]
                .iter()
                .all(|host| host.region != "r7")
        );
        let other = directory.answer("r7", "s", "brisa");
        assert_ne!(answer[0], other[0]);
    }
}
