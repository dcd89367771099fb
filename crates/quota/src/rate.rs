//! Ledger of a host's share of a rate: a token bucket whose rate, capacity and tokens can be lent.
//!
//! A host may spend its base share, minus what it has lent, plus what it has borrowed. The tokens
//! never exceed the capacity held, and the end of a loan removes its capacity, so that the tokens
//! of all hosts together never exceed the burst.

mod expiry;
mod lending;

use crate::{
    amount::{MicroRate, MicroTokens, QuotaLimit, TOKEN, accrued, time_to_accrue},
    base::{BaseShare, RatePosition, ShareStart},
    estimator::RateEstimator,
    loan::{IdGenerator, LoanId},
    tracker::LoanTracker,
};
use fighall_core::{
    ids::{BootTime, Generation, HostId, Incarnation},
    value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `LoanOptions` configures how long loans last.
    pub struct LoanOptions {
        /// Duration of a loan.
        pub term: Duration,
        /// Time between the end of a loan and its reclaim by the lender; allows for clock drift.
        pub margin: Duration,
        /// Shortest duration for which a borrowed share is worth lending to a third host.
        pub min_term: Duration,
    }
}

impl Default for LoanOptions {
    fn default() -> Self {
        Self::with_term(Duration::from_secs(4))
    }
}

impl LoanOptions {
    /// Creates options for loans of `term`; the margin is 1 % of it plus 20 ms.
    pub fn with_term(term: Duration) -> Self {
        Self {
            term,
            margin: term / 100 + Duration::from_millis(20),
            min_term: term / 8,
        }
    }

    /// Returns the time after which a loan granted now has ended at both lender and borrower.
    pub fn max_lifetime(&self) -> Duration {
        self.term + self.margin * 2
    }
}

#[derive(Debug, Clone, PartialEq)]
enum LentSource {
    Own,
    Borrowed(LoanId),
}

#[derive(Debug, Clone)]
struct LentLoan {
    portion: QuotaLimit,
    source: LentSource,
    reclaim_at: BootTime,
}

#[derive(Debug, Clone)]
struct BorrowedLoan {
    lender: HostId,
    portion: QuotaLimit,
    sublent: QuotaLimit,
    expires_at: BootTime,
    renewal_number: u64,
    renewal_sent_at: BootTime,
}

#[derive(Debug, Clone)]
struct RateBase {
    limit: QuotaLimit,
    position: RatePosition,
    share: BaseShare<QuotaLimit>,
}

value! {
    /// `ShareView` is a snapshot of a rate's ledger, for status reports and decisions.
    pub struct ShareView {
        /// Limit across the fleet.
        pub limit: QuotaLimit,
        /// Rate and capacity that this host may use.
        pub held: QuotaLimit,
        /// Tokens in the bucket.
        pub tokens: MicroTokens,
        /// Rate and capacity lent to other hosts.
        pub lent: QuotaLimit,
        /// Rate and capacity borrowed from other hosts.
        pub borrowed: QuotaLimit,
        /// Estimated demand at this host.
        pub demand: MicroRate,
        /// Estimated demand over a longer time, so that bursts are averaged out.
        pub smoothed_demand: MicroRate,
    }
}

/// `RateLedger` holds one host's share of one rate.
#[derive(Debug, Clone)]
pub struct RateLedger {
    options: LoanOptions,
    ids: IdGenerator,
    base: Option<RateBase>,
    active: bool,
    own_lent: QuotaLimit,
    tokens: MicroTokens,
    refilled_at: BootTime,
    lent: BTreeMap<LoanId, LentLoan>,
    borrowed: BTreeMap<LoanId, BorrowedLoan>,
    tracker: LoanTracker,
    demand: RateEstimator,
    smoothed_demand: RateEstimator,
    // Sum of the portions in `borrowed`.
    borrowed_sum: QuotaLimit,
    // Time before which no loan ends, so that advancing the ledger only refills the bucket.
    next_expiry_at: BootTime,
}

/// Demand below which a rate counts as idle: one token in 20 s.
const IDLE_DEMAND: MicroRate = TOKEN / 20;

impl RateLedger {
    /// Creates an empty ledger for one incarnation of a host. It holds nothing until it has a base
    /// share and is activated.
    pub fn new(options: LoanOptions, host: &str, incarnation: Incarnation, now: BootTime) -> Self {
        Self {
            options,
            ids: IdGenerator::new(host, incarnation),
            base: None,
            active: false,
            own_lent: QuotaLimit::default(),
            tokens: 0,
            refilled_at: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            tracker: LoanTracker::default(),
            demand: RateEstimator::new(now),
            smoothed_demand: RateEstimator::smoothed(now),
            borrowed_sum: QuotaLimit::default(),
            next_expiry_at: Duration::ZERO,
        }
    }

    /// Sets the base share of a generation; `start` says when the first one may be used. Older
    /// generations are ignored. A change that keeps the holders takes effect at once. A change of
    /// the holders lowers the share at once and raises it in [`RateLedger::apply_settled`].
    pub fn set_base_share(
        &mut self,
        now: BootTime,
        generation: Generation,
        limit: QuotaLimit,
        position: RatePosition,
        start: ShareStart,
    ) {
        self.advance(now);
        let share = position.share(limit);
        match &mut self.base {
            None => {
                let zero = QuotaLimit::default();
                let share = BaseShare::with_start(generation, share, start, zero);
                self.base = Some(RateBase {
                    limit,
                    position,
                    share,
                });
            }
            Some(base) if generation > base.share.generation => {
                let same_holders = position.same_holders(&base.position, limit, base.limit);
                base.share
                    .update(generation, share, same_holders, QuotaLimit::min);
                base.limit = limit;
                base.position = position;
                self.clamp_tokens();
            }
            Some(_) => {}
        }
    }

    /// Raises the base share if its generation is not after `settled`, the latest one that every
    /// member has in force while all loans of earlier generations have ended.
    pub fn apply_settled(&mut self, now: BootTime, settled: Generation) {
        self.advance(now);
        if let Some(base) = &mut self.base {
            base.share.apply_settled(settled);
        }
    }

    /// Starts using the base share, with an empty bucket. The new holder of a member id calls this
    /// once the loans of the previous holder have ended.
    pub fn activate(&mut self, now: BootTime) {
        self.advance(now);
        self.active = true;
    }

    /// Stops using all shares at once because the member id has moved to another host.
    pub fn deactivate(&mut self, now: BootTime) {
        self.advance(now);
        self.active = false;
        self.borrowed.clear();
        self.borrowed_sum = QuotaLimit::default();
        self.tracker.clear_pending();
        self.tokens = 0;
    }

    /// Spends tokens if the bucket holds enough at `now`; returns whether it did.
    pub fn spend(&mut self, now: BootTime, amount: MicroTokens) -> bool {
        self.advance(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Records demand, whether or not it is served.
    pub fn record_demand(&mut self, now: BootTime, amount: MicroTokens) {
        self.demand.add(now, amount);
        self.smoothed_demand.add(now, amount);
    }

    /// Returns the time until `amount` is available if the share does not change, or `None` if it
    /// never will be.
    pub fn wait_time(&mut self, now: BootTime, amount: MicroTokens) -> Option<Duration> {
        self.advance(now);
        let held = self.held();
        if self.tokens >= amount {
            return Some(Duration::ZERO);
        }
        if held.capacity < amount {
            return None;
        }
        time_to_accrue(held.rate, amount - self.tokens)
    }

    /// Returns a snapshot of the ledger at `now`.
    pub fn view(&mut self, now: BootTime) -> ShareView {
        self.advance(now);
        let mut lent = QuotaLimit::default();
        for loan in self.lent.values() {
            lent = lent.plus(loan.portion);
        }
        let base = self.base.as_ref();
        ShareView {
            limit: base.map_or_else(QuotaLimit::default, |base| base.limit),
            held: self.held(),
            tokens: self.tokens,
            lent,
            borrowed: self.borrowed_sum,
            demand: self.demand.rate(now),
            smoothed_demand: self.smoothed_demand.rate(now),
        }
    }

    /// Returns whether demand is negligible and nothing is borrowed or requested, so that there is
    /// no loan to request, renew or return.
    pub fn is_idle(&self, now: BootTime) -> bool {
        self.borrowed.is_empty()
            && !self.tracker.has_pending()
            && self.demand.rate(now) < IDLE_DEMAND
    }

    /// Returns the time until the last loan granted by this host can be reclaimed.
    pub fn time_until_reclaimed(&self, now: BootTime) -> Duration {
        let reclaim_times = self.lent.values().map(|loan| loan.reclaim_at);
        reclaim_times.max().unwrap_or(now).saturating_sub(now)
    }

    fn held(&self) -> QuotaLimit {
        self.own_held().plus(self.borrowed_sum)
    }

    fn own_held(&self) -> QuotaLimit {
        match &self.base {
            Some(base) if self.active => base.share.effective.minus(self.own_lent),
            _ => QuotaLimit::default(),
        }
    }
}

/// Time for which a lender keeps back the tokens that its own demand needs.
const RESERVE_TIME: Duration = Duration::from_millis(250);

/// Computes what a host keeps for itself when it lends: its demand plus 10 %, and tokens for
/// 250 ms of that demand and for the waiting requests.
pub fn reserve_for(demand: MicroRate, waiting_tokens: MicroTokens) -> (QuotaLimit, MicroTokens) {
    // Residual demand from the decaying estimate must not hold back a token.
    let demand = if demand < IDLE_DEMAND { 0 } else { demand };
    let tokens = accrued(demand, RESERVE_TIME).saturating_add(waiting_tokens);
    let limit = QuotaLimit {
        rate: demand.saturating_add(demand / 10),
        capacity: tokens,
    };
    (limit, tokens)
}
