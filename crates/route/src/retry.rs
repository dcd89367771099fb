//! Retry budget, and the decision whether a failed attempt may be retried.

use fighall_core::tag;

tag! {
    /// `AttemptResult` is the outcome of an attempt to run a request.
    pub enum AttemptResult {
        /// The target answered.
        Answered,
        /// The request certainly did not run: there was no connection, or it was refused with the
        /// agreed marker.
        NotRun,
        /// The request may have run: the connection broke or went silent after the request was
        /// sent.
        MayHaveRun,
    }
}

tag! {
    /// `RetryDecision` is what follows a failed attempt.
    pub enum RetryDecision {
        /// Another attempt may be made.
        Again,
        /// The request fails; it did not run.
        EndNotRun,
        /// The request fails; its outcome is unknown.
        EndUnknown,
    }
}

/// Largest number of retries that the budget accumulates.
const MAX_AVAILABLE_RETRIES: f64 = 150.0;
/// Retries that are available at the start.
const INITIAL_RETRIES: f64 = 50.0;

/// `RetryBudget` limits retries to a percentage of recent requests, so that retries cannot multiply
/// the load during an outage.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    percent: u32,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per hundred requests.
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            available: INITIAL_RETRIES,
        }
    }

    /// Sets the number of retries per hundred requests.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Adds the credit that one request earns to the budget.
    pub fn note_request(&mut self) {
        self.available =
            (self.available + f64::from(self.percent) / 100.0).min(MAX_AVAILABLE_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Decides what follows a failed attempt. A request that did not run may always be retried; one
/// that may have run is retried only if it is idempotent and the budget allows it.
/// `attempt_possible` tells whether another attempt is possible before the deadline.
pub fn decide_retry(
    result: AttemptResult,
    idempotent: bool,
    attempt_possible: bool,
    budget: &mut RetryBudget,
) -> RetryDecision {
    match result {
        AttemptResult::NotRun if attempt_possible => RetryDecision::Again,
        AttemptResult::NotRun => RetryDecision::EndNotRun,
        AttemptResult::MayHaveRun | AttemptResult::Answered => {
            if idempotent && attempt_possible && budget.take() {
                return RetryDecision::Again;
            }
            RetryDecision::EndUnknown
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn requests_that_may_have_run_are_retried_only_if_idempotent() {
        let mut budget = RetryBudget::new(100);
        let result = AttemptResult::MayHaveRun;
        assert_eq!(
            decide_retry(result, false, true, &mut budget),
            RetryDecision::EndUnknown
        );
        assert_eq!(
            decide_retry(result, true, true, &mut budget),
            RetryDecision::Again
        );
        assert_eq!(
            decide_retry(result, true, false, &mut budget),
            RetryDecision::EndUnknown
        );
        let result = AttemptResult::NotRun;
        assert_eq!(
            decide_retry(result, false, true, &mut budget),
            RetryDecision::Again
        );
        assert_eq!(
            decide_retry(result, false, false, &mut budget),
            RetryDecision::EndNotRun
        );
    }

    #[test]
    fn the_budget_is_a_percentage_of_requests() {
        let mut budget = RetryBudget::new(20);
        while budget.take() {}
        for _ in 0..100 {
            budget.note_request();
        }
        let mut taken = 0;
        while budget.take() {
            taken += 1;
        }
        assert!((19..=20).contains(&taken), "{taken}");
    }
}
