//! Load shedding: when a request is refused instead of sent, and when its caller may retry.
//!
//! Under overload there are more requests than targets have slots. A long queue serves no more requests
//! than a short one, but all of them late, and a fleet that serves late requests at targets with cold
//! caches does not recover when the load is gone. Therefore no request waits past its latency objective,
//! and lower priorities accept less waiting: the least urgent requests are refused first and at once.
//! A request that misses the cache occupies a slot several times as long as one that hits it, and may
//! wait less.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Factor on the maximum wait for each step of lower priority.
const PRIORITY_FACTOR: f64 = 0.85;
/// Time from the deadline of a request to the end of the host's process, within which its response reaches the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Bounds of `Retry-After` for a refused caller: an earlier retry would meet the same queue, and a
/// later one would exceed most callers' deadlines.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

value! {
    /// `RequestPriority` is the priority of a request; 0 is the most urgent in both fields.
    #[derive(Copy, Default)]
    pub struct RequestPriority {
        /// Priority of its organisation.
        pub organisation: u32,
        /// Priority of its route.
        pub route: u32,
    }
}

impl RequestPriority {
    /// Gets the fraction of its slack, from 0 to 1, that the request may wait.
    pub fn wait_fraction(&self) -> f64 {
        let levels = self.organisation.saturating_add(self.route).min(8);
        PRIORITY_FACTOR.powi(i32::try_from(levels).unwrap_or(8))
    }
}

value! {
    /// `RequestLimits` are the times left for the response to a request.
    #[derive(Copy)]
    pub struct RequestLimits {
        /// Time until the latency objective is missed.
        pub objective: Duration,
        /// Time until the request times out.
        pub timeout: Duration,
    }
}

/// Decides whether a request is sent that is expected to wait `wait` for a slot and to get its response
/// after `expected`, including the wait. Its slack is what the work leaves of the latency objective.
///
/// # Errors
///
/// Returns the time after which the caller may retry.
pub fn admit(
    wait: Duration,
    expected: Duration,
    limits: &RequestLimits,
    priority: &RequestPriority,
) -> Result<(), Duration> {
    if wait.is_zero() {
        return Ok(());
    }
    let work = expected.saturating_sub(wait);
    let slack = limits.objective.min(limits.timeout).saturating_sub(work);
    let max_wait = slack.mul_f64(priority.wait_fraction());
    if wait <= max_wait {
        return Ok(());
    }
    Err(clamp_retry_after(wait.saturating_sub(max_wait)))
}

/// Tells whether a request that times out after `timeout` has a response before the host's process ends at
/// `ends_at`, if the host is stopping. An expected latency is no bound: a target may slow down.
pub fn finishes_in_time(now: BootTime, ends_at: Option<BootTime>, timeout: Duration) -> bool {
    ends_at.is_none_or(|ends_at| now + timeout + RESPONSE_MARGIN <= ends_at)
}

/// Clamps the time after which a refused caller may retry.
pub fn clamp_retry_after(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_BOUNDS.0, RETRY_AFTER_BOUNDS.1)
}
