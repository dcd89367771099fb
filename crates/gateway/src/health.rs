//! Passive health checks: the health of a target, from the outcomes of requests sent to it.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// Duration of a target's first ejection.
const FIRST_REST: Duration = Duration::from_millis(400);
/// Longest ejection of a target that keeps failing.
const LONGEST_REST: Duration = Duration::from_secs(4);
/// Consecutive requests without any answer after which a target is ejected.
const SILENT_LIMIT: u32 = 2;
/// Weight of a new outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.08;
/// Time after the end of an ejection within which a further one lasts twice as long.
const RELAPSE_TIME: Duration = Duration::from_secs(8);

/// `TargetHealth` is the ejection state and the failure rate of one target.
#[derive(Debug, Default, Clone)]
pub struct TargetHealth {
    resting_until: BootTime,
    rest: Duration,
    silent: u32,
    failures: f64,
}

impl TargetHealth {
    /// Tells whether the target is ejected, that is, gets no requests.
    pub fn is_resting(&self, now: BootTime) -> bool {
        now < self.resting_until
    }

    /// Gets the moving average of the failure rate, from 0 to 1.
    pub fn failure_part(&self) -> f64 {
        self.failures
    }

    /// Records a successful answer.
    pub fn note_success(&mut self) {
        self.silent = 0;
        self.note(0.0);
    }

    /// Records a request that failed although the target is reachable; it never ejects the target.
    pub fn note_failure(&mut self) {
        self.silent = 0;
        self.note(1.0);
    }

    /// Records that no connection could be made. Returns whether the target is ejected by it, which is
    /// not the case if it already is.
    pub fn note_unreachable(&mut self, now: BootTime) -> bool {
        self.note(1.0);
        self.eject(now)
    }

    /// Records a request that got no answer in time. Returns whether the target is ejected by it.
    pub fn note_silence(&mut self, now: BootTime) -> bool {
        self.note(1.0);
        self.silent += 1;
        self.silent >= SILENT_LIMIT && self.eject(now)
    }

    fn eject(&mut self, now: BootTime) -> bool {
        if self.is_resting(now) {
            return false;
        }
        // Exponential backoff for a target that flaps.
        let relapsed = self.rest > Duration::ZERO && now < self.resting_until + RELAPSE_TIME;
        self.rest = if relapsed {
            (self.rest * 2).min(LONGEST_REST)
        } else {
            FIRST_REST
        };
        self.resting_until = now + self.rest;
        true
    }

    fn note(&mut self, outcome: f64) {
        self.failures += (outcome - self.failures) * OUTCOME_WEIGHT;
    }
}
