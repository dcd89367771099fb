//! Loans of a rate: requests, grants, renewals and returns.

use super::{BorrowedLoan, LentLoan, LentSource, RateLedger};
use crate::{
    amount::{MicroTokens, QuotaLimit},
    loan::{
        LoanExtension, LoanGrant, LoanId, LoanMessage, LoanRenewal, LoanRequest, LoanResponse,
        LoanReturn, OutgoingMessage, QuotaKey,
    },
    tracker::NewLoan,
};
use fighall_core::ids::BootTime;
use std::time::Duration;

/// A loan of at most this fraction of the limit (1/256) is not worth its messages.
const MIN_LOAN_DIVISOR: u64 = 256;

impl RateLedger {
    /// Creates a loan request. The loan ends at the latest one term after the time of sending.
    pub fn request(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        wanted: QuotaLimit,
        tokens: MicroTokens,
    ) -> LoanRequest {
        let id = self.ids.next_id();
        self.tracker.add_request(now, &id);
        LoanRequest {
            id,
            key: key.clone(),
            wanted,
            tokens,
        }
    }

    /// Grants as much of a loan request as leaves `reserve` and `reserve_tokens` at this host. The
    /// loans are debited before the response is created.
    pub fn lend(
        &mut self,
        now: BootTime,
        request: &LoanRequest,
        reserve: QuotaLimit,
        reserve_tokens: MicroTokens,
    ) -> LoanResponse {
        self.advance(now);
        let mut wanted = request.wanted;
        let mut tokens = request
            .tokens
            .min(self.tokens.saturating_sub(reserve_tokens));
        wanted.rate = wanted
            .rate
            .min(self.held().rate.saturating_sub(reserve.rate));
        wanted.capacity = wanted.capacity.max(tokens);
        let spare_capacity = self.held().capacity.saturating_sub(reserve.capacity);
        wanted.capacity = wanted.capacity.min(spare_capacity);
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
        LoanResponse {
            request_id: request.id.clone(),
            key: request.key.clone(),
            grants,
        }
    }

    /// Credits the new loans of a response; returns the tokens gained.
    pub fn accept(&mut self, now: BootTime, lender: &str, response: &LoanResponse) -> MicroTokens {
        self.advance(now);
        let mut gained = 0;
        for new_loan in self.tracker.accept(now, response) {
            let NewLoan {
                grant,
                requested_at,
                expires_at,
            } = new_loan;
            let loan = BorrowedLoan {
                lender: lender.to_owned(),
                portion: grant.portion,
                sublent: QuotaLimit::default(),
                expires_at,
                renewal_number: 0,
                renewal_sent_at: requested_at,
            };
            self.borrowed.insert(grant.id.clone(), loan);
            self.borrowed_sum = self.borrowed_sum.plus(grant.portion);
            self.next_expiry_at = self.next_expiry_at.min(expires_at);
            let tokens = grant.tokens.min(grant.portion.capacity);
            self.tokens += tokens;
            gained += tokens;
        }
        gained
    }

    /// Creates renewals for loans that are past half of their term. The caller has returned the
    /// loans that are no longer needed.
    pub fn renewals(&mut self, now: BootTime, key: &QuotaKey) -> Vec<OutgoingMessage> {
        self.advance(now);
        let half_term = self.options.term / 2;
        let resend_interval = self.options.term / 8;
        let mut renewals = Vec::new();
        for (id, loan) in &mut self.borrowed {
            let not_due = loan.expires_at.saturating_sub(now) > half_term;
            let recently_sent = loan.renewal_number > 0
                && now.saturating_sub(loan.renewal_sent_at) < resend_interval;
            if not_due || recently_sent {
                continue;
            }
            loan.renewal_number += 1;
            loan.renewal_sent_at = now;
            let renewal = LoanRenewal {
                id: id.clone(),
                key: key.clone(),
                number: loan.renewal_number,
            };
            let message = LoanMessage::Renew(renewal);
            renewals.push(OutgoingMessage::new(&loan.lender, message));
        }
        renewals
    }

    /// Extends a loan granted by this host, unless `refuse` is set because its own demand needs
    /// the share. The end is postponed here before the borrower learns of it.
    pub fn extend(
        &mut self,
        now: BootTime,
        renewal: &LoanRenewal,
        refuse: bool,
    ) -> Option<LoanExtension> {
        self.advance(now);
        let loan = self.lent.get(&renewal.id)?;
        let term = self.source_term(now, &loan.source)?;
        // After the limit was lowered, loans that exceed the new base share must expire.
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

    /// Applies an extension. Only the response to the latest renewal counts; the new term starts
    /// when that renewal was sent.
    pub fn apply_extension(&mut self, now: BootTime, extension: &LoanExtension) {
        self.advance(now);
        let Some(loan) = self.borrowed.get_mut(&extension.id) else {
            return;
        };
        if loan.renewal_number != extension.number {
            return;
        }
        loan.expires_at = loan.expires_at.max(loan.renewal_sent_at + extension.term);
        self.tracker.record_expiry(&extension.id, loan.expires_at);
    }

    /// Returns borrowed loans beyond what is needed here, or all of them if that is zero. A loan
    /// that was partly lent to a third host stays until that portion has come back.
    pub fn return_unneeded(
        &mut self,
        now: BootTime,
        key: &QuotaKey,
        needed: QuotaLimit,
        needed_tokens: MicroTokens,
    ) -> Vec<OutgoingMessage> {
        self.advance(now);
        let mut returns = Vec::new();
        let ids: Vec<LoanId> = self.borrowed.keys().cloned().collect();
        for id in ids {
            let Some(loan) = self.borrowed.get(&id) else {
                continue;
            };
            let remaining = self.held().minus(loan.portion);
            let insufficient = remaining.rate < needed.rate || remaining.capacity < needed.capacity;
            if !loan.sublent.is_zero() || insufficient {
                continue;
            }
            let spare_tokens = self.tokens.saturating_sub(needed_tokens);
            let tokens = spare_tokens.min(loan.portion.capacity);
            let lender = loan.lender.clone();
            self.remove_borrowed(&id);
            self.tokens -= tokens;
            self.clamp_tokens();
            let key = key.clone();
            let message = LoanMessage::Return(LoanReturn { id, key, tokens });
            returns.push(OutgoingMessage::new(&lender, message));
        }
        returns
    }

    /// Reclaims a loan that its borrower returned. A duplicate return, or one that arrives after
    /// the loan was reclaimed on expiry, is ignored.
    pub fn accept_return(&mut self, now: BootTime, returned: &LoanReturn) {
        self.advance(now);
        let Some(loan) = self.lent.remove(&returned.id) else {
            return;
        };
        self.next_expiry_at = Duration::ZERO;
        let tokens = returned.tokens.min(loan.portion.capacity);
        if self.restore(&loan) && self.active {
            self.tokens += tokens;
            self.clamp_tokens();
        }
    }

    pub(super) fn remove_borrowed(&mut self, id: &LoanId) {
        if let Some(loan) = self.borrowed.remove(id) {
            self.borrowed_sum = self.borrowed_sum.minus(loan.portion);
        }
    }

    // A negligible loan would still cost messages and memory for its whole term.
    fn is_too_small(&self, portion: QuotaLimit) -> bool {
        let limit = self
            .base
            .as_ref()
            .map(|base| base.limit)
            .unwrap_or_default();
        let rate_too_small = portion.rate <= limit.rate / MIN_LOAN_DIVISOR;
        let capacity_too_small = portion.capacity <= limit.capacity / MIN_LOAN_DIVISOR;
        rate_too_small && capacity_too_small
    }

    // The own share comes first, then borrowed loans from the latest expiry to the earliest.
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

    // A loan out of a borrowed share must end before that share expires at this host.
    fn source_term(&self, now: BootTime, source: &LentSource) -> Option<Duration> {
        match source {
            LentSource::Own => Some(self.options.term),
            LentSource::Borrowed(id) => {
                let remaining = self.borrowed.get(id)?.expires_at.saturating_sub(now);
                let term = remaining
                    .saturating_sub(self.options.margin)
                    .min(self.options.term);
                (term >= self.options.min_term).then_some(term)
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
                loan.sublent = loan.sublent.plus(portion);
                self.borrowed_sum = self.borrowed_sum.minus(portion);
            }
        }
        self.tokens -= tokens;
        self.clamp_tokens();
        let id = self.ids.next_id();
        let loan = LentLoan {
            portion,
            source: source.clone(),
            reclaim_at: now + term + self.options.margin,
        };
        self.next_expiry_at = self.next_expiry_at.min(loan.reclaim_at);
        self.lent.insert(id.clone(), loan);
        Some(LoanGrant {
            id,
            portion,
            tokens,
            term,
        })
    }

    // Adds a lent portion back to its source. Returns false if the source is a borrowed loan that
    // has ended.
    pub(super) fn restore(&mut self, loan: &LentLoan) -> bool {
        match &loan.source {
            LentSource::Own => {
                self.own_lent = self.own_lent.minus(loan.portion);
                true
            }
            LentSource::Borrowed(id) => match self.borrowed.get_mut(id) {
                Some(source) => {
                    source.portion = source.portion.plus(loan.portion);
                    source.sublent = source.sublent.minus(loan.portion);
                    self.borrowed_sum = self.borrowed_sum.plus(loan.portion);
                    true
                }
                None => false,
            },
        }
    }

    fn is_overdrawn(&self) -> bool {
        let effective = self.base.as_ref().map(|base| base.share.effective);
        let effective = effective.unwrap_or_default();
        !self.own_lent.minus(effective).is_zero()
    }
}
