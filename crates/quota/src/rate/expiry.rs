//! Expiry and reclaim of loans and refill of the bucket as time passes.

use super::RateLedger;
use crate::{
    amount::{accrued, time_to_accrue},
    loan::LoanId,
};
use fighall_core::ids::BootTime;

impl RateLedger {
    // Advances the ledger to `now`: refills at the rate that was held up to the end of each
    // borrowed loan, removes the loans that have ended, then reclaims lent shares that are due.
    pub(super) fn advance(&mut self, now: BootTime) {
        if now < self.next_expiry_at {
            self.refill(now);
            return;
        }
        while let Some(id) = self.first_expired(now) {
            let Some(loan) = self.borrowed.get(&id) else {
                break;
            };
            self.refill(loan.expires_at);
            self.remove_borrowed(&id);
            self.clamp_tokens();
        }
        self.refill(now);
        self.reclaim_lent(now);
        self.tracker.prune(now, self.options.term);
        self.next_expiry_at = self.next_expiry(now);
    }

    fn reclaim_lent(&mut self, now: BootTime) {
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

    // Returns the earliest time at which a loan ends, at most one term from now, so that the
    // records that detect duplicate messages are pruned regularly.
    fn next_expiry(&self, now: BootTime) -> BootTime {
        let mut next = now + self.options.term;
        for loan in self.borrowed.values() {
            next = next.min(loan.expires_at);
        }
        for loan in self.lent.values() {
            next = next.min(loan.reclaim_at);
        }
        next
    }

    fn first_expired(&self, now: BootTime) -> Option<LoanId> {
        let expired = self
            .borrowed
            .iter()
            .filter(|(_, loan)| loan.expires_at <= now);
        let (id, _) = expired.min_by_key(|(_, loan)| loan.expires_at)?;
        Some(id.clone())
    }

    fn refill(&mut self, until: BootTime) {
        if until <= self.refilled_at {
            return;
        }
        let held = self.held();
        let missing_tokens = held.capacity.saturating_sub(self.tokens);
        let gained = accrued(held.rate, until - self.refilled_at);
        if gained >= missing_tokens {
            self.tokens += missing_tokens;
            self.refilled_at = until;
            return;
        }
        // Counts only the time in which whole micro-tokens accrued, so that rounding loses none.
        let accrual_time = time_to_accrue(held.rate, gained).unwrap_or(until - self.refilled_at);
        self.tokens += gained;
        self.refilled_at = (self.refilled_at + accrual_time).min(until);
    }

    pub(super) fn clamp_tokens(&mut self) {
        self.tokens = self.tokens.min(self.held().capacity);
    }
}
