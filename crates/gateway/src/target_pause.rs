//! Pauses that targets request: a target that rejects a request may state for how long it accepts no further
//! ones from this host.

use fighall_core::ids::BootTime;
use http::{HeaderMap, header::RETRY_AFTER};
use std::time::Duration;

/// Longest pause that is respected, so that a mistaken value does not exclude a target permanently.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Reads `Retry-After` as seconds, with or without a fraction. Other values, such as dates, are ignored.
pub fn read_pause(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// `TargetPause` is the time until which one target accepts no requests of this host.
#[derive(Debug, Default, Clone, Copy)]
pub struct TargetPause {
    ends_at: BootTime,
}

impl TargetPause {
    /// Extends the pause to `duration` from `now`; an earlier end does not shorten it. Returns whether it
    /// begins with this call.
    pub fn extend(&mut self, now: BootTime, duration: Duration) -> bool {
        let begins = !self.is_active(now);
        let ends_at = now.saturating_add(duration.min(MAX_PAUSE));
        self.ends_at = ends_at.max(self.ends_at);
        begins && self.is_active(now)
    }

    /// Tells whether the target accepts no requests at `now`.
    pub fn is_active(&self, now: BootTime) -> bool {
        now < self.ends_at
    }

    /// Gets the time until the end of the pause; zero without one.
    pub fn time_left(&self, now: BootTime) -> Duration {
        self.ends_at.saturating_sub(now)
    }
}
