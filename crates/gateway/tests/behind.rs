//! Decides when a host whose copy is behind its peers' queries the store directly.

use fighall_gateway::behind::BehindMark;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// Returns the times at which the store is queried within 3 s, checking every 200 ms.
fn asked(failed: bool) -> Vec<Duration> {
    let mut mark = BehindMark::default();
    let looks = (0..15).map(|step| ms(10_000 + step * 200));
    looks.filter(|now| mark.note(*now, 4, 5, failed)).collect()
}

// Regression: a host that had been disconnected queried the store only after 2 s, and sent a request to
// a target 3.5 s after that target had started to drain.
#[test]
fn a_host_that_was_cut_off_asks_soon_and_not_at_every_look() {
    let asked = asked(true);
    assert!(asked[0] <= ms(10_500), "{asked:?}");
    assert!(asked.len() <= 6, "{asked:?}");
}

#[test]
fn a_host_that_is_fed_waits_for_its_feeders() {
    assert!(asked(false)[0] >= ms(10_700));
    let mut mark = BehindMark::default();
    assert!(!mark.note(ms(10_000), 4, 5, false));
    assert!(
        !mark.note(ms(10_600), 5, 5, false),
        "the missing change arrived"
    );
    assert!(!mark.note(ms(10_800), 5, 6, false));
}

// Regression: while targets were added one after the other, some change was always missing, and every
// host queried the store although feeders delivered the changes.
#[test]
fn a_host_that_is_fed_late_but_steadily_asks_nothing() {
    let mut mark = BehindMark::default();
    for step in 0..100 {
        let told = 10 + step;
        let known = told - 3;
        assert!(
            !mark.note(ms(10_000 + step * 200), known, told, false),
            "{step}"
        );
    }
    // The next change does not arrive.
    let looks = (0..10).map(|step| ms(30_000 + step * 200));
    let asked: Vec<_> = looks
        .filter(|now| mark.note(*now, 106, 110, false))
        .collect();
    assert!(asked[0] <= ms(30_900), "{asked:?}");
}
