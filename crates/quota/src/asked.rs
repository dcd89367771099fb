//! Askings of one ledger that have no answer yet, and the loans that were taken in, so that each counts
//! once.

use crate::loan::{LoanAnswer, LoanGrant, LoanId};
use fighall_core::ids::BootTime;
use std::{collections::BTreeMap, time::Duration};

/// `AskedLoans` tells which loans of an answer are new.
#[derive(Debug, Clone, Default)]
pub(crate) struct AskedLoans {
    // Askings with the time of their sending, and loans with the time of their end.
    pending: BTreeMap<LoanId, BootTime>,
    accepted: BTreeMap<LoanId, BootTime>,
}

/// `NewLoan` is a loan that is taken in for the first time.
#[derive(Debug)]
pub(crate) struct NewLoan<'a> {
    pub(crate) grant: &'a LoanGrant,
    pub(crate) asked_at: BootTime,
    pub(crate) expires_at: BootTime,
}

impl AskedLoans {
    /// Notes an asking. The time of its sending bounds the loan's end.
    pub(crate) fn ask(&mut self, now: BootTime, id: &LoanId) {
        self.pending.insert(id.clone(), now);
    }

    /// Takes the new loans of an answer. Answers to unknown askings, loans that came twice and loans
    /// that have ended bring none.
    pub(crate) fn accept<'a>(&mut self, now: BootTime, answer: &'a LoanAnswer) -> Vec<NewLoan<'a>> {
        let mut loans = Vec::new();
        let Some(asked_at) = self.pending.get(&answer.ask).copied() else {
            return loans;
        };
        for grant in &answer.grants {
            let expires_at = asked_at + grant.term;
            if expires_at <= now || self.accepted.contains_key(&grant.id) {
                continue;
            }
            self.note_end(&grant.id, expires_at);
            loans.push(NewLoan {
                grant,
                asked_at,
                expires_at,
            });
        }
        loans
    }

    /// Notes when a loan that was taken in ends.
    pub(crate) fn note_end(&mut self, id: &LoanId, expires_at: BootTime) {
        self.accepted.insert(id.clone(), expires_at);
    }

    /// Forgets askings that are older than `term`, and loans that have ended.
    pub(crate) fn prune(&mut self, now: BootTime, term: Duration) {
        self.pending.retain(|_, asked_at| *asked_at + term > now);
        self.accepted.retain(|_, expires_at| *expires_at > now);
    }

    /// Forgets all askings.
    pub(crate) fn cancel(&mut self) {
        self.pending.clear();
    }

    /// Tells whether an answer is awaited.
    pub(crate) fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Tells whether nothing is kept.
    pub(crate) fn is_empty(&self) -> bool {
        self.pending.is_empty() && self.accepted.is_empty()
    }
}
