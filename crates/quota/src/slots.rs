//! Ledger of a host's share of a target's slots. A slot is free again when its request ends.
//!
//! A borrowed slot is given only to a request whose deadline is not after the end of the loan, so
//! that the request is over when the lender reclaims the slot.

use crate::{
    amount::{QuotaLimit, TOKEN},
    base::{BaseShare, ShareStart},
    loan::{
        IdGenerator, LoanGrant, LoanId, LoanMessage, LoanRequest, LoanResponse, LoanReturn,
        OutgoingMessage, QuotaKey,
    },
    rate::LoanOptions,
    tracker::LoanTracker,
};
use fighall_core::{
    ids::{BootTime, Generation, HostId, Incarnation, MemberId},
    rendezvous, value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `SlotPermit` represents a slot in use. It must be released to the ledger that issued it.
    #[derive(Eq)]
    pub struct SlotPermit {
        // Incarnation of the ledger that issued it.
        issuer: Incarnation,
        // Borrowed loan that the slot belongs to; `None` for the own share.
        loan: Option<LoanId>,
    }
}

value! {
    /// `SlotView` is a snapshot of a target's slots at one host.
    #[derive(Copy, Eq, Default)]
    pub struct SlotView {
        /// Slots that this host may use: its base share, minus those lent, plus those borrowed.
        pub held: u32,
        /// Slots in use.
        pub used: u32,
        /// Slots lent to other hosts.
        pub lent: u32,
        /// Slots borrowed from other hosts.
        pub borrowed: u32,
    }
}

impl SlotView {
    /// Returns the number of slots that are held and not in use.
    pub fn free(&self) -> u32 {
        self.held.saturating_sub(self.used)
    }
}

#[derive(Debug, Clone)]
struct LentSlots {
    count: u32,
    reclaim_at: BootTime,
}

#[derive(Debug, Clone)]
struct BorrowedSlots {
    lender: HostId,
    count: u32,
    used: u32,
    expires_at: BootTime,
}

#[derive(Debug, Clone)]
struct SlotBase {
    position: SlotPosition,
    share: BaseShare<u32>,
}

value! {
    /// `SlotPosition` is a member's position among the members that share a target's slots.
    #[derive(Copy, Eq)]
    pub struct SlotPosition {
        /// Position, from 0; a position of `members` or more has no share.
        pub member: MemberId,
        /// Number of members.
        pub members: u32,
    }
}

impl SlotPosition {
    /// Creates a position rotated by a hash of the quota's name, so that the remainders of small
    /// targets do not all go to the first members.
    pub fn rotated(name: &str, member: MemberId, members: u32) -> Self {
        if member >= members {
            return Self { member, members };
        }
        let offset = rendezvous::weight(name, "") % u64::from(members);
        let offset = u32::try_from(offset).unwrap_or(0);
        let member = (member + offset) % members;
        Self { member, members }
    }

    /// Computes the base share of `total` slots. The shares of all members add up to `total`.
    pub fn share(self, total: u32) -> u32 {
        if self.member >= self.members {
            return 0;
        }
        total / self.members + u32::from(self.member < total % self.members)
    }
}

/// `SlotLedger` holds one host's share of one target's slots.
#[derive(Debug, Clone)]
pub struct SlotLedger {
    options: LoanOptions,
    issuer: Incarnation,
    ids: IdGenerator,
    base: Option<SlotBase>,
    active: bool,
    own_used: u32,
    lent: BTreeMap<LoanId, LentSlots>,
    borrowed: BTreeMap<LoanId, BorrowedSlots>,
    tracker: LoanTracker,
}

impl SlotLedger {
    /// Creates an empty ledger for one incarnation of a host.
    pub fn new(options: LoanOptions, host: &str, incarnation: Incarnation) -> Self {
        Self {
            options,
            issuer: incarnation,
            ids: IdGenerator::new(host, incarnation),
            base: None,
            active: false,
            own_used: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            tracker: LoanTracker::default(),
        }
    }

    /// Sets the base share of a generation, out of `total` slots; `start` says when the first one
    /// may be used. Older generations are ignored. A change of the position lowers the share at
    /// once and raises it in [`SlotLedger::apply_settled`].
    pub fn set_base_share(
        &mut self,
        now: BootTime,
        generation: Generation,
        total: u32,
        position: SlotPosition,
        start: ShareStart,
    ) {
        self.advance(now);
        let share = position.share(total);
        match &mut self.base {
            None => {
                let share = BaseShare::with_start(generation, share, start, 0);
                self.base = Some(SlotBase { position, share });
            }
            Some(base) if generation > base.share.generation => {
                let same_position = base.position == position;
                base.share
                    .update(generation, share, same_position, u32::min);
                base.position = position;
            }
            Some(_) => {}
        }
    }

    /// Raises the base share if its generation is not after `settled`.
    pub fn apply_settled(&mut self, settled: Generation) {
        if let Some(base) = &mut self.base {
            base.share.apply_settled(settled);
        }
    }

    /// Starts using the base share.
    pub fn activate(&mut self) {
        self.active = true;
    }

    /// Stops using all slots because the member id has moved to another host. Slots in use stay
    /// counted until they are released.
    pub fn deactivate(&mut self) {
        self.active = false;
        self.tracker.clear_pending();
        for loan in self.borrowed.values_mut() {
            loan.count = loan.used;
        }
    }

    /// Acquires a slot for a request that ends by `deadline`.
    pub fn acquire(&mut self, now: BootTime, deadline: BootTime) -> Option<SlotPermit> {
        self.advance(now);
        if self.own_used < self.own_held() {
            self.own_used += 1;
            return Some(SlotPermit {
                issuer: self.issuer,
                loan: None,
            });
        }
        for (id, loan) in &mut self.borrowed {
            if loan.used < loan.count && loan.expires_at >= deadline {
                loan.used += 1;
                return Some(SlotPermit {
                    issuer: self.issuer,
                    loan: Some(id.clone()),
                });
            }
        }
        None
    }

    /// Releases a slot. A permit issued by an earlier ledger, before the member id changed, is
    /// ignored.
    pub fn release(&mut self, permit: SlotPermit) {
        if permit.issuer != self.issuer {
            return;
        }
        let Some(id) = permit.loan else {
            self.own_used = self.own_used.saturating_sub(1);
            return;
        };
        if let Some(loan) = self.borrowed.get_mut(&id) {
            loan.used = loan.used.saturating_sub(1);
        }
    }

    /// Returns a snapshot of the slots at `now`.
    pub fn view(&mut self, now: BootTime) -> SlotView {
        self.advance(now);
        let borrowed = self.borrowed.values().map(|loan| loan.count).sum();
        let borrowed_used: u32 = self.borrowed.values().map(|loan| loan.used).sum();
        SlotView {
            held: self.own_held() + borrowed,
            used: self.own_used + borrowed_used,
            lent: self.lent_count(),
            borrowed,
        }
    }

    /// Creates a request for `count` slots.
    pub fn request(&mut self, now: BootTime, key: &QuotaKey, count: u32) -> LoanRequest {
        let id = self.ids.next_id();
        self.tracker.add_request(now, &id);
        let tokens = u64::from(count) * TOKEN;
        LoanRequest {
            id,
            key: key.clone(),
            wanted: QuotaLimit {
                rate: 0,
                capacity: tokens,
            },
            tokens,
        }
    }

    /// Lends free slots of the own share, but keeps `reserve` of them.
    pub fn lend(&mut self, now: BootTime, request: &LoanRequest, reserve: u32) -> LoanResponse {
        self.advance(now);
        let free = self.own_held().saturating_sub(self.own_used);
        let wanted = u32::try_from(request.wanted.capacity / TOKEN).unwrap_or(u32::MAX);
        let count = free.saturating_sub(reserve).min(wanted);
        let mut grants = Vec::new();
        if count > 0 {
            let id = self.ids.next_id();
            let loan = LentSlots {
                count,
                reclaim_at: now + self.options.term + self.options.margin,
            };
            self.lent.insert(id.clone(), loan);
            let capacity = u64::from(count) * TOKEN;
            grants.push(LoanGrant {
                id,
                portion: QuotaLimit { rate: 0, capacity },
                tokens: capacity,
                term: self.options.term,
            });
        }
        LoanResponse {
            request_id: request.id.clone(),
            key: request.key.clone(),
            grants,
        }
    }

    /// Credits the new loans of a response; returns the number of slots gained.
    pub fn accept(&mut self, now: BootTime, lender: &str, response: &LoanResponse) -> u32 {
        self.advance(now);
        let mut gained = 0;
        for new_loan in self.tracker.accept(now, response) {
            let grant = new_loan.grant;
            let count = u32::try_from(grant.portion.capacity / TOKEN).unwrap_or(0);
            let loan = BorrowedSlots {
                lender: lender.to_owned(),
                count,
                used: 0,
                expires_at: new_loan.expires_at,
            };
            self.borrowed.insert(grant.id.clone(), loan);
            gained += count;
        }
        gained
    }

    /// Returns borrowed loans with no slot in use, as long as `needed` slots stay free.
    pub fn return_unneeded(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        needed: u32,
    ) -> Vec<OutgoingMessage> {
        let mut free = self.view(now).free();
        let mut returns = Vec::new();
        let ids: Vec<LoanId> = self.borrowed.keys().cloned().collect();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else {
                continue;
            };
            if loan.used > 0 || free < needed + loan.count {
                continue;
            }
            free -= loan.count;
            let lender = loan.lender.clone();
            let tokens = u64::from(loan.count) * TOKEN;
            self.borrowed.remove(&id);
            let key = key.clone();
            let message = LoanMessage::Return(LoanReturn { id, key, tokens });
            returns.push(OutgoingMessage::new(&lender, message));
        }
        returns
    }

    /// Reclaims slots that their borrower returned.
    pub fn accept_return(&mut self, now: BootTime, returned: &LoanReturn) {
        self.advance(now);
        self.lent.remove(&returned.id);
    }

    /// Returns the time until the last loan granted by this host can be reclaimed.
    pub fn time_until_reclaimed(&self, now: BootTime) -> Duration {
        let reclaim_times = self.lent.values().map(|loan| loan.reclaim_at);
        reclaim_times.max().unwrap_or(now).saturating_sub(now)
    }

    fn lent_count(&self) -> u32 {
        self.lent.values().map(|loan| loan.count).sum()
    }

    fn own_held(&self) -> u32 {
        match &self.base {
            Some(base) if self.active => {
                let effective = base.share.effective;
                effective.saturating_sub(self.lent_count())
            }
            _ => 0,
        }
    }

    fn advance(&mut self, now: BootTime) {
        let no_loans = self.borrowed.is_empty() && self.lent.is_empty();
        if no_loans && self.tracker.is_empty() {
            return;
        }
        self.borrowed.retain(|_, loan| loan.expires_at > now);
        self.lent.retain(|_, loan| loan.reclaim_at > now);
        self.tracker.prune(now, self.options.term);
    }
}
