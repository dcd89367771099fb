//! Adaptive idle limit of pooled connections.

use fighall_gateway::reuse::{DEFAULT_IDLE_LIMIT, IdleLimit};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn dead_connection_lowers_the_idle_limit_for_a_while() {
    let mut limit = IdleLimit::default();
    assert_eq!(limit.current(ms(5_000)), DEFAULT_IDLE_LIMIT);
    assert!(limit.record_dead(ms(5_000), ms(800)));
    assert_eq!(limit.current(ms(5_001)), ms(400));
    assert!(
        !limit.record_dead(ms(6_000), ms(3_000)),
        "a longer idle time does not raise the limit"
    );
    assert_eq!(limit.current(ms(15_999)), ms(400));
    assert_eq!(limit.current(ms(16_000)), DEFAULT_IDLE_LIMIT);
}

#[test]
fn broken_busy_connection_does_not_lower_the_idle_limit() {
    let mut limit = IdleLimit::default();
    assert!(!limit.record_dead(ms(5_000), ms(20)));
    assert_eq!(limit.current(ms(5_001)), DEFAULT_IDLE_LIMIT);
}
