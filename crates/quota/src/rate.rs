//! The ledger of a host's share of a rate: a token bucket whose rate, capacity and tokens move.
//!
//! What a host may spend at any time is its base share, less what it lent, plus what it borrowed.
//! Tokens never exceed the capacity held, and a loan's end takes its capacity away, so that the
//! tokens of the fleet never exceed the burst.

use crate::{
    amount::{MicroRate, MicroTokens, QuotaLimit, TOKEN, gain, time_for},
    base::{BaseHolder, BaseShare, ShareStart},
    demand::DemandRate,
    loan::{
        IdSource, LoanAnswer, LoanAsk, LoanExtension, LoanGrant, LoanId, LoanMessage, LoanRenewal,
        LoanReturn, OutgoingLoan, QuotaKey,
    },
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
    pending: BTreeMap<LoanId, BootTime>,
    accepted: BTreeMap<LoanId, BootTime>,
    demand: DemandRate,
    steady_demand: DemandRate,
    // Sum of the borrowed portions, and the time before which settling changes no loan.
    borrowed_sum: QuotaLimit,
    settled_until: BootTime,
}

/// Demand below which a quota counts as idle: one token in twenty seconds.
const IDLE_DEMAND: MicroRate = TOKEN / 20;
/// Part of the limit below which a loan is not worth its messages, as a divisor.
const SMALLEST_PART: u64 = 256;

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
            pending: BTreeMap::new(),
            accepted: BTreeMap::new(),
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
        self.pending.clear();
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
        self.borrowed.is_empty() && self.pending.is_empty() && self.demand.rate(now) < IDLE_DEMAND
    }

    /// Creates the asking for a loan. The time of sending bounds the loan's end.
    pub fn ask(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        wanted: QuotaLimit,
        tokens: MicroTokens,
    ) -> LoanAsk {
        let id = self.ids.issue();
        self.pending.insert(id.clone(), now);
        LoanAsk {
            id,
            key: key.clone(),
            wanted,
            tokens,
        }
    }

    /// Lends what is asked for, as far as `reserve` and `reserve_tokens` stay here. What is lent
    /// is debited before the answer exists.
    pub fn lend(
        &mut self,
        now: BootTime,
        ask: &LoanAsk,
        reserve: QuotaLimit,
        reserve_tokens: MicroTokens,
    ) -> LoanAnswer {
        self.settle(now);
        let mut wanted = ask.wanted;
        let mut tokens = ask.tokens.min(self.tokens.saturating_sub(reserve_tokens));
        wanted.rate = wanted
            .rate
            .min(self.held().rate.saturating_sub(reserve.rate));
        wanted.capacity = wanted.capacity.max(tokens);
        let spare = self.held().capacity.saturating_sub(reserve.capacity);
        wanted.capacity = wanted.capacity.min(spare);
        tokens = tokens.min(wanted.capacity);
        let mut grants = Vec::new();
        for source in self.sources(now) {
            if wanted.is_zero() {
                break;
            }
            let Some(grant) = self.lend_from(now, &source, wanted, tokens) else {
                continue;
            };
            wanted = wanted.minus(grant.portion);
            tokens -= grant.tokens;
            grants.push(grant);
        }
        LoanAnswer {
            ask: ask.id.clone(),
            key: ask.key.clone(),
            grants,
        }
    }

    /// Takes in the loans of an answer. Answers to unknown askings, loans that came twice and
    /// loans that have ended change nothing. Returns the tokens taken in.
    pub fn accept(&mut self, now: BootTime, lender: &str, answer: &LoanAnswer) -> MicroTokens {
        self.settle(now);
        let Some(asked_at) = self.pending.get(&answer.ask).copied() else {
            return 0;
        };
        let mut gained = 0;
        for grant in &answer.grants {
            let expires_at = asked_at + grant.term;
            if expires_at <= now || self.accepted.contains_key(&grant.id) {
                continue;
            }
            self.accepted.insert(grant.id.clone(), expires_at);
            let loan = BorrowedLoan {
                lender: lender.to_owned(),
                portion: grant.portion,
                lent_on: QuotaLimit::default(),
                expires_at,
                renewal: 0,
                renewal_sent_at: asked_at,
            };
            self.borrowed.insert(grant.id.clone(), loan);
            self.borrowed_sum = self.borrowed_sum.plus(grant.portion);
            self.settled_until = self.settled_until.min(expires_at);
            let tokens = grant.tokens.min(grant.portion.capacity);
            self.tokens += tokens;
            gained += tokens;
        }
        gained
    }

    /// Creates the renewals of loans that are past half of their time, while they are needed.
    pub fn renewals(&mut self, now: BootTime, key: &QuotaKey) -> Vec<OutgoingLoan> {
        self.settle(now);
        let half = self.options.term / 2;
        let pause = self.options.term / 8;
        let mut renewals = Vec::new();
        for (id, loan) in &mut self.borrowed {
            let early = loan.expires_at.saturating_sub(now) > half;
            let recent = loan.renewal > 0 && now.saturating_sub(loan.renewal_sent_at) < pause;
            if early || recent {
                continue;
            }
            loan.renewal += 1;
            loan.renewal_sent_at = now;
            let renewal = LoanRenewal {
                id: id.clone(),
                key: key.clone(),
                number: loan.renewal,
            };
            let message = LoanMessage::Renew(renewal);
            renewals.push(OutgoingLoan::new(&loan.lender, message));
        }
        renewals
    }

    /// Extends a loan that this host lent, unless `refuse`: the own demand needs it back. The end
    /// is put off here before the borrower learns of it.
    pub fn extend(
        &mut self,
        now: BootTime,
        renewal: &LoanRenewal,
        refuse: bool,
    ) -> Option<LoanExtension> {
        self.settle(now);
        let loan = self.lent.get(&renewal.id)?;
        let term = self.source_term(now, &loan.source)?;
        // After a limit was lowered, loans of what is no longer there must run out.
        let overdrawn = loan.source == LentSource::Own && self.is_overdrawn();
        if refuse || overdrawn {
            return None;
        }
        let reclaim_at = now + term + self.options.margin;
        let loan = self.lent.get_mut(&renewal.id)?;
        loan.reclaim_at = loan.reclaim_at.max(reclaim_at);
        Some(LoanExtension {
            id: renewal.id.clone(),
            key: renewal.key.clone(),
            number: renewal.number,
            term,
        })
    }

    /// Takes in an extension. Only the answer to the latest renewal counts, from its sending.
    pub fn extended(&mut self, now: BootTime, extension: &LoanExtension) {
        self.settle(now);
        let Some(loan) = self.borrowed.get_mut(&extension.id) else {
            return;
        };
        if loan.renewal != extension.number {
            return;
        }
        loan.expires_at = loan.expires_at.max(loan.renewal_sent_at + extension.term);
        self.accepted.insert(extension.id.clone(), loan.expires_at);
    }

    /// Gives back loans that the own demand does not need, or all of them. A loan of which a part
    /// was lent on stays until that part has come back.
    pub fn give_back(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        needed: QuotaLimit,
        needed_tokens: MicroTokens,
    ) -> Vec<OutgoingLoan> {
        self.settle(now);
        let mut returns = Vec::new();
        let ids: Vec<LoanId> = self.borrowed.keys().cloned().collect();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else {
                continue;
            };
            let rest = self.held().minus(loan.portion);
            let short = rest.rate < needed.rate || rest.capacity < needed.capacity;
            if !loan.lent_on.is_zero() || short {
                continue;
            }
            let spare = self.tokens.saturating_sub(needed_tokens);
            let tokens = spare.min(loan.portion.capacity);
            let lender = loan.lender.clone();
            self.drop_borrowed(&id);
            self.tokens -= tokens;
            self.clamp();
            let key = key.clone();
            let message = LoanMessage::Return(LoanReturn { id, key, tokens });
            returns.push(OutgoingLoan::new(&lender, message));
        }
        returns
    }

    /// Takes back a loan that its borrower returned. A return that comes twice, or after the loan
    /// was taken back by time, changes nothing.
    pub fn take_back(&mut self, now: BootTime, returned: &LoanReturn) {
        self.settle(now);
        let Some(loan) = self.lent.remove(&returned.id) else {
            return;
        };
        self.settled_until = Duration::ZERO;
        let tokens = returned.tokens.min(loan.portion.capacity);
        if self.restore(&loan) && self.active {
            self.tokens += tokens;
            self.clamp();
        }
    }

    /// Gets the time until the last loan that this host lent has ended for certain.
    pub fn outstanding(&self, now: BootTime) -> Duration {
        let ends = self.lent.values().map(|loan| loan.reclaim_at);
        ends.max().unwrap_or(now).saturating_sub(now)
    }

    fn held(&self) -> QuotaLimit {
        self.own_held().plus(self.borrowed_sum)
    }

    fn drop_borrowed(&mut self, id: &LoanId) {
        if let Some(loan) = self.borrowed.remove(id) {
            self.borrowed_sum = self.borrowed_sum.minus(loan.portion);
        }
    }

    // A loan of next to nothing costs messages and memory for its whole term.
    fn is_too_small(&self, portion: QuotaLimit) -> bool {
        let limit = self
            .base
            .as_ref()
            .map(|base| base.limit)
            .unwrap_or_default();
        let rate = portion.rate <= limit.rate / SMALLEST_PART;
        let capacity = portion.capacity <= limit.capacity / SMALLEST_PART;
        rate && capacity
    }

    fn own_held(&self) -> QuotaLimit {
        match &self.base {
            Some(base) if self.active => base.share.effective.minus(self.own_lent),
            _ => QuotaLimit::default(),
        }
    }

    fn is_overdrawn(&self) -> bool {
        let effective = self.base.as_ref().map(|base| base.share.effective);
        let effective = effective.unwrap_or_default();
        !self.own_lent.minus(effective).is_zero()
    }

    // Own share first, then the borrowed ones that last longest.
    fn sources(&self, now: BootTime) -> Vec<LentSource> {
        let mut borrowed: Vec<_> = self.borrowed.iter().collect();
        borrowed.sort_by_key(|(_, loan)| std::cmp::Reverse(loan.expires_at));
        let mut sources = vec![LentSource::Own];
        for (id, _) in borrowed {
            sources.push(LentSource::Borrowed(id.clone()));
        }
        sources.retain(|source| self.source_term(now, source).is_some());
        sources
    }

    // A share lent on must come back before this host loses it.
    fn source_term(&self, now: BootTime, source: &LentSource) -> Option<Duration> {
        match source {
            LentSource::Own => Some(self.options.term),
            LentSource::Borrowed(id) => {
                let left = self.borrowed.get(id)?.expires_at.saturating_sub(now);
                let term = left
                    .saturating_sub(self.options.margin)
                    .min(self.options.term);
                (term >= self.options.shortest_term).then_some(term)
            }
        }
    }

    fn lend_from(
        &mut self,
        now: BootTime,
        source: &LentSource,
        wanted: QuotaLimit,
        tokens: MicroTokens,
    ) -> Option<LoanGrant> {
        let term = self.source_term(now, source)?;
        let available = match source {
            LentSource::Own => self.own_held(),
            LentSource::Borrowed(id) => self.borrowed.get(id)?.portion,
        };
        let portion = wanted.min(available);
        if portion.is_zero() || self.is_too_small(portion) {
            return None;
        }
        let tokens = tokens.min(portion.capacity).min(self.tokens);
        match source {
            LentSource::Own => self.own_lent = self.own_lent.plus(portion),
            LentSource::Borrowed(id) => {
                let loan = self.borrowed.get_mut(id)?;
                loan.portion = loan.portion.minus(portion);
                loan.lent_on = loan.lent_on.plus(portion);
                self.borrowed_sum = self.borrowed_sum.minus(portion);
            }
        }
        self.tokens -= tokens;
        self.clamp();
        let id = self.ids.issue();
        let loan = LentLoan {
            portion,
            source: source.clone(),
            reclaim_at: now + term + self.options.margin,
        };
        self.settled_until = self.settled_until.min(loan.reclaim_at);
        self.lent.insert(id.clone(), loan);
        Some(LoanGrant {
            id,
            portion,
            tokens,
            term,
        })
    }

    // Puts a lent portion back where it came from. The source may be gone by now.
    fn restore(&mut self, loan: &LentLoan) -> bool {
        match &loan.source {
            LentSource::Own => {
                self.own_lent = self.own_lent.minus(loan.portion);
                true
            }
            LentSource::Borrowed(id) => match self.borrowed.get_mut(id) {
                Some(source) => {
                    source.portion = source.portion.plus(loan.portion);
                    source.lent_on = source.lent_on.minus(loan.portion);
                    self.borrowed_sum = self.borrowed_sum.plus(loan.portion);
                    true
                }
                None => false,
            },
        }
    }

    // Brings the ledger up to `now`: refills with what was held until each end of a borrowed
    // loan, drops the loans that have ended, then takes back what was lent long enough ago.
    fn settle(&mut self, now: BootTime) {
        if now < self.settled_until {
            self.refill(now);
            return;
        }
        while let Some(id) = self.next_expired(now) {
            let Some(loan) = self.borrowed.get(&id) else {
                break;
            };
            self.refill(loan.expires_at);
            self.drop_borrowed(&id);
            self.clamp();
        }
        self.refill(now);
        self.reclaim(now);
        let term = self.options.term;
        self.pending.retain(|_, asked_at| *asked_at + term > now);
        self.accepted.retain(|_, expires_at| *expires_at > now);
        self.settled_until = self.next_change(now);
    }

    fn reclaim(&mut self, now: BootTime) {
        let mut ended = Vec::new();
        for (id, loan) in &self.lent {
            if loan.reclaim_at <= now {
                ended.push(id.clone());
            }
        }
        for id in ended {
            if let Some(loan) = self.lent.remove(&id) {
                self.restore(&loan);
            }
        }
    }

    // The earliest time at which a loan ends; what is kept against messages that come twice is
    // pruned then as well.
    fn next_change(&self, now: BootTime) -> BootTime {
        let mut next = now + self.options.term;
        for loan in self.borrowed.values() {
            next = next.min(loan.expires_at);
        }
        for loan in self.lent.values() {
            next = next.min(loan.reclaim_at);
        }
        next
    }

    fn next_expired(&self, now: BootTime) -> Option<LoanId> {
        let expired = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.expires_at <= now);
        let (id, _) = expired.min_by_key(|(_, loan)| loan.expires_at)?;
        Some(id.clone())
    }

    fn refill(&mut self, until: BootTime) {
        if until <= self.refreshed_at {
            return;
        }
        let held = self.held();
        let missing = held.capacity.saturating_sub(self.tokens);
        let gained = gain(held.rate, until - self.refreshed_at);
        if gained >= missing {
            self.tokens += missing;
            self.refreshed_at = until;
            return;
        }
        // Only the time that whole micro-tokens took is used up, so that none is lost to rounding.
        let used = time_for(held.rate, gained).unwrap_or(until - self.refreshed_at);
        self.tokens += gained;
        self.refreshed_at = (self.refreshed_at + used).min(until);
    }

    fn clamp(&mut self) {
        self.tokens = self.tokens.min(self.held().capacity);
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
