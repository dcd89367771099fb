//! Ledgers of all quotas that a host holds a share of, and the policy of lending and borrowing.

mod loans;

use crate::{
    amount::{MicroTokens, QuotaLimit, TOKEN, accrued},
    base::{RatePosition, ShareStart},
    borrowing::RateEntry,
    estimator::RateEstimator,
    generations::{GenerationTracker, SettledGenerations},
    loan::QuotaKey,
    rate::{LoanOptions, RateLedger, ShareView},
    slots::{SlotLedger, SlotPermit, SlotPosition, SlotView},
};
use fighall_core::{
    ids::{BootTime, Generation, HostId, Incarnation, MemberId},
    value,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

value! {
    /// `LedgerOptions` configures how long loans last, by kind of quota.
    pub struct LedgerOptions {
        /// Loans of request rates and link bandwidth.
        pub rates: LoanOptions,
        /// Loans of target slots.
        pub slots: LoanOptions,
    }
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            rates: LoanOptions::default(),
            slots: LoanOptions::with_term(Duration::from_secs(20)),
        }
    }
}

value! {
    /// `BaseAllocation` defines a member's base share of one quota, from the configuration.
    pub struct BaseAllocation {
        /// Quota.
        pub key: QuotaKey,
        /// Limit over all members; for slots only the capacity counts.
        pub limit: QuotaLimit,
        /// Index of this member among those that share the quota.
        pub member: MemberId,
        /// Number of members that share the quota.
        pub members: u32,
    }
}

#[derive(Debug)]
struct SlotEntry {
    ledger: SlotLedger,
    waiting_requests: u32,
    requested_at: BootTime,
    used_at: BootTime,
}

/// `QuotaLedgers` holds the ledgers of all quotas at one host.
#[derive(Debug)]
pub struct QuotaLedgers {
    host: HostId,
    incarnation: Incarnation,
    options: LedgerOptions,
    active: bool,
    generation: Generation,
    // First generation of this host, if other members may hold shares of earlier ones;
    // `Generation::MAX` until it is known.
    deferred_until: Option<Generation>,
    rate_tracker: GenerationTracker,
    slot_tracker: GenerationTracker,
    rates: BTreeMap<QuotaKey, RateEntry>,
    slots: BTreeMap<QuotaKey, SlotEntry>,
    // Rates with demand, waiting requests or borrowed loans; periodic work visits only these.
    busy: Vec<QuotaKey>,
}

impl QuotaLedgers {
    /// Creates an empty set of ledgers for one incarnation of a host. Its first base shares may be
    /// used at once.
    pub fn new(options: LedgerOptions, host: &str, incarnation: Incarnation) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            rate_tracker: GenerationTracker::new(options.rates.max_lifetime()),
            slot_tracker: GenerationTracker::new(options.slots.max_lifetime()),
            options,
            active: false,
            generation: 0,
            deferred_until: None,
            rates: BTreeMap::new(),
            slots: BTreeMap::new(),
            busy: Vec::new(),
        }
    }

    /// Defers the use of the first base shares until their generation has settled, for a host that
    /// joins a fleet whose members may hold shares of earlier generations.
    pub fn with_deferred_start(mut self) -> Self {
        self.deferred_until = Some(Generation::MAX);
        self
    }

    /// Returns whether the base shares are in use.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Sets the base shares of a generation. The share of a quota that is no longer listed is
    /// lowered to zero. Older generations are ignored.
    pub fn set_base_shares(
        &mut self,
        now: BootTime,
        generation: Generation,
        allocations: &[BaseAllocation],
    ) {
        if generation <= self.generation {
            return;
        }
        self.deferred_until = self.deferred_until.map(|first| first.min(generation));
        self.generation = generation;
        self.clear_unlisted(now, allocations);
        for allocation in allocations {
            self.set_base_share(now, allocation);
        }
    }

    fn clear_unlisted(&mut self, now: BootTime, allocations: &[BaseAllocation]) {
        let generation = self.generation;
        let listed: BTreeSet<_> = allocations
            .iter()
            .map(|allocation| &allocation.key)
            .collect();
        for (key, entry) in &mut self.rates {
            if listed.contains(key) {
                continue;
            }
            let position = RatePosition::new("", 0, 1);
            let limit = QuotaLimit::default();
            let start = ShareStart::Immediate;
            let ledger = &mut entry.ledger;
            ledger.set_base_share(now, generation, limit, position, start);
        }
        for (key, entry) in &mut self.slots {
            if listed.contains(key) {
                continue;
            }
            let position = SlotPosition {
                member: 0,
                members: 1,
            };
            let start = ShareStart::Immediate;
            let ledger = &mut entry.ledger;
            ledger.set_base_share(now, generation, 0, position, start);
        }
    }

    fn set_base_share(&mut self, now: BootTime, allocation: &BaseAllocation) {
        let generation = self.generation;
        if let QuotaKey::Slots(name) = &allocation.key {
            let start = self.share_start(&self.slot_tracker);
            let total = u32::try_from(allocation.limit.capacity / TOKEN).unwrap_or(u32::MAX);
            let position = SlotPosition::rotated(name, allocation.member, allocation.members);
            let ledger = &mut self.slot_entry(&allocation.key).ledger;
            ledger.set_base_share(now, generation, total, position, start);
            return;
        }
        let start = self.share_start(&self.rate_tracker);
        let position = RatePosition::new(
            &allocation.key.to_string(),
            allocation.member,
            allocation.members,
        );
        let ledger = &mut self.rate_entry(now, &allocation.key).ledger;
        ledger.set_base_share(now, generation, allocation.limit, position, start);
    }

    // Once the first generation of this host has settled, no member holds shares of earlier ones.
    fn share_start(&self, tracker: &GenerationTracker) -> ShareStart {
        match self.deferred_until {
            Some(first) if tracker.settled() < first => ShareStart::Settled,
            _ => ShareStart::Immediate,
        }
    }

    /// Records the lowest generation that any member has in force. It must be called regularly,
    /// since shares that wait for a generation to settle are raised here.
    pub fn confirm_generation(&mut self, now: BootTime, lowest: Generation) {
        let previous = self.settled();
        self.rate_tracker.confirm(now, lowest);
        self.slot_tracker.confirm(now, lowest);
        self.apply_settled(now, previous);
    }

    /// Merges the generations that another member has found settled.
    pub fn merge_settled(&mut self, now: BootTime, settled: SettledGenerations) {
        let previous = self.settled();
        self.rate_tracker.record_settled(settled.rates);
        self.slot_tracker.record_settled(settled.slots);
        self.apply_settled(now, previous);
    }

    /// Returns the latest generations that have settled.
    pub fn settled(&self) -> SettledGenerations {
        SettledGenerations {
            rates: self.rate_tracker.settled(),
            slots: self.slot_tracker.settled(),
        }
    }

    fn apply_settled(&mut self, now: BootTime, previous: SettledGenerations) {
        let settled = self.settled();
        if settled.rates > previous.rates {
            for entry in self.rates.values_mut() {
                entry.ledger.apply_settled(now, settled.rates);
            }
        }
        if settled.slots > previous.slots {
            for entry in self.slots.values_mut() {
                entry.ledger.apply_settled(settled.slots);
            }
        }
    }

    /// Starts using the base shares.
    pub fn activate(&mut self, now: BootTime) {
        self.active = true;
        for entry in self.rates.values_mut() {
            entry.ledger.activate(now);
        }
        for entry in self.slots.values_mut() {
            entry.ledger.activate();
        }
    }

    /// Stops using all shares because the member id has moved to another host.
    pub fn deactivate(&mut self, now: BootTime) {
        self.active = false;
        for entry in self.rates.values_mut() {
            entry.ledger.deactivate(now);
        }
        for entry in self.slots.values_mut() {
            entry.ledger.deactivate();
        }
    }

    /// Records demand for a rate.
    pub fn record_demand(&mut self, now: BootTime, key: &QuotaKey, amount: MicroTokens) {
        self.busy_entry(now, key).ledger.record_demand(now, amount);
    }

    /// Spends tokens of a rate if enough are held at `now`; returns whether they were.
    pub fn spend(&mut self, now: BootTime, key: &QuotaKey, amount: MicroTokens) -> bool {
        self.rate_entry(now, key).ledger.spend(now, amount)
    }

    /// Records that a request waits for tokens of a rate.
    pub fn start_wait(&mut self, now: BootTime, key: &QuotaKey, amount: MicroTokens) {
        let entry = self.busy_entry(now, key);
        entry.waiting_tokens = entry.waiting_tokens.saturating_add(amount);
    }

    /// Records that a request no longer waits for tokens.
    pub fn end_wait(&mut self, now: BootTime, key: &QuotaKey, amount: MicroTokens) {
        let entry = self.rate_entry(now, key);
        entry.waiting_tokens = entry.waiting_tokens.saturating_sub(amount);
    }

    /// Returns the time until `amount` is available after everything that already waits, if the
    /// share does not change, or `None` if it never will be.
    pub fn wait_time(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        amount: MicroTokens,
    ) -> Option<Duration> {
        let entry = self.rate_entry(now, key);
        let total = entry.waiting_tokens.saturating_add(amount);
        entry.ledger.wait_time(now, total)
    }

    /// Returns whether a request that starts to wait now could not be served within `time_limit`:
    /// all peers have been asked for loans at least twice and have responded, and the share held
    /// plus the recent rate of loans is too small for the waiting requests.
    pub fn is_exhausted(&mut self, now: BootTime, key: &QuotaKey, time_limit: Duration) -> bool {
        let entry = self.rate_entry(now, key);
        if entry.request_rounds < 2 || entry.pending_responses > 0 {
            return false;
        }
        let view = entry.ledger.view(now);
        let rate = view.held.rate.saturating_add(entry.loan_rate.rate(now));
        let expected = view.tokens.saturating_add(accrued(rate, time_limit));
        entry.waiting_tokens > expected
    }

    /// Acquires a slot of a target for a request that ends by `deadline`.
    pub fn acquire(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        deadline: BootTime,
    ) -> Option<SlotPermit> {
        let entry = self.slot_entry(key);
        entry.used_at = now;
        entry.ledger.acquire(now, deadline)
    }

    /// Releases a slot.
    pub fn release(&mut self, key: &QuotaKey, permit: SlotPermit) {
        self.slot_entry(key).ledger.release(permit);
    }

    /// Sets the number of requests that wait for slots of a target.
    pub fn set_slot_waiting(&mut self, key: &QuotaKey, waiting: u32) {
        self.slot_entry(key).waiting_requests = waiting;
    }

    /// Returns a snapshot of a rate's ledger, if this host has one.
    pub fn rate_view(&mut self, now: BootTime, key: &QuotaKey) -> Option<ShareView> {
        Some(self.rates.get_mut(key)?.ledger.view(now))
    }

    /// Returns a snapshot of a target's slots; without a ledger, all counts are zero.
    pub fn slot_view(&mut self, now: BootTime, key: &QuotaKey) -> SlotView {
        let entry = self.slots.get_mut(key);
        entry.map_or_else(SlotView::default, |entry| entry.ledger.view(now))
    }

    /// Lists the quotas that have a ledger here: rates first, then slots.
    pub fn keys(&self) -> Vec<QuotaKey> {
        let keys = self.rates.keys().chain(self.slots.keys());
        keys.cloned().collect()
    }

    fn busy_entry(&mut self, now: BootTime, key: &QuotaKey) -> &mut RateEntry {
        if self.rates.get(key).is_none_or(|entry| !entry.busy) {
            self.rate_entry(now, key).busy = true;
            self.busy.push(key.clone());
        }
        self.rate_entry(now, key)
    }

    // A rate without demand, waiting requests or borrowed loans needs no periodic work.
    fn remove_idle(&mut self, now: BootTime) {
        let rates = &mut self.rates;
        self.busy.retain(|key| {
            let Some(entry) = rates.get_mut(key) else {
                return false;
            };
            let idle = entry.waiting_tokens == 0 && entry.ledger.is_idle(now);
            entry.busy = !idle;
            entry.busy
        });
    }

    fn rate_entry(&mut self, now: BootTime, key: &QuotaKey) -> &mut RateEntry {
        if !self.rates.contains_key(key) {
            let options = self.options.rates.clone();
            let mut ledger = RateLedger::new(options, &self.host, self.incarnation, now);
            if self.active {
                ledger.activate(now);
            }
            let entry = RateEntry {
                ledger,
                waiting_tokens: 0,
                requested_at: Duration::ZERO,
                request_rounds: 0,
                pending_responses: 0,
                round_tokens: 0,
                empty_rounds: 0,
                loan_rate: RateEstimator::new(now),
                busy: false,
            };
            self.rates.insert(key.clone(), entry);
        }
        self.rates.get_mut(key).unwrap_or_else(|| unreachable!())
    }

    fn slot_entry(&mut self, key: &QuotaKey) -> &mut SlotEntry {
        if !self.slots.contains_key(key) {
            let options = self.options.slots.clone();
            let mut ledger = SlotLedger::new(options, &self.host, self.incarnation);
            if self.active {
                ledger.activate();
            }
            let entry = SlotEntry {
                ledger,
                waiting_requests: 0,
                requested_at: Duration::ZERO,
                used_at: Duration::ZERO,
            };
            self.slots.insert(key.clone(), entry);
        }
        self.slots.get_mut(key).unwrap_or_else(|| unreachable!())
    }
}
