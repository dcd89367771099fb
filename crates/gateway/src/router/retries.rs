//! Retry budgets of services at this host.

use super::RequestRouter;
use crate::retry::RetryOptions;
use fighall_core::ids::BootTime;

/// Fraction of the permitted retries that is used. Retries that arrive within one window may be paid for by requests of
/// two: those of the window itself, and those before it, as additions to the budget expire only later and the network
/// may hold up requests and retries.
const RETRY_BUDGET_FRACTION: f64 = 0.5;

impl RequestRouter {
    /// Takes a retry from the budget of a service. Returns false when the budget is used up.
    pub fn take_retry(&mut self, now: BootTime, service: &str) -> bool {
        self.record_host_count(now);
        let options = self.retry_options(now);
        let budget = self.retry_budgets.entry(service.to_owned()).or_default();
        budget.take(now, &options)
    }

    /// Describes the retry budget of a service for logs; empty before the first request.
    pub fn describe_retries(&self, now: BootTime, service: &str) -> String {
        let budget = self.retry_budgets.get(service);
        budget.map_or_else(String::new, |budget| {
            budget.describe(now, &self.retry_options(now))
        })
    }

    pub(super) fn count_towards_retries(&mut self, now: BootTime, service: &str) {
        let options = self.retry_options(now);
        let budget = self.retry_budgets.entry(service.to_owned()).or_default();
        budget.count_request(now, &options);
    }

    pub(super) fn record_host_count(&mut self, now: BootTime) {
        let window = self.bounds.retry_window;
        self.host_counts
            .record(now, window, self.fleet.host_count());
    }

    // The slack that hosts used before they stopped or left counts until the window has passed. Until then
    // their share is not used again, by their next process or by the other hosts.
    fn retry_options(&self, now: BootTime) -> RetryOptions {
        let window = self.bounds.retry_window;
        let slack = if now.saturating_sub(self.started_at) < window {
            0.0
        } else {
            self.bounds.retry_slack * RETRY_BUDGET_FRACTION / f64::from(self.host_counts.highest())
        };
        RetryOptions {
            ratio: self.bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            slack,
            window,
        }
    }
}
