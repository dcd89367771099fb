//! A host's replica of the token bucket of one organisation.

use super::{
    OrgLimit,
    demand::{DemandMeter, UsageHistory, UsageSample},
};
use fighall_core::ids::BootTime;
use std::time::Duration;

/// Fraction of the burst below which hosts keep to their fair shares: more than callers at several
/// times their rate are admitted between two heartbeats.
pub(super) const LOW_WATERMARK: f64 = 0.4;
/// Time at the rate by which admissions that were reported late may exceed the burst and are still made up
/// for. More is forgotten, so that a wrong count does not keep callers out for long.
const MAX_DEBT_TIME: Duration = Duration::from_secs(3);
/// Factor by which the hosts together may use more than the common tokens while reports are in transit.
const COMMON_FACTOR: f64 = 6.0;
/// Common tokens that each host may use meanwhile in any case, as long as the bucket is fuller than
/// `HIGH_WATERMARK` of the burst: requests of an organisation within its rate come in small groups.
const MIN_COMMON_TOKENS: f64 = 4.0;
const HIGH_WATERMARK: f64 = 0.75;

/// `OrgBucket` holds the tokens that are common to all hosts, and those of this host's fair share.
#[derive(Debug, Default)]
pub(super) struct OrgBucket {
    pub(super) tokens: f64,
    pub(super) fair_tokens: f64,
    refilled_at: BootTime,
    pub(super) admitted: u64,
    pub(super) reported: u64,
    // Refunded tokens. The other hosts count them as used, so only this host may use them.
    pub(super) refunded: f64,
    pub(super) demand: DemandMeter,
    pub(super) peer_demand: f64,
    pub(super) history: UsageHistory,
}

impl OrgBucket {
    /// Creates a bucket without common tokens, which fills from `now` on.
    pub(super) fn new(now: BootTime, fair_tokens: f64) -> Self {
        Self {
            fair_tokens,
            refilled_at: now,
            demand: DemandMeter::new(now),
            ..Self::default()
        }
    }

    /// Adds the tokens since the last refill, at the rate of the hosts that are live.
    pub(super) fn refill(
        &mut self,
        now: BootTime,
        limit: &OrgLimit,
        live_fraction: f64,
        own_share: f64,
        equal_share: f64,
    ) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let elapsed = elapsed.min(Duration::from_secs(60)).as_secs_f64();
        self.refilled_at = now;
        let rate = limit.rate * live_fraction;
        self.tokens = (self.tokens + elapsed * rate).min(limit.burst.max(1.0));
        let max_debt = limit.burst + limit.rate * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = self.tokens.max(-max_debt);
        // If the refunded requests had never been counted, the bucket would hold at most its burst. All
        // hosts together therefore keep no more refunds than what is missing to the burst.
        let max_refunded = (limit.burst - self.tokens).max(0.0) * own_share;
        self.refunded = self.refunded.min(max_refunded);
        // A short drop of the share does not discard tokens saved at an equal share.
        let max_fair_tokens = max_fair_tokens(limit, own_share.max(equal_share));
        self.fair_tokens = (self.fair_tokens + elapsed * rate * own_share).min(max_fair_tokens);
    }

    /// Uses a token of the fair share. `draw` is a random number from 0 to 1. If the share is too small to hold a
    /// token, the fraction that it holds is the probability of admission: rounded up to one token at each of
    /// hundreds of hosts, shares would exceed the limit many times.
    pub(super) fn use_fair_token(&mut self, limit: &OrgLimit, share: f64, draw: f64) -> bool {
        if self.fair_tokens >= 1.0 {
            self.fair_tokens -= 1.0;
            return true;
        }
        if max_fair_tokens(limit, share) >= 1.0 {
            return false;
        }
        let chance = self.fair_tokens;
        self.fair_tokens = 0.0;
        draw < chance
    }

    /// Tells whether the admissions that other hosts may lack leave something of this host's `part` of the tokens
    /// above the low watermark, as they were before these admissions.
    pub(super) fn may_use_common_tokens(&self, limit: &OrgLimit, part: f64) -> bool {
        let unshared = self.unshared_admissions();
        let min_tokens = if self.tokens >= limit.burst * HIGH_WATERMARK {
            MIN_COMMON_TOKENS
        } else {
            1.0
        };
        let common_tokens = self.tokens - limit.burst * LOW_WATERMARK + unshared;
        unshared + 1.0 <= (common_tokens * part * COMMON_FACTOR).max(min_tokens)
    }

    /// Records a sample at `now`, when all other hosts have reported up to `reported_at`.
    pub(super) fn record_sample(&mut self, now: BootTime, reported_at: BootTime) {
        let sample = UsageSample {
            at: now,
            admitted: self.admitted,
            demand: self.demand.average,
            peer_demand: self.peer_demand,
        };
        self.history.record(sample, reported_at);
        self.fair_tokens = self.fair_tokens.max(-self.unshared_admissions());
    }

    // Gets the number of admissions since the oldest report of another host, which that host may lack.
    fn unshared_admissions(&self) -> f64 {
        let unshared = self.admitted - self.history.reported_admissions();
        f64::from(u32::try_from(unshared).unwrap_or(u32::MAX))
    }
}

fn max_fair_tokens(limit: &OrgLimit, own_share: f64) -> f64 {
    limit.burst * LOW_WATERMARK * own_share
}
