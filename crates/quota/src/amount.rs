//! Amounts of a quota in whole millionths, so that sums are exact.

use fighall_core::message;
use std::time::Duration;

/// One millionth of a token.
pub type MicroTokens = u64;
/// Millionths of a token a second.
pub type MicroRate = u64;

/// One token.
pub const TOKEN: MicroTokens = 1_000_000;
/// Nanoseconds in a second.
const SECOND_NANOS: u128 = 1_000_000_000;

message! {
    /// `QuotaLimit` is a limit over the fleet: tokens a second and tokens at once.
    #[derive(Copy, Eq, Default)]
    pub struct QuotaLimit {
        /// Rate in millionths a second.
        pub rate: MicroRate,
        /// Burst in millionths.
        pub capacity: MicroTokens,
    }
}

impl QuotaLimit {
    /// Creates a limit of `rate` whole tokens a second and `burst` whole tokens at once.
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: rate.saturating_mul(TOKEN),
            capacity: burst.saturating_mul(TOKEN),
        }
    }

    /// Takes the smaller of both in each component.
    pub fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
        }
    }

    /// Adds in each component.
    pub fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_add(other.rate),
            capacity: self.capacity.saturating_add(other.capacity),
        }
    }

    /// Subtracts in each component, down to zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            rate: self.rate.saturating_sub(other.rate),
            capacity: self.capacity.saturating_sub(other.capacity),
        }
    }

    /// Tells whether both components are zero.
    pub fn is_zero(self) -> bool {
        self.rate == 0 && self.capacity == 0
    }
}

/// Gets what a rate brings in a time, rounded down.
pub fn gain(rate: MicroRate, elapsed: Duration) -> MicroTokens {
    let product = u128::from(rate) * elapsed.as_nanos() / SECOND_NANOS;
    u64::try_from(product).unwrap_or(u64::MAX)
}

/// Gets the time in which a rate brings an amount, rounded up; nothing for a zero rate.
pub fn time_for(rate: MicroRate, amount: MicroTokens) -> Option<Duration> {
    if rate == 0 {
        return None;
    }
    let nanos = (u128::from(amount) * SECOND_NANOS).div_ceil(u128::from(rate));
    Some(Duration::from_nanos(
        u64::try_from(nanos).unwrap_or(u64::MAX),
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn time_and_gain_are_inverse_and_conservative() {
        for rate in [1, 3, 7_000_001, 123_456_789_000] {
            let time = time_for(rate, TOKEN).unwrap();
            assert!(gain(rate, time) >= TOKEN);
            assert!(gain(rate, time - Duration::from_nanos(1)) <= TOKEN);
        }
    }
}
