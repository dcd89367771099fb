//! Passive health checks: the health of a target, from the outcomes of requests sent to it.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// Duration of a target's first ejection.
const FIRST_EJECTION: Duration = Duration::from_millis(400);
/// Longest ejection of a target that keeps failing.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Consecutive requests without any response after which a target is ejected.
const TIMEOUT_LIMIT: u32 = 2;
/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.08;
/// Time after the end of an ejection within which a further one lasts twice as long.
const RELAPSE_WINDOW: Duration = Duration::from_secs(8);

/// `TargetHealth` is the ejection state and the failure rate of one target.
#[derive(Debug, Default, Clone)]
pub struct TargetHealth {
    ejected_until: BootTime,
    ejection_time: Duration,
    consecutive_timeouts: u32,
    failure_rate: f64,
}

impl TargetHealth {
    /// Tells whether the target is ejected, that is, gets no requests.
    pub fn is_ejected(&self, now: BootTime) -> bool {
        now < self.ejected_until
    }

    /// Gets the moving average of the failure rate, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.consecutive_timeouts = 0;
        self.record_outcome(0.0);
    }

    /// Records a request that failed although the target is reachable; it never ejects the target.
    pub fn record_failure(&mut self) {
        self.consecutive_timeouts = 0;
        self.record_outcome(1.0);
    }

    /// Records that no connection could be made. Returns whether the target is ejected by it, which is
    /// not the case if it already is.
    pub fn record_unreachable(&mut self, now: BootTime) -> bool {
        self.record_outcome(1.0);
        self.eject(now)
    }

    /// Records a request that got no response in time. Returns whether the target is ejected by it.
    pub fn record_timeout(&mut self, now: BootTime) -> bool {
        self.record_outcome(1.0);
        self.consecutive_timeouts += 1;
        self.consecutive_timeouts >= TIMEOUT_LIMIT && self.eject(now)
    }

    fn eject(&mut self, now: BootTime) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        // Exponential backoff for a target that flaps.
        let relapsed =
            self.ejection_time > Duration::ZERO && now < self.ejected_until + RELAPSE_WINDOW;
        self.ejection_time = if relapsed {
            (self.ejection_time * 2).min(MAX_EJECTION)
        } else {
            FIRST_EJECTION
        };
        self.ejected_until = now + self.ejection_time;
        true
    }

    fn record_outcome(&mut self, failure: f64) {
        self.failure_rate += (failure - self.failure_rate) * OUTCOME_WEIGHT;
    }
}
