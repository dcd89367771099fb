//! Health of a target from the results of requests, with probes as a secondary source.
//!
//! Consecutive failures eject a target for a time that doubles with each ejection. A successful
//! probe returns a target whose ejection time is over, and failed probes eject an idle target, but
//! a probe that misleads or gets no answer never outweighs requests that succeed.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Consecutive failures that eject a target.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first and shortest ejection.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
/// Duration of the longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time for which a successful request outweighs failed probes.
const SUCCESS_TRUST_TIME: Duration = Duration::from_secs(5);

value! {
    /// `TargetHealth` is the health of one target as seen by this host.
    #[derive(Default)]
    pub struct TargetHealth {
        consecutive_failures: u32,
        consecutive_probe_failures: u32,
        consecutive_ejections: u32,
        ejected_until: Option<BootTime>,
        last_success_at: Option<BootTime>,
    }
}

impl TargetHealth {
    /// Records a request that the target served. Returns whether this ended an ejection.
    pub fn note_success(&mut self, now: BootTime) -> bool {
        self.consecutive_failures = 0;
        self.last_success_at = Some(now);
        let returned = self.ejected_until.take().is_some();
        if !returned {
            self.consecutive_ejections = 0;
        }
        returned
    }

    /// Records a request that the target failed. Returns whether this ejected the target.
    pub fn note_failure(&mut self, now: BootTime) -> bool {
        self.consecutive_failures += 1;
        if self.consecutive_failures < FAILURES_TO_EJECT || self.is_ejected(now) {
            return false;
        }
        self.eject(now);
        true
    }

    /// Records the result of a probe. Returns whether this ejected the target or ended an ejection.
    pub fn note_probe(&mut self, now: BootTime, healthy: bool) -> bool {
        if healthy {
            self.consecutive_probe_failures = 0;
            // A probe neither shortens an ejection nor clears the request failures: it may succeed
            // although requests still fail.
            let ejection_ended = self.ejected_until.is_some_and(|until| until <= now);
            if ejection_ended {
                self.ejected_until = None;
                self.consecutive_failures = FAILURES_TO_EJECT - 1;
            }
            return ejection_ended;
        }
        self.consecutive_probe_failures += 1;
        let recently_succeeded = self
            .last_success_at
            .is_some_and(|at| now.saturating_sub(at) < SUCCESS_TRUST_TIME);
        if recently_succeeded
            || self.consecutive_probe_failures < FAILURES_TO_EJECT
            || self.is_ejected(now)
        {
            return false;
        }
        self.eject(now);
        true
    }

    /// Tells whether the target is ejected and gets no requests.
    pub fn is_ejected(&self, now: BootTime) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }

    fn eject(&mut self, now: BootTime) {
        let factor = 1_u32 << self.consecutive_ejections.min(8);
        let duration = (MIN_EJECTION_TIME * factor).min(MAX_EJECTION_TIME);
        self.consecutive_ejections += 1;
        self.ejected_until = Some(now + duration);
        // One more failure after the ejection ejects the target again.
        self.consecutive_failures = FAILURES_TO_EJECT - 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn ejections_lengthen_and_a_success_ends_them() {
        let mut health = TargetHealth::default();
        assert!(!health.note_failure(SECOND));
        assert!(!health.note_failure(SECOND));
        assert!(health.note_failure(SECOND));
        assert!(health.is_ejected(SECOND));
        assert!(!health.is_ejected(SECOND * 2));
        assert!(health.note_failure(SECOND * 2));
        assert!(health.is_ejected(SECOND * 3));
        assert!(health.note_success(SECOND * 3));
        assert!(!health.is_ejected(SECOND * 3));
    }

    #[test]
    fn failed_probes_do_not_eject_a_target_that_serves_requests() {
        let mut health = TargetHealth::default();
        health.note_success(SECOND);
        for _ in 0..10 {
            assert!(!health.note_probe(SECOND * 2, false));
        }
        assert!(health.note_probe(SECOND * 20, false));
    }
}
