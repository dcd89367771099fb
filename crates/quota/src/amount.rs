//! Amounts of a quota as integer millionths (micro-tokens), so that sums are exact.

use fighall_core::message;
use std::time::Duration;

/// Tokens, in millionths.
pub type MicroTokens = u64;
/// Tokens per second, in millionths.
pub type MicroRate = u64;

/// One token in micro-tokens.
pub const TOKEN: MicroTokens = 1_000_000;
const NANOS_PER_SECOND: u128 = 1_000_000_000;

message! {
    /// `QuotaLimit` is a rate and a burst: the limit of a quota across the fleet, or a portion of it.
    #[derive(Copy, Eq, Default)]
    pub struct QuotaLimit {
        /// Rate in micro-tokens per second.
        pub rate: MicroRate,
        /// Burst in micro-tokens.
        pub capacity: MicroTokens,
    }
}

impl QuotaLimit {
    /// Creates a limit of `rate` whole tokens per second with a burst of `burst` whole tokens.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.saturating_mul(TOKEN),
            capacity: burst.saturating_mul(TOKEN),
        }
    }

    /// Returns the component-wise minimum.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
        }
    }

    /// Returns the component-wise sum, saturating at the maximum.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            capacity: self.capacity.saturating_add(other.capacity),
        }
    }

    /// Returns the component-wise difference, saturating at zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            capacity: self.capacity.saturating_sub(other.capacity),
        }
    }

    /// Returns whether both components are zero.
    pub fn is_zero(self) -> bool {
        self.rate == 0 && self.capacity == 0
    }
}

/// Computes the tokens that accrue at `rate` in `elapsed`, rounded down.
pub fn accrued(rate: MicroRate, elapsed: Duration) -> MicroTokens {
    let product = u128::from(rate) * elapsed.as_nanos() / NANOS_PER_SECOND;
    u64::try_from(product).unwrap_or(u64::MAX)
}

/// Computes the time in which `amount` accrues at `rate`, rounded up; `None` for a zero rate.
pub fn time_to_accrue(rate: MicroRate, amount: MicroTokens) -> Option<Duration> {
    if rate == 0 {
        return None;
    }
    let nanos = (u128::from(amount) * NANOS_PER_SECOND).div_ceil(u128::from(rate));
    Some(Duration::from_nanos(
        u64::try_from(nanos).unwrap_or(u64::MAX),
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn accrual_and_its_time_are_inverse_and_conservative() {
        for rate in [1, 3, 7_000_001, 123_456_789_000] {
            let time = time_to_accrue(rate, TOKEN).unwrap();
            assert!(accrued(rate, time) >= TOKEN);
            assert!(accrued(rate, time - Duration::from_nanos(1)) <= TOKEN);
        }
    }
}
