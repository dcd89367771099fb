//! Call statistics and the observed availability of the store.

use fighall_core::{ids::BootTime, value};
use std::collections::BTreeMap;

value! {
    /// `CallStats` counts calls and records when the store last responded.
    #[derive(Default)]
    pub struct CallStats {
        /// Calls by operation.
        pub calls: BTreeMap<String, u64>,
        /// Calls that failed, by operation.
        pub failures: BTreeMap<String, u64>,
        /// Latest send time of a call that was answered; `None` before the first response.
        pub last_answered_sent_at: Option<BootTime>,
        /// Arrival of the latest response; `None` before the first one.
        pub last_response_at: Option<BootTime>,
        /// Consecutive failures since the latest response.
        pub consecutive_failures: u32,
    }
}

/// Consecutive failures after which the store is considered down.
const DOWN_AFTER_FAILURES: u32 = 2;

impl CallStats {
    /// Counts a call.
    pub fn count_call(&mut self, operation: &str) {
        *self.calls.entry(operation.to_owned()).or_default() += 1;
    }

    /// Records the response to a call that was sent at `sent_at` and answered at `received_at`.
    pub fn record_response(&mut self, sent_at: BootTime, received_at: BootTime) {
        self.last_response_at = Some(received_at);
        self.last_answered_sent_at = self.last_answered_sent_at.max(Some(sent_at));
        self.consecutive_failures = 0;
    }

    /// Counts a failed call.
    pub fn record_failure(&mut self, operation: &str) {
        *self.failures.entry(operation.to_owned()).or_default() += 1;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Returns whether the store is considered available.
    pub fn is_up(&self) -> bool {
        self.last_answered_sent_at.is_some() && self.consecutive_failures < DOWN_AFTER_FAILURES
    }
}
