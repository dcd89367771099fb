//! Decides when a host whose copy is behind its peers' queries the store directly.

use fighall_gateway::behind::LagTracker;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Returns the times at which the store is queried within 3 s, checking every 200 ms.
fn queried_at(last_call_failed: bool) -> Vec<Duration> {
    let mut tracker = LagTracker::default();
    let checks = (0..15).map(|step| ms(10_000 + step * 200));
    checks
        .filter(|now| tracker.update(*now, 4, 5, last_call_failed))
        .collect()
}

// Regression: a host that had been disconnected queried the store only after 2 s, and sent a request to
// a target 3.5 s after that target had started to drain.
#[test]
fn a_host_that_was_cut_off_asks_soon_and_not_at_every_look() {
    let queried_at = queried_at(true);
    assert!(queried_at[0] <= ms(10_500), "{queried_at:?}");
    assert!(queried_at.len() <= 6, "{queried_at:?}");
}

#[test]
fn a_host_waits_for_its_store_watchers() {
    assert!(queried_at(false)[0] >= ms(10_700));
    let mut tracker = LagTracker::default();
    assert!(!tracker.update(ms(10_000), 4, 5, false));
    assert!(
        !tracker.update(ms(10_600), 5, 5, false),
        "the missing change arrived"
    );
    assert!(!tracker.update(ms(10_800), 5, 6, false));
}

// Regression: while targets were added one after the other, some change was always missing, and every host
// queried the store although store watchers forwarded the changes.
#[test]
fn a_host_with_late_but_steady_changes_does_not_query_the_store() {
    let mut tracker = LagTracker::default();
    for step in 0..100 {
        let peer_version = 10 + step;
        let own_version = peer_version - 3;
        assert!(
            !tracker.update(ms(10_000 + step * 200), own_version, peer_version, false),
            "{step}"
        );
    }
    // The next change does not arrive.
    let checks = (0..10).map(|step| ms(30_000 + step * 200));
    let queried_at: Vec<_> = checks
        .filter(|now| tracker.update(*now, 106, 110, false))
        .collect();
    assert!(queried_at[0] <= ms(30_900), "{queried_at:?}");
}
