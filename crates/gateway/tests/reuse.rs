//! Adaptive idle limit of pooled connections.

use fighall_gateway::reuse::{REUSE_LIMIT, ReuseBound};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_connection_found_dead_makes_older_ones_suspect_for_a_while() {
    let mut bound = ReuseBound::default();
    assert_eq!(bound.within(ms(5_000)), REUSE_LIMIT);
    assert!(bound.note_dead(ms(5_000), ms(800)));
    assert_eq!(bound.within(ms(5_001)), ms(400));
    assert!(
        !bound.note_dead(ms(6_000), ms(3_000)),
        "a longer idle time does not raise the limit"
    );
    assert_eq!(bound.within(ms(15_999)), ms(400));
    assert_eq!(bound.within(ms(16_000)), REUSE_LIMIT);
}

#[test]
fn a_connection_that_breaks_in_full_use_tells_nothing_of_idle_ones() {
    let mut bound = ReuseBound::default();
    assert!(!bound.note_dead(ms(5_000), ms(20)));
    assert_eq!(bound.within(ms(5_001)), REUSE_LIMIT);
}
