//! The ledger of a host's share of a rate: a token bucket whose rate, capacity and tokens move.
//!
//! What a host may spend at any time is its base share, less what it lent, plus what it borrowed.
//! Tokens never exceed the capacity held, and a loan's end takes its capacity away, so that the
//! tokens of the fleet never exceed the burst.

mod lending;
mod settling;

use crate::{
    amount::{MicroRate, MicroTokens, QuotaLimit, TOKEN, gain, time_for},
    asked::AskedLoans,
    base::{BaseHolder, BaseShare, ShareStart},
    demand::DemandRate,
    loan::{IdSource, LoanId},
};
use fighall_core::{
    ids::{BootTime, Generation, HostId, Incarnation},
    value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `RateOptions` are the bounds of loans.
    pub struct RateOptions {
        /// Time for which a loan holds.
        pub term: Duration,
        /// Time after a loan's end before the lender takes it back: clock drift.
        pub margin: Duration,
        /// Shortest time for which lending on a borrowed share is worth it.
        pub shortest_term: Duration,
    }
}

impl Default for RateOptions {
    fn default() -> Self {
        Self::with_term(Duration::from_secs(4))
    }
}

impl RateOptions {
    /// Creates options for a loan time; the margin is a hundredth of it and 20 ms.
    pub fn with_term(term: Duration) -> Self {
        Self {
            term,
            margin: term / 100 + Duration::from_millis(20),
            shortest_term: term / 8,
        }
    }

    /// Gets the time after which a loan lent now has ended for certain, at both ends.
    pub fn longest(&self) -> Duration {
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
    lent_on: QuotaLimit,
    expires_at: BootTime,
    renewal: u64,
    renewal_sent_at: BootTime,
}

#[derive(Debug, Clone)]
struct RateBase {
    limit: QuotaLimit,
    holder: BaseHolder,
    share: BaseShare<QuotaLimit>,
}

value! {
    /// `ShareView` is what a ledger holds at a time, for status and decisions.
    pub struct ShareView {
        /// Limit over the fleet.
        pub limit: QuotaLimit,
        /// Rate and capacity held now.
        pub held: QuotaLimit,
        /// Tokens held now.
        pub tokens: MicroTokens,
        /// Rate and capacity lent to others.
        pub lent: QuotaLimit,
        /// Rate and capacity borrowed from others.
        pub borrowed: QuotaLimit,
        /// Estimated demand here.
        pub demand: MicroRate,
        /// The same with bursts smoothed out.
        pub steady_demand: MicroRate,
    }
}

/// `RateLedger` is one host's share of one rate.
#[derive(Debug, Clone)]
pub struct RateLedger {
    options: RateOptions,
    ids: IdSource,
    base: Option<RateBase>,
    active: bool,
    own_lent: QuotaLimit,
    tokens: MicroTokens,
    refreshed_at: BootTime,
    lent: BTreeMap<LoanId, LentLoan>,
    borrowed: BTreeMap<LoanId, BorrowedLoan>,
    asked: AskedLoans,
    demand: DemandRate,
    steady_demand: DemandRate,
    // Sum of the borrowed portions, and the time before which settling changes no loan.
    borrowed_sum: QuotaLimit,
    settled_until: BootTime,
}

/// Demand below which a quota counts as idle: one token in twenty seconds.
const IDLE_DEMAND: MicroRate = TOKEN / 20;

impl RateLedger {
    /// Creates an empty ledger of a host's incarnation. It holds nothing until it has a base
    /// share and is activated.
    pub fn new(options: RateOptions, host: &str, incarnation: Incarnation, now: BootTime) -> Self {
        Self {
            options,
            ids: IdSource::new(host, incarnation),
            base: None,
            active: false,
            own_lent: QuotaLimit::default(),
            tokens: 0,
            refreshed_at: now,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked: AskedLoans::default(),
            demand: DemandRate::new(now),
            steady_demand: DemandRate::with_smoothing(now),
            borrowed_sum: QuotaLimit::default(),
            settled_until: Duration::ZERO,
        }
    }

    /// Sets the base share of a generation; `start` tells when the first one may be used. An older
    /// generation changes nothing. A change that keeps the holders binds at once; one that picks
    /// other holders lowers at once and raises with [`RateLedger::raise`].
    pub fn set_base(
        &mut self,
        now: BootTime,
        generation: Generation,
        limit: QuotaLimit,
        holder: BaseHolder,
        start: ShareStart,
    ) {
        self.settle(now);
        let share = holder.share(limit);
        match &mut self.base {
            None => {
                let zero = QuotaLimit::default();
                let share = BaseShare::with_start(generation, share, start, zero);
                self.base = Some(RateBase {
                    limit,
                    holder,
                    share,
                });
            }
            Some(base) if generation > base.share.generation => {
                let same = holder.same_holders(&base.holder, limit, base.limit);
                base.share.change(generation, share, same, QuotaLimit::min);
                base.limit = limit;
                base.holder = holder;
                self.clamp();
            }
            Some(_) => {}
        }
    }

    /// Raises the base share if it waited for a generation that has settled by now: every member
    /// has it in force, and all loans of earlier ones have ended.
    pub fn raise(&mut self, now: BootTime, settled: Generation) {
        self.settle(now);
        if let Some(base) = &mut self.base {
            base.share.settle(settled);
        }
    }

    /// Starts the use of the base share, with an empty bucket. A new holder of a member id calls
    /// this once the loans of the last holder have ended.
    pub fn activate(&mut self, now: BootTime) {
        self.settle(now);
        self.active = true;
    }

    /// Stops the use of everything at once: the member id has moved.
    pub fn deactivate(&mut self, now: BootTime) {
        self.settle(now);
        self.active = false;
        self.borrowed.clear();
        self.borrowed_sum = QuotaLimit::default();
        self.asked.cancel();
        self.tokens = 0;
    }

    /// Spends tokens if they are held at this very time.
    pub fn spend(&mut self, now: BootTime, amount: MicroTokens) -> bool {
        self.settle(now);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }

    /// Counts demand, whether or not it is met.
    pub fn note_demand(&mut self, now: BootTime, amount: MicroTokens) {
        self.demand.add(now, amount);
        self.steady_demand.add(now, amount);
    }

    /// Gets the time until an amount is held, if the share stays as it is.
    pub fn wait_for(&mut self, now: BootTime, amount: MicroTokens) -> Option<Duration> {
        self.settle(now);
        let held = self.held();
        if self.tokens >= amount {
            return Some(Duration::ZERO);
        }
        if held.capacity < amount {
            return None;
        }
        time_for(held.rate, amount - self.tokens)
    }

    /// Gets what is held now.
    pub fn view(&mut self, now: BootTime) -> ShareView {
        self.settle(now);
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
            steady_demand: self.steady_demand.rate(now),
        }
    }

    /// Tells whether there is no demand to speak of and nothing borrowed, so that nothing has to be
    /// asked for, renewed or given back.
    pub fn is_idle(&self, now: BootTime) -> bool {
        self.borrowed.is_empty() && !self.asked.is_pending() && self.demand.rate(now) < IDLE_DEMAND
    }

    /// Gets the time until the last loan that this host lent has ended for certain.
    pub fn outstanding(&self, now: BootTime) -> Duration {
        let ends = self.lent.values().map(|loan| loan.reclaim_at);
        ends.max().unwrap_or(now).saturating_sub(now)
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

/// Tokens that a host with demand keeps back when it lends, as time of its demand.
const RESERVE_TIME: Duration = Duration::from_millis(250);

/// Gets what a host keeps for itself: its demand with a tenth on top, and tokens for a quarter of
/// a second of it and for the requests that wait.
pub fn reserve_for(demand: MicroRate, waiting: MicroTokens) -> (QuotaLimit, MicroTokens) {
    // A trace of old demand must not hold a token back.
    let demand = if demand < IDLE_DEMAND { 0 } else { demand };
    let tokens = gain(demand, RESERVE_TIME).saturating_add(waiting);
    let limit = QuotaLimit {
        rate: demand.saturating_add(demand / 10),
        capacity: tokens,
    };
    (limit, tokens)
}
