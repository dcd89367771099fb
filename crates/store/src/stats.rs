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
        pub answered_at: Option<BootTime>,
        /// Arrival of the latest response; `None` before the first one.
        pub heard_at: Option<BootTime>,
        /// Consecutive failures since the latest response.
        pub failed_in_row: u32,
    }
}

/// Consecutive failures after which the store is considered down.
const DOWN_AFTER: u32 = 2;

impl CallStats {
    /// Counts a call.
    pub fn count_call(&mut self, operation: &str) {
        *self.calls.entry(operation.to_owned()).or_default() += 1;
    }

    /// Records the response to a call that was sent at `sent_at` and answered at `heard_at`.
    pub fn count_answer(&mut self, sent_at: BootTime, heard_at: BootTime) {
        self.heard_at = Some(heard_at);
        self.answered_at = self.answered_at.max(Some(sent_at));
        self.failed_in_row = 0;
    }

    /// Counts a failed call.
    pub fn count_failure(&mut self, operation: &str) {
        *self.failures.entry(operation.to_owned()).or_default() += 1;
        self.failed_in_row = self.failed_in_row.saturating_add(1);
    }

    /// Returns whether the store is considered available.
    pub fn is_up(&self) -> bool {
        self.answered_at.is_some() && self.failed_in_row < DOWN_AFTER
    }
}
