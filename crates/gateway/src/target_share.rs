//! A host's share of a rate limit that holds for all hosts together.
//!
//! A few hosts hold a limit, chosen by rendezvous hashing. Each takes the fraction of it that its demand
//! has in the demand of all holders, as heartbeats and digests report it. The share of a holder that is
//! not live stays reserved for it, since it may still be sending. A fraction grows slower than reports
//! travel, and only into what nobody claims, and falls faster, so that the fractions of all hosts add up to
//! about one while they change, also while reports are missing.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Requests that all holders together may send at once at any limit, and the time whose requests at the
/// limit they may send at once besides.
const BASE_BURST: f64 = 3.0;
const BURST_TIME: Duration = Duration::from_millis(900);
/// Rate at which a target that accepts nothing is asked whether it still does, in requests per second.
const MIN_RATE: f64 = 0.25;
/// Fraction of a limit that is divided equally, so that a holder without demand can begin.
const EQUAL_FRACTION: f64 = 0.1;
/// Factor by which the live holders may exceed their shares while others are not live. Both sides
/// of a partition apply it, so it is below what targets tolerate.
const RESERVED_FACTOR: f64 = 1.1;
/// Time constants of a growing and of a falling fraction.
const GROWTH_TIME: Duration = Duration::from_millis(1_000);
const FALL_TIME: Duration = Duration::from_millis(400);
/// Requests that each holder is taken to have wanted at the start, so that the very first ones do not
/// decide the fractions.
const INITIAL_DEMAND: f64 = 2.0;
/// Time constant of the average of the demand.
const DEMAND_TIME: Duration = Duration::from_millis(3_000);

/// Gets the number of hosts that may hold a limit of `rate` requests per second. Each may send one request
/// at once.
pub fn max_holders(rate: f64) -> usize {
    let count = total_burst(rate).min(f64::from(u16::MAX));
    // Exact: the value is between 3 and 65,535.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = count as usize;
    count
}

fn total_burst(rate: f64) -> f64 {
    BASE_BURST + rate * BURST_TIME.as_secs_f64()
}

value! {
    /// `HolderClaims` are the claims of the other holders of a limit.
    #[derive(Copy, Default)]
    pub struct HolderClaims {
        /// Number of live holders.
        pub live_holders: u32,
        /// Demand of the live ones, in requests per second.
        pub demand: f64,
        /// Fractions of the limit that all of them take or that are reserved for them.
        pub fraction: f64,
        /// Fractions that are reserved for those that are not live.
        pub reserved: f64,
    }
}

impl HolderClaims {
    /// Adds the claims of other holders.
    pub fn add(&mut self, other: &Self) {
        self.live_holders = self.live_holders.saturating_add(other.live_holders);
        self.demand += other.demand;
        self.fraction += other.fraction;
        self.reserved += other.reserved;
    }

    /// Creates the claim of a holder that is not live and takes `fraction`.
    pub fn with_reserved(fraction: f64) -> Self {
        Self {
            live_holders: 0,
            demand: 0.0,
            fraction,
            reserved: fraction,
        }
    }
}

/// Gets the fraction of a limit that falls to a holder with `demand` beside the claims of the others.
pub fn fair_fraction(demand: f64, claims: &HolderClaims) -> f64 {
    let equal = 1.0 / (f64::from(claims.live_holders) + 1.0);
    let total_demand = demand + claims.demand;
    let wanted = if total_demand > 0.0 {
        demand / total_demand
    } else {
        equal
    };
    available_fraction(claims) * (EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * wanted)
}

/// Gets the fraction towards which the fraction of a holder with `demand` moves. It grows only into the holder's part
/// of what nobody claims: demand that rises on both sides of a partition would otherwise let both sides grow.
pub fn next_fraction(fraction: f64, demand: f64, claims: &HolderClaims) -> f64 {
    let fair = fair_fraction(demand, claims);
    let claimed = (claims.fraction - claims.reserved).max(0.0);
    let unclaimed = (available_fraction(claims) - claimed - fraction).max(0.0);
    fair.min(fraction + unclaimed * fair)
}

fn available_fraction(claims: &HolderClaims) -> f64 {
    ((1.0 - claims.reserved).max(0.0) * RESERVED_FACTOR).min(1.0)
}

/// Gets the demand that a holder is taken to have at first, in requests per second.
pub fn initial_demand() -> f64 {
    INITIAL_DEMAND / DEMAND_TIME.as_secs_f64()
}

/// Gets the fraction of a limit for each of its holders while their demand is not known.
pub fn equal_fraction(holder_count: usize) -> f64 {
    1.0 / f64::from(u32::try_from(holder_count.max(1)).unwrap_or(u32::MAX))
}

/// `TargetShare` is this host's share of the limit of one target: a token bucket and the demand that the
/// share follows.
#[derive(Debug, Default)]
pub struct TargetShare {
    fraction: f64,
    holder_count: u32,
    moved_at: BootTime,
    tokens: f64,
    refilled_at: BootTime,
    // Sum of the wanted requests, each decayed by its age.
    recent_demand: f64,
    demanded_at: BootTime,
}

impl TargetShare {
    /// Creates the share of a host that learns of a limit of `rate` with `holder_count` holders at `now`.
    pub fn new(now: BootTime, rate: f64, fraction: f64, holder_count: usize) -> Self {
        let mut share = Self {
            fraction,
            holder_count: u32::try_from(holder_count).unwrap_or(u32::MAX),
            moved_at: now,
            tokens: 0.0,
            refilled_at: now,
            recent_demand: INITIAL_DEMAND,
            demanded_at: now,
        };
        share.tokens = share.spare_burst(rate);
        share
    }

    /// Gets the fraction of the limit that this host takes.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Gets the requests per second that this host would send without the limit.
    pub fn demand(&self, now: BootTime) -> f64 {
        self.recent_demand * decay(now, self.demanded_at, DEMAND_TIME) / DEMAND_TIME.as_secs_f64()
    }

    /// Counts a request that would be sent without the limit.
    pub fn count_demand(&mut self, now: BootTime) {
        self.recent_demand *= decay(now, self.demanded_at, DEMAND_TIME);
        self.recent_demand += 1.0;
        self.demanded_at = now;
    }

    /// Moves the fraction towards `wanted` for the time since the last move.
    pub fn move_fraction(&mut self, now: BootTime, rate: f64, wanted: f64, holder_count: usize) {
        let time = if wanted > self.fraction {
            GROWTH_TIME
        } else {
            FALL_TIME
        };
        let kept = decay(now, self.moved_at, time);
        self.moved_at = now;
        self.refill(now, rate);
        self.holder_count = u32::try_from(holder_count).unwrap_or(u32::MAX);
        self.fraction = wanted + (self.fraction - wanted) * kept;
    }

    /// Gives up the share.
    pub fn clear(&mut self, now: BootTime) {
        self.fraction = 0.0;
        self.moved_at = now;
        self.tokens = 0.0;
        self.refilled_at = now;
    }

    /// Gets the time until the next request may be sent; none if this host has no share.
    pub fn wait(&mut self, now: BootTime, rate: f64) -> Option<Duration> {
        self.refill(now, rate);
        let own_rate = rate.max(MIN_RATE) * self.fraction;
        if self.tokens >= 1.0 {
            return Some(Duration::ZERO);
        }
        let seconds = (1.0 - self.tokens) / own_rate;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Takes the token of a request, for which there was no [`TargetShare::wait`].
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: BootTime, rate: f64) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let own_rate = rate.max(MIN_RATE) * self.fraction;
        let capacity = 1.0 + self.spare_burst(rate);
        self.tokens = (self.tokens + elapsed * own_rate).min(capacity);
    }

    // Gets what this host may send at once besides one request.
    fn spare_burst(&self, rate: f64) -> f64 {
        self.fraction * (total_burst(rate) - f64::from(self.holder_count)).max(0.0)
    }
}

// Gets the fraction of a value that is left at `now` of what it was at `since`.
fn decay(now: BootTime, since: BootTime, time: Duration) -> f64 {
    (-now.saturating_sub(since).as_secs_f64() / time.as_secs_f64()).exp()
}
