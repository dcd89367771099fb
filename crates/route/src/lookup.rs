//! Look-up: which entry hosts a caller should use, in order.

use fighall_core::{
    ids::{HostId, RegionId},
    message, rendezvous, value,
};
use std::time::Duration;

value! {
    /// `HostView` is an entry host as another one knows it.
    pub struct HostView {
        /// Name.
        pub host: HostId,
        /// Region.
        pub region: RegionId,
        /// Address for callers.
        pub address: String,
        /// Whether it takes new callers.
        pub open: bool,
        /// Whether it has less room than it needs.
        pub overloaded: bool,
        /// Round trip to its region from here.
        pub round_trip: Duration,
    }
}

message! {
    /// `LookupHost` is one entry host of a look-up answer.
    pub struct LookupHost {
        /// Name.
        pub host: HostId,
        /// Address for callers.
        pub address: String,
        /// Region.
        pub region: RegionId,
    }
}

message! {
    /// `LookupAnswer` is the ordered list of entry hosts, with its lifetime.
    pub struct LookupAnswer {
        /// Service asked for.
        pub service: String,
        /// Region that is near to the caller.
        pub region: RegionId,
        /// Time for which the answer may be used, in milliseconds.
        pub ttl_ms: u64,
        /// Entry hosts, the best first.
        pub hosts: Vec<LookupHost>,
    }
}

/// Orders entry hosts for a caller near to `region`. Hosts that leave are left out, and
/// overloaded ones unless all are. Rendezvous hashing by service and organisation keeps an
/// organisation's callers on few hosts, so that its quota is not spread thin.
pub fn order(
    views: &[HostView],
    region: &RegionId,
    service: &str,
    organisation: &str,
) -> Vec<LookupHost> {
    let mut open: Vec<_> = views.iter().filter(|view| view.open).collect();
    let relaxed = open.iter().all(|view| view.overloaded);
    open.retain(|view| relaxed || !view.overloaded);
    let key = format!("{service}/{organisation}");
    rendezvous::rank(&key, &mut open, |view| view.host.clone());
    // The sort is stable: hosts of one region keep the order of their ranks.
    open.sort_by_key(|view| (view.region != *region, view.round_trip, view.region.clone()));
    let mut hosts = Vec::new();
    for view in open {
        hosts.push(LookupHost {
            host: view.host.clone(),
            address: view.address.clone(),
            region: view.region.clone(),
        });
    }
    hosts
}

#[cfg(test)]
mod tests {
    use super::*;

    fn views() -> Vec<HostView> {
        let mut views = Vec::new();
        for index in 0..9_u64 {
            views.push(HostView {
                host: format!("h{index}"),
                region: format!("r{}", index / 3),
                address: format!("127.0.0.1:{index}"),
                open: true,
                overloaded: false,
                round_trip: Duration::from_millis(index / 3 * 20),
            });
        }
        views
    }

    #[test]
    fn the_callers_region_comes_first_and_organisations_stay_together() {
        let mut views = views();
        let region = "r1".to_owned();
        let answer = order(&views, &region, "s", "acme");
        assert_eq!(answer.len(), 9);
        assert!(answer[..3].iter().all(|host| host.region == "r1"));
        assert_eq!(answer, order(&views, &region, "s", "acme"));
        let first = answer[0].host.clone();
        for view in &mut views {
            view.open = view.host != first;
        }
        let next = order(&views, &region, "s", "acme");
        assert_eq!(next[0].host, answer[1].host);
        assert_eq!(next.len(), 8);
    }

    #[test]
    fn overloaded_hosts_serve_when_all_are() {
        let mut views = views();
        for view in &mut views {
            view.overloaded = true;
        }
        assert_eq!(order(&views, &"r0".to_owned(), "s", "").len(), 9);
    }
}
