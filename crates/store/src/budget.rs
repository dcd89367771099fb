//! Client-side rate limit of store calls.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// `CallBudget` is a token bucket that limits the calls of one process to the store.
#[derive(Debug)]
pub struct CallBudget {
    rate: f64,
    burst: f64,
    tokens: f64,
    refreshed_at: BootTime,
}

impl CallBudget {
    /// Creates a full bucket that refills at `rate` calls per second and holds as many tokens.
    pub fn new(rate: u32, now: BootTime) -> Self {
        let rate = f64::from(rate.max(1));
        Self {
            rate,
            burst: rate,
            tokens: rate,
            refreshed_at: now,
        }
    }

    /// Takes one token, or returns how long to wait for the next one.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available.
    pub fn take(&mut self, now: BootTime) -> Result<(), Duration> {
        let elapsed = now.saturating_sub(self.refreshed_at).as_secs_f64();
        self.refreshed_at = now;
        self.tokens = (self.tokens + elapsed * self.rate).min(self.burst);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_over_the_rate_limit_wait() {
        let mut budget = CallBudget::new(10, Duration::ZERO);
        for _ in 0..10 {
            budget.take(Duration::ZERO).unwrap();
        }
        let wait = budget.take(Duration::ZERO).unwrap_err();
        assert_eq!(wait, Duration::from_millis(100));
        budget.take(wait).unwrap();
    }
}
