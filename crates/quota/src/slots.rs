//! The ledger of a host's share of a target's slots. A slot comes back when its request ends.
//!
//! A borrowed slot may be taken only by a request whose deadline lies before the loan's end, so
//! that the request is over when the lender takes the slot back.

use crate::{
    amount::{QuotaLimit, TOKEN},
    loan::{
        IdSource, LoanAnswer, LoanAsk, LoanGrant, LoanId, LoanMessage, LoanReturn, OutgoingLoan,
        QuotaKey,
    },
    rate::RateOptions,
};
use fighall_core::{
    ids::{BootTime, Generation, HostId, Incarnation, MemberId},
    value,
};
use std::{collections::BTreeMap, time::Duration};

value! {
    /// `SlotTicket` is a slot in use. It must be handed back to the ledger that gave it.
    #[derive(Eq)]
    pub struct SlotTicket {
        // Incarnation of the ledger that gave it.
        issuer: Incarnation,
        loan: Option<LoanId>,
    }
}

value! {
    /// `SlotView` is what a ledger holds at a time.
    #[derive(Copy, Eq, Default)]
    pub struct SlotView {
        /// Slots held: the base share, less lent ones, plus borrowed ones.
        pub held: u32,
        /// Slots in use.
        pub used: u32,
        /// Slots lent.
        pub lent: u32,
        /// Slots borrowed.
        pub borrowed: u32,
    }
}

impl SlotView {
    /// Gets the slots that are free.
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
    generation: Generation,
    total: u32,
    member: MemberId,
    members: u32,
    effective: u32,
    pending: Option<u32>,
    raise_at: Option<BootTime>,
}

/// `SlotLedger` is one host's share of one target's slots.
#[derive(Debug, Clone)]
pub struct SlotLedger {
    options: RateOptions,
    issuer: Incarnation,
    ids: IdSource,
    base: Option<SlotBase>,
    active: bool,
    own_used: u32,
    lent: BTreeMap<LoanId, LentSlots>,
    borrowed: BTreeMap<LoanId, BorrowedSlots>,
    pending: BTreeMap<LoanId, BootTime>,
    accepted: BTreeMap<LoanId, BootTime>,
}

impl SlotLedger {
    /// Creates an empty ledger of a host's incarnation.
    pub fn new(options: RateOptions, host: &str, incarnation: Incarnation) -> Self {
        Self {
            options,
            issuer: incarnation,
            ids: IdSource::new(host, incarnation),
            base: None,
            active: false,
            own_used: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            pending: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    /// Sets the base share of a generation: `total` slots over `members` members. An older
    /// generation changes nothing. Another number of members lowers at once and raises only after
    /// [`SlotLedger::confirm`].
    pub fn set_base(
        &mut self,
        now: BootTime,
        generation: Generation,
        total: u32,
        member: MemberId,
        members: u32,
    ) {
        self.settle(now);
        let share = slot_share(total, member, members);
        let Some(base) = &mut self.base else {
            self.base = Some(SlotBase {
                generation,
                total,
                member,
                members,
                effective: share,
                pending: None,
                raise_at: None,
            });
            return;
        };
        if generation <= base.generation {
            return;
        }
        let same = base.member == member && base.members == members && base.pending.is_none();
        if same {
            base.effective = share;
        } else {
            base.effective = base.effective.min(share);
            base.pending = Some(share);
            base.raise_at = None;
        }
        base.generation = generation;
        base.total = total;
        base.member = member;
        base.members = members;
    }

    /// Notes that every member has `generation` or a later one in force.
    pub fn confirm(&mut self, now: BootTime, generation: Generation) {
        let wait = self.options.term + self.options.margin * 2;
        let Some(base) = &mut self.base else {
            return;
        };
        if generation >= base.generation && base.pending.is_some() && base.raise_at.is_none() {
            base.raise_at = Some(now + wait);
        }
    }

    /// Starts the use of the base share.
    pub fn activate(&mut self) {
        self.active = true;
    }

    /// Stops the use of everything: the member id has moved.
    pub fn deactivate(&mut self) {
        self.active = false;
        self.pending.clear();
        for loan in self.borrowed.values_mut() {
            loan.count = loan.used;
        }
    }

    /// Takes a slot for a request that ends by `deadline`.
    pub fn occupy(&mut self, now: BootTime, deadline: BootTime) -> Option<SlotTicket> {
        self.settle(now);
        if self.own_used < self.own_held() {
            self.own_used += 1;
            return Some(SlotTicket {
                issuer: self.issuer,
                loan: None,
            });
        }
        for (id, loan) in &mut self.borrowed {
            if loan.used < loan.count && loan.expires_at >= deadline {
                loan.used += 1;
                return Some(SlotTicket {
                    issuer: self.issuer,
                    loan: Some(id.clone()),
                });
            }
        }
        None
    }

    /// Gives a slot free. A ticket of an earlier ledger, before the member id changed, frees
    /// nothing here.
    pub fn release(&mut self, ticket: SlotTicket) {
        if ticket.issuer != self.issuer {
            return;
        }
        let Some(id) = ticket.loan else {
            self.own_used = self.own_used.saturating_sub(1);
            return;
        };
        if let Some(loan) = self.borrowed.get_mut(&id) {
            loan.used = loan.used.saturating_sub(1);
        }
    }

    /// Gets what is held now.
    pub fn view(&mut self, now: BootTime) -> SlotView {
        self.settle(now);
        let borrowed = self.borrowed.values().map(|loan| loan.count).sum();
        let borrowed_used: u32 = self.borrowed.values().map(|loan| loan.used).sum();
        SlotView {
            held: self.own_held() + borrowed,
            used: self.own_used + borrowed_used,
            lent: self.lent_count(),
            borrowed,
        }
    }

    /// Creates the asking for `count` slots.
    pub fn ask(&mut self, now: BootTime, key: &QuotaKey, count: u32) -> LoanAsk {
        let id = self.ids.issue();
        self.pending.insert(id.clone(), now);
        let tokens = u64::from(count) * TOKEN;
        LoanAsk {
            id,
            key: key.clone(),
            wanted: QuotaLimit {
                rate: 0,
                capacity: tokens,
            },
            tokens,
        }
    }

    /// Lends free slots of the own share, keeping `reserve` of them.
    pub fn lend(&mut self, now: BootTime, ask: &LoanAsk, reserve: u32) -> LoanAnswer {
        self.settle(now);
        let free = self.own_held().saturating_sub(self.own_used);
        let wanted = u32::try_from(ask.wanted.capacity / TOKEN).unwrap_or(u32::MAX);
        let count = free.saturating_sub(reserve).min(wanted);
        let mut grants = Vec::new();
        if count > 0 {
            let id = self.ids.issue();
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
        LoanAnswer {
            ask: ask.id.clone(),
            key: ask.key.clone(),
            grants,
        }
    }

    /// Takes in the loans of an answer; returns the number of slots gained.
    pub fn accept(&mut self, now: BootTime, lender: &str, answer: &LoanAnswer) -> u32 {
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
            let count = u32::try_from(grant.portion.capacity / TOKEN).unwrap_or(0);
            let loan = BorrowedSlots {
                lender: lender.to_owned(),
                count,
                used: 0,
                expires_at,
            };
            self.borrowed.insert(grant.id.clone(), loan);
            gained += count;
        }
        gained
    }

    /// Gives back borrowed slots that are not in use, keeping `needed` free slots.
    pub fn give_back(&mut self, now: BootTime, key: &QuotaKey, needed: u32) -> Vec<OutgoingLoan> {
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
            returns.push(OutgoingLoan::new(&lender, message));
        }
        returns
    }

    /// Takes back slots that their borrower returned.
    pub fn take_back(&mut self, now: BootTime, returned: &LoanReturn) {
        self.settle(now);
        self.lent.remove(&returned.id);
    }

    /// Gets the time until the last loan that this host lent has ended for certain.
    pub fn outstanding(&self, now: BootTime) -> Duration {
        let ends = self.lent.values().map(|loan| loan.reclaim_at);
        ends.max().unwrap_or(now).saturating_sub(now)
    }

    fn lent_count(&self) -> u32 {
        self.lent.values().map(|loan| loan.count).sum()
    }

    fn own_held(&self) -> u32 {
        match &self.base {
            Some(base) if self.active => base.effective.saturating_sub(self.lent_count()),
            _ => 0,
        }
    }

    fn settle(&mut self, now: BootTime) {
        let idle = self.borrowed.is_empty() && self.lent.is_empty();
        let settled = idle && self.pending.is_empty() && self.accepted.is_empty();
        if settled
            && self
                .base
                .as_ref()
                .is_none_or(|base| base.raise_at.is_none())
        {
            return;
        }
        self.borrowed.retain(|_, loan| loan.expires_at > now);
        self.lent.retain(|_, loan| loan.reclaim_at > now);
        let term = self.options.term;
        self.pending.retain(|_, asked_at| *asked_at + term > now);
        self.accepted.retain(|_, expires_at| *expires_at > now);
        let Some(base) = &mut self.base else {
            return;
        };
        if base.raise_at.is_some_and(|at| at <= now) {
            base.raise_at = None;
            base.effective = base.pending.take().unwrap_or(base.effective);
        }
    }
}

fn slot_share(total: u32, member: MemberId, members: u32) -> u32 {
    let members = members.max(1);
    if member >= members {
        return 0;
    }
    total / members + u32::from(member < total % members)
}

/// Computes a member's base share of `total` slots whose remainder starts at a member that the
/// quota's name picks, so that small targets do not all favour the first member.
pub fn rotated_member(key: &str, member: MemberId, members: u32) -> MemberId {
    let members = members.max(1);
    let offset = fighall_core::rendezvous::weight(key, "") % u64::from(members);
    let offset = u32::try_from(offset).unwrap_or(0);
    (member + offset) % members
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn ledger(host: &str, total: u32, member: MemberId, members: u32) -> SlotLedger {
        let mut ledger = SlotLedger::new(RateOptions::with_term(SECOND * 10), host, 1);
        ledger.set_base(Duration::ZERO, 1, total, member, members);
        ledger.activate();
        ledger
    }

    #[test]
    fn a_borrowed_slot_takes_only_requests_that_end_in_time() {
        let key = QuotaKey::Slots("t".to_owned());
        let mut lender = ledger("a", 2, 0, 2);
        let mut borrower = ledger("b", 2, 1, 2);
        assert!(borrower.occupy(SECOND, SECOND * 2).is_some());
        assert!(borrower.occupy(SECOND, SECOND * 2).is_none());
        let ask = borrower.ask(SECOND, &key, 1);
        let answer = lender.lend(SECOND, &ask, 0);
        assert!(lender.occupy(SECOND, SECOND * 2).is_none());
        assert_eq!(borrower.accept(SECOND * 2, "a", &answer), 1);
        assert_eq!(borrower.accept(SECOND * 2, "a", &answer), 0);
        assert!(borrower.occupy(SECOND * 2, SECOND * 12).is_none());
        assert!(borrower.occupy(SECOND * 2, SECOND * 11).is_some());
        assert!(lender.occupy(SECOND * 11, SECOND * 12).is_none());
        assert!(lender.occupy(SECOND * 12, SECOND * 13).is_some());
    }

    #[test]
    fn a_ticket_of_an_earlier_ledger_frees_nothing() {
        let mut old = ledger("a", 2, 0, 2);
        let ticket = old.occupy(SECOND, SECOND * 2).unwrap();
        let mut new = SlotLedger::new(RateOptions::with_term(SECOND * 10), "a", 2);
        new.set_base(Duration::ZERO, 1, 2, 1, 2);
        new.activate();
        assert!(new.occupy(SECOND, SECOND * 2).is_some());
        new.release(ticket);
        assert!(new.occupy(SECOND, SECOND * 2).is_none());
    }

    #[test]
    fn a_member_that_was_moved_gets_no_slot() {
        let mut ledger = ledger("a", 9, 0, 3);
        assert!(ledger.occupy(SECOND, SECOND).is_some());
        ledger.deactivate();
        assert!(ledger.occupy(SECOND, SECOND).is_none());
    }
}
