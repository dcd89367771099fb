//! Adaptive idle limit of pooled connections. A target may drop an idle connection without notice, and
//! it is then unknown whether a request sent on it has run. No I/O; the current time is an argument.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// Idle limit of connections while none was found dead.
pub const DEFAULT_IDLE_LIMIT: Duration = Duration::from_millis(4_000);
/// Idle time below which a broken connection points to a failing target rather than to a dropped idle
/// connection.
const MIN_DEAD_IDLE_TIME: Duration = Duration::from_millis(100);
/// Time from the last dead connection until the default limit applies again: a few times as long as
/// connections stay idle.
const LOWERED_TIME: Duration = Duration::from_secs(10);

/// `IdleLimit` is the longest idle time of a connection that may be reused.
#[derive(Debug, Clone)]
pub struct IdleLimit {
    limit: Duration,
    lowered_until: BootTime,
}

impl Default for IdleLimit {
    fn default() -> Self {
        Self {
            limit: DEFAULT_IDLE_LIMIT,
            lowered_until: Duration::ZERO,
        }
    }
}

impl IdleLimit {
    /// Gets the longest idle time of a connection that may be reused at `now`.
    pub fn current(&self, now: BootTime) -> Duration {
        if now < self.lowered_until {
            self.limit
        } else {
            DEFAULT_IDLE_LIMIT
        }
    }

    /// Records a connection that was found dead after `idle_for`: for a while the limit is at most half
    /// that time. Returns whether the limit has changed.
    pub fn record_dead(&mut self, now: BootTime, idle_for: Duration) -> bool {
        if idle_for < MIN_DEAD_IDLE_TIME {
            return false;
        }
        let previous = self.current(now);
        self.limit = previous.min(idle_for / 2);
        self.lowered_until = now + LOWERED_TIME;
        self.limit != previous
    }
}
