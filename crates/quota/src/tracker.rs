//! Pending loan requests of one ledger and the loans accepted in response, so that each loan is
//! credited once.

use crate::loan::{LoanGrant, LoanId, LoanResponse};
use fighall_core::ids::BootTime;
use std::{collections::BTreeMap, time::Duration};

/// `LoanTracker` finds the loans of a response that have not been credited before.
#[derive(Debug, Clone, Default)]
pub(crate) struct LoanTracker {
    // Requests, with the time of sending.
    pending: BTreeMap<LoanId, BootTime>,
    // Loans, with the time of expiry.
    accepted: BTreeMap<LoanId, BootTime>,
}

/// `NewLoan` is a loan that is received for the first time.
#[derive(Debug)]
pub(crate) struct NewLoan<'a> {
    pub(crate) grant: &'a LoanGrant,
    pub(crate) requested_at: BootTime,
    pub(crate) expires_at: BootTime,
}

impl LoanTracker {
    /// Records a loan request. The time of sending bounds the end of the loan.
    pub(crate) fn add_request(&mut self, now: BootTime, id: &LoanId) {
        self.pending.insert(id.clone(), now);
    }

    /// Accepts the new loans of a response. Responses to unknown requests, duplicate loans and
    /// expired loans are ignored.
    pub(crate) fn accept<'a>(
        &mut self,
        now: BootTime,
        response: &'a LoanResponse,
    ) -> Vec<NewLoan<'a>> {
        let mut loans = Vec::new();
        let Some(requested_at) = self.pending.get(&response.request_id).copied() else {
            return loans;
        };
        for grant in &response.grants {
            let expires_at = requested_at + grant.term;
            if expires_at <= now || self.accepted.contains_key(&grant.id) {
                continue;
            }
            self.record_expiry(&grant.id, expires_at);
            loans.push(NewLoan {
                grant,
                requested_at,
                expires_at,
            });
        }
        loans
    }

    /// Records when an accepted loan expires.
    pub(crate) fn record_expiry(&mut self, id: &LoanId, expires_at: BootTime) {
        self.accepted.insert(id.clone(), expires_at);
    }

    /// Removes requests that are older than `term`, and expired loans.
    pub(crate) fn prune(&mut self, now: BootTime, term: Duration) {
        self.pending
            .retain(|_, requested_at| *requested_at + term > now);
        self.accepted.retain(|_, expires_at| *expires_at > now);
    }

    /// Removes all pending requests, so that responses to them are ignored.
    pub(crate) fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns whether a response is pending.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether there is neither a pending request nor an accepted loan.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.accepted.is_empty()
    }
}
