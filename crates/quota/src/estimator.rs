//! Estimate of the demand at a host, as an exponentially weighted moving rate.

use crate::amount::{MicroRate, MicroTokens};
use fighall_core::ids::BootTime;
use std::time::Duration;

/// Time constant of the estimate that decides on loans.
const TIME_CONSTANT: Duration = Duration::from_millis(700);
/// Number of expected arrivals that a pause must miss before it lowers the estimate. With random
/// arrivals at a steady rate, such a pause has a probability of 5 %.
const MISSED_ARRIVALS: f64 = 3.0;

/// Time constant of the estimate that decides whether callers keep to a limit; long enough to
/// average out bursts.
const SMOOTHED_TIME_CONSTANT: Duration = Duration::from_secs(10);

/// `RateEstimator` estimates an arrival rate of tokens, such as the demand at a host.
#[derive(Debug, Clone)]
pub struct RateEstimator {
    // Decayed sum of past amounts, in micro-tokens; divided by the time constant it is a rate.
    decayed_sum: f64,
    time_constant: Duration,
    updated_at: BootTime,
    last_amount: MicroTokens,
}

impl RateEstimator {
    /// Creates an estimate that starts at zero and follows changes quickly.
    pub fn new(now: BootTime) -> Self {
        Self {
            decayed_sum: 0.0,
            time_constant: TIME_CONSTANT,
            updated_at: now,
            last_amount: 0,
        }
    }

    /// Creates an estimate that starts at zero and averages out bursts.
    pub fn smoothed(now: BootTime) -> Self {
        Self {
            time_constant: SMOOTHED_TIME_CONSTANT,
            ..Self::new(now)
        }
    }

    /// Adds an amount that arrived at `now`.
    pub fn add(&mut self, now: BootTime, amount: MicroTokens) {
        self.decay(now);
        self.decayed_sum += to_float(amount);
        self.last_amount = amount;
    }

    /// Returns the estimate in micro-tokens per second. A pause that is long for the estimated
    /// rate lowers it at once, since callers may have moved to another host.
    pub fn rate(&self, now: BootTime) -> MicroRate {
        let elapsed = now.saturating_sub(self.updated_at);
        let average =
            self.decayed_sum * self.decay_factor(elapsed) / self.time_constant.as_secs_f64();
        let max_rate = to_float(self.last_amount) * MISSED_ARRIVALS / elapsed.as_secs_f64();
        to_amount(average.min(max_rate))
    }

    fn decay(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.decayed_sum *= self.decay_factor(elapsed);
        self.updated_at = now;
    }

    fn decay_factor(&self, elapsed: Duration) -> f64 {
        (-elapsed.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}

// Lost precision is harmless: estimates guide loans, but no limit depends on them.
#[allow(clippy::cast_precision_loss)]
fn to_float(amount: MicroTokens) -> f64 {
    amount as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_amount(value: f64) -> MicroTokens {
    value.max(0.0) as MicroTokens
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::amount::TOKEN;

    #[test]
    fn steady_demand_is_estimated_within_a_tenth() {
        let mut demand = RateEstimator::new(Duration::ZERO);
        for step in 0..500_u64 {
            demand.add(Duration::from_millis(step * 10), TOKEN);
        }
        let rate = demand.rate(Duration::from_secs(5));
        assert!((90 * TOKEN..110 * TOKEN).contains(&rate), "{rate}");
        assert!(demand.rate(Duration::from_secs(10)) < TOKEN);
        let paused = demand.rate(Duration::from_millis(4_990 + 100));
        assert!(paused <= 30 * TOKEN, "{paused}");
    }

    #[test]
    fn smoothing_averages_out_whole_bursts() {
        let mut demand = RateEstimator::smoothed(Duration::ZERO);
        for step in 0..200_u32 {
            let now = Duration::from_millis(2_222) * step;
            for _ in 0..4 {
                demand.add(now, TOKEN);
            }
            let rate = demand.rate(now);
            assert!(rate <= 2 * TOKEN + TOKEN / 20, "{rate}");
        }
    }
}
