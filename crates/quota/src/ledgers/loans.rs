//! Loan messages: requests, renewals, returns and the responses to them.

use super::QuotaLedgers;
use crate::{
    amount::{QuotaLimit, accrued},
    borrowing::{
        CAPACITY_WINDOW, REQUEST_PAUSE, REQUESTED_RATE_PERCENT, needs_loan, request_loans,
    },
    loan::{LoanMessage, LoanRequest, LoanResponse, OutgoingMessage, QuotaKey},
    rate::reserve_for,
};
use fighall_core::ids::{BootTime, HostId};
use std::time::Duration;

/// Time without use after which borrowed slots are returned.
const SLOT_IDLE: Duration = Duration::from_millis(500);

impl QuotaLedgers {
    /// Creates loan requests for what waiting requests need and for the expected demand. `peers`
    /// come in the order in which they are contacted; `holds_share` says whether a peer holds a
    /// share of a quota.
    pub fn loan_requests(
        &mut self,
        now: BootTime,
        peers: &[HostId],
        holds_share: impl Fn(&QuotaKey, &HostId) -> bool,
    ) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for key in &self.busy {
            let Some(entry) = self.rates.get_mut(key) else {
                continue;
            };
            if !needs_loan(now, entry) {
                continue;
            }
            let peers = peers.iter().filter(|peer| holds_share(key, peer));
            let peers: Vec<_> = peers.cloned().collect();
            request_loans(now, key, entry, &peers, &mut outgoing);
        }
        for (key, entry) in &mut self.slots {
            let due = now.saturating_sub(entry.requested_at) >= REQUEST_PAUSE;
            if entry.waiting_requests == 0 || !due {
                continue;
            }
            let peers: Vec<_> = peers.iter().filter(|peer| holds_share(key, peer)).collect();
            entry.requested_at = now;
            for peer in peers {
                let request = entry
                    .ledger
                    .request(now, key, entry.waiting_requests.min(2));
                outgoing.push(OutgoingMessage::new(peer, LoanMessage::Request(request)));
            }
        }
        outgoing
    }

    /// Creates renewals for the loans that are needed and returns for the others.
    pub fn maintain_loans(&mut self, now: BootTime) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for key in &self.busy {
            let Some(entry) = self.rates.get_mut(key) else {
                continue;
            };
            let demand = entry.ledger.view(now).demand;
            let (mut needed, tokens) = reserve_for(demand, entry.waiting_tokens);
            needed.rate = needed.rate * REQUESTED_RATE_PERCENT / 100;
            needed.capacity = needed.capacity.max(accrued(demand, CAPACITY_WINDOW));
            outgoing.extend(entry.ledger.return_unneeded(now, key, needed, tokens));
            outgoing.extend(entry.ledger.renewals(now, key));
        }
        self.remove_idle(now);
        for (key, entry) in &mut self.slots {
            if entry.waiting_requests > 0 || now.saturating_sub(entry.used_at) < SLOT_IDLE {
                continue;
            }
            outgoing.extend(entry.ledger.return_unneeded(now, key, 0));
        }
        outgoing
    }

    /// Creates returns for all borrowed loans, on a planned shutdown.
    pub fn return_all(&mut self, now: BootTime) -> Vec<OutgoingMessage> {
        let mut outgoing = Vec::new();
        for (key, entry) in &mut self.rates {
            outgoing.extend(
                entry
                    .ledger
                    .return_unneeded(now, key, QuotaLimit::default(), 0),
            );
        }
        for (key, entry) in &mut self.slots {
            outgoing.extend(entry.ledger.return_unneeded(now, key, 0));
        }
        outgoing
    }

    /// Returns the time until the last loan granted by this host can be reclaimed.
    pub fn time_until_reclaimed(&self, now: BootTime) -> Duration {
        let rates = self
            .rates
            .values()
            .map(|entry| entry.ledger.time_until_reclaimed(now));
        let slots = self
            .slots
            .values()
            .map(|entry| entry.ledger.time_until_reclaimed(now));
        rates.chain(slots).max().unwrap_or_default()
    }

    /// Handles a message from a peer; returns the response, if there is one.
    pub fn handle(
        &mut self,
        now: BootTime,
        peer: &str,
        message: &LoanMessage,
    ) -> Option<LoanMessage> {
        match message {
            LoanMessage::Request(request) => Some(LoanMessage::Response(self.lend(now, request))),
            LoanMessage::Response(response) => {
                self.accept(now, peer, response);
                None
            }
            LoanMessage::Renew(renewal) => {
                let entry = self.rates.get_mut(&renewal.key)?;
                let refuse = entry.waiting_tokens > entry.ledger.view(now).tokens;
                let extension = entry.ledger.extend(now, renewal, refuse)?;
                Some(LoanMessage::Extend(extension))
            }
            LoanMessage::Extend(extension) => {
                let entry = self.rates.get_mut(&extension.key)?;
                entry.ledger.apply_extension(now, extension);
                None
            }
            LoanMessage::Return(returned) => {
                if let Some(entry) = self.rates.get_mut(&returned.key) {
                    entry.ledger.accept_return(now, returned);
                }
                if let Some(entry) = self.slots.get_mut(&returned.key) {
                    entry.ledger.accept_return(now, returned);
                }
                None
            }
        }
    }

    fn lend(&mut self, now: BootTime, request: &LoanRequest) -> LoanResponse {
        if let Some(entry) = self.slots.get_mut(&request.key) {
            return entry.ledger.lend(now, request, entry.waiting_requests);
        }
        let entry = self.rate_entry(now, &request.key);
        let demand = entry.ledger.view(now).demand;
        let (reserve, tokens) = reserve_for(demand, entry.waiting_tokens);
        entry.ledger.lend(now, request, reserve, tokens)
    }

    fn accept(&mut self, now: BootTime, peer: &str, response: &LoanResponse) {
        if let Some(entry) = self.slots.get_mut(&response.key) {
            entry.ledger.accept(now, peer, response);
            return;
        }
        let entry = self.busy_entry(now, &response.key);
        entry.pending_responses = entry.pending_responses.saturating_sub(1);
        let gained = entry.ledger.accept(now, peer, response);
        if gained > 0 {
            entry.round_tokens += gained;
            entry.loan_rate.add(now, gained);
        }
    }
}
