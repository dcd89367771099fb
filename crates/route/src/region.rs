//! Choice of the region that serves a request when this host's region has no free slots or an
//! operator moves traffic away.

use fighall_config::commands::OperatorCommand;
use fighall_core::{ids::RegionId, rendezvous, value};
use std::time::Duration;

value! {
    /// `RegionView` is what this host knows about another region's capacity for a service.
    pub struct RegionView {
        /// Name of the region.
        pub region: RegionId,
        /// Targets of the service in the region that take new requests.
        pub targets: usize,
        /// Free slots in the region by the latest reports of its hosts.
        pub free_slots: u32,
        /// Age of the newest report; none without any report.
        pub report_age: Option<Duration>,
        /// Round-trip time to the region's nearest entry host.
        pub round_trip: Duration,
        /// Whether an entry host of the region is reachable.
        pub reachable: bool,
        /// Whether this host's share of the link to the region has capacity now.
        pub link_has_capacity: bool,
    }
}

/// Age beyond which a report of free slots is no longer relied on.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Orders the regions in which a request may be tried: first those that report free slots, the
/// nearest first. Regions with outdated reports come after them: their capacity is unknown, but
/// they accept a request only if they hold a free slot for it. Regions that are full or unreachable
/// are left out.
pub fn order_regions(views: &[RegionView]) -> Vec<RegionId> {
    let mut usable: Vec<_> = views
        .iter()
        .filter(|view| view.targets > 0 && view.reachable && view.link_has_capacity)
        .filter(|view| view.free_slots > 0 || !is_fresh(view))
        .collect();
    usable.sort_by_key(|view| (!is_fresh(view), view.round_trip, view.region.clone()));
    usable.into_iter().map(|view| view.region.clone()).collect()
}

fn is_fresh(view: &RegionView) -> bool {
    view.report_age.is_some_and(|age| age <= MAX_REPORT_AGE)
}

/// Gets the region to which a traffic move in force sends a request. The percentage of moved
/// requests grows over the move's ramp. A request is selected by the hash of its id, so that all
/// hosts decide alike. `wall_millis` is the wall-clock time, as in the command's `since`.
pub fn move_destination(
    commands: &[OperatorCommand],
    service: &str,
    region: &str,
    request: &str,
    wall_millis: u64,
) -> Option<RegionId> {
    for command in commands {
        let OperatorCommand::Move {
            service: moved_service,
            from,
            to,
            percent,
            ramp_ms,
            since,
        } = command
        else {
            continue;
        };
        if moved_service != service || from != region {
            continue;
        }
        let elapsed = wall_millis.saturating_sub(*since);
        let ramp = (*ramp_ms).max(1);
        let threshold = u64::from(*percent) * elapsed.min(ramp) * 100 / ramp;
        if rendezvous::weight(request, "move") % 10_000 < threshold {
            return Some(to.clone());
        }
    }
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(region: &str, free_slots: u32, age_s: Option<u64>, round_trip_ms: u64) -> RegionView {
        RegionView {
            region: region.to_owned(),
            targets: 4,
            free_slots,
            report_age: age_s.map(Duration::from_secs),
            round_trip: Duration::from_millis(round_trip_ms),
            reachable: true,
            link_has_capacity: true,
        }
    }

    #[test]
    fn free_slots_come_before_distance_and_outdated_reports_come_last() {
        let mut far = view("far", 5, Some(0), 70);
        let views = [
            view("full", 0, Some(0), 10),
            view("old", 0, Some(60), 5),
            far.clone(),
            view("near", 2, Some(1), 20),
        ];
        assert_eq!(order_regions(&views), ["near", "far", "old"]);
        far.link_has_capacity = false;
        assert!(order_regions(&[far]).is_empty());
    }

    #[test]
    fn a_move_follows_its_ramp() {
        let commands = [OperatorCommand::Move {
            service: "s".to_owned(),
            from: "a".to_owned(),
            to: "b".to_owned(),
            percent: 50,
            ramp_ms: 1_000,
            since: 0,
        }];
        let count = |at| {
            let requests = (0..10_000).map(|id| format!("r{id}"));
            requests
                .filter(|id| move_destination(&commands, "s", "a", id, at).is_some())
                .count()
        };
        assert_eq!(count(0), 0);
        assert!((2_200..2_800).contains(&count(500)), "{}", count(500));
        assert!((4_700..5_300).contains(&count(5_000)));
        assert_eq!(move_destination(&commands, "s", "b", "r1", 5_000), None);
    }
}
