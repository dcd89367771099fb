//! Estimate of a host's own demand, as an exponentially weighted rate.

use crate::amount::{MicroRate, MicroTokens};
use fighall_core::ids::BootTime;
use std::time::Duration;

/// Time constant of the estimate.
const TIME_CONSTANT: Duration = Duration::from_millis(700);

/// `DemandRate` estimates how many tokens a second are asked for here.
#[derive(Debug, Clone)]
pub struct DemandRate {
    // Weight of past demand, in micro-tokens; divided by the time constant it is a rate.
    mass: f64,
    seen_at: BootTime,
}

impl DemandRate {
    /// Creates an estimate of zero.
    pub fn new(now: BootTime) -> Self {
        Self {
            mass: 0.0,
            seen_at: now,
        }
    }

    /// Counts demand for an amount.
    pub fn add(&mut self, now: BootTime, amount: MicroTokens) {
        self.decay(now);
        self.mass += to_float(amount);
    }

    /// Gets the estimate in micro-tokens a second.
    pub fn rate(&self, now: BootTime) -> MicroRate {
        let elapsed = now.saturating_sub(self.seen_at);
        let mass = self.mass * decay_factor(elapsed);
        to_amount(mass / TIME_CONSTANT.as_secs_f64())
    }

    fn decay(&mut self, now: BootTime) {
        let elapsed = now.saturating_sub(self.seen_at);
        self.mass *= decay_factor(elapsed);
        self.seen_at = now;
    }
}

fn decay_factor(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}

// Estimates need no exactness: a heuristic input never decides what is safe.
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
    fn a_steady_demand_is_estimated_within_a_tenth() {
        let mut demand = DemandRate::new(Duration::ZERO);
        for step in 0..500_u64 {
            demand.add(Duration::from_millis(step * 10), TOKEN);
        }
        let rate = demand.rate(Duration::from_secs(5));
        assert!((90 * TOKEN..110 * TOKEN).contains(&rate), "{rate}");
        assert!(demand.rate(Duration::from_secs(10)) < TOKEN);
    }
}
