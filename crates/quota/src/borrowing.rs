//! When loans of a rate are requested, for how much, and how often.

use crate::{
    amount::{MicroTokens, QuotaLimit, TOKEN, accrued, time_to_accrue},
    estimator::RateEstimator,
    loan::{LoanMessage, OutgoingMessage, QuotaKey},
    rate::{RateLedger, ShareView},
};
use fighall_core::ids::{BootTime, HostId};
use std::time::Duration;

/// Pause between two rounds of requests for the same quota while a response is missing, and
/// between all rounds for slots.
pub(crate) const REQUEST_PAUSE: Duration = Duration::from_millis(60);
/// Pause before the next round when all peers have responded to the last one.
const RESPONDED_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before the next round when the last one gained less than one token.
const MAX_EMPTY_PAUSE: Duration = Duration::from_millis(200);
/// Demand, in percent of the held rate, above which loans are requested ahead of need.
const BORROW_AHEAD_PERCENT: u64 = 95;
/// Rate that is requested, in percent of the demand; leaves headroom.
pub(crate) const REQUESTED_RATE_PERCENT: u64 = 125;
/// Time for which the requested capacity covers the demand.
pub(crate) const CAPACITY_WINDOW: Duration = Duration::from_millis(500);

/// `RateEntry` is the ledger of a rate, with the state of its loan requests.
#[derive(Debug)]
pub(crate) struct RateEntry {
    pub(crate) ledger: RateLedger,
    pub(crate) waiting_tokens: MicroTokens,
    pub(crate) requested_at: BootTime,
    pub(crate) request_rounds: u32,
    pub(crate) pending_responses: usize,
    // Tokens gained by the last round of requests.
    pub(crate) round_tokens: MicroTokens,
    // Consecutive rounds that gained less than one token each.
    pub(crate) empty_rounds: u32,
    // Rate at which loans add tokens.
    pub(crate) loan_rate: RateEstimator,
    // Whether the quota is listed in `QuotaLedgers::busy`.
    pub(crate) busy: bool,
}

pub(crate) fn needs_loan(now: BootTime, entry: &mut RateEntry) -> bool {
    let view = entry.ledger.view(now);
    if entry.waiting_tokens > view.tokens || should_borrow_ahead(&view) {
        return true;
    }
    entry.request_rounds = 0;
    entry.pending_responses = 0;
    entry.empty_rounds = 0;
    false
}

fn should_borrow_ahead(view: &ShareView) -> bool {
    let near_held_rate = view.demand > view.held.rate * BORROW_AHEAD_PERCENT / 100;
    let low_on_tokens = view.tokens < view.held.capacity / 2;
    near_held_rate && low_on_tokens && view.demand > TOKEN && view.held.rate < view.limit.rate
}

// Exponential backoff while all shares are spent, up to the time in which the fleet gains one
// token.
fn round_pause(entry: &RateEntry, limit: QuotaLimit) -> Duration {
    if entry.pending_responses > 0 {
        return REQUEST_PAUSE;
    }
    let token_time = time_to_accrue(limit.rate, TOKEN).unwrap_or(MAX_EMPTY_PAUSE);
    let max_pause = token_time.clamp(RESPONDED_PAUSE, MAX_EMPTY_PAUSE);
    let pause = RESPONDED_PAUSE * 2_u32.saturating_pow(entry.empty_rounds);
    pause.min(max_pause)
}

// While requests wait, every peer is asked for all missing tokens, since one host may hold all
// shares; any excess is returned soon. Ahead of need, each is asked for twice its equal portion.
pub(crate) fn request_loans(
    now: BootTime,
    key: &QuotaKey,
    entry: &mut RateEntry,
    peers: &[HostId],
    outgoing: &mut Vec<OutgoingMessage>,
) {
    let view = entry.ledger.view(now);
    let missing_tokens = entry.waiting_tokens.saturating_sub(view.tokens);
    let due = now.saturating_sub(entry.requested_at) >= round_pause(entry, view.limit);
    if !due || peers.is_empty() {
        return;
    }
    entry.requested_at = now;
    entry.request_rounds += 1;
    entry.pending_responses = peers.len();
    entry.empty_rounds = match entry.round_tokens {
        tokens if tokens < TOKEN && entry.request_rounds > 1 => {
            entry.empty_rounds.saturating_add(1)
        }
        _ => 0,
    };
    entry.round_tokens = 0;
    let rate = (view.demand * REQUESTED_RATE_PERCENT / 100).saturating_sub(view.held.rate);
    let capacity = accrued(view.demand, CAPACITY_WINDOW).saturating_sub(view.held.capacity);
    let peer_count = u64::try_from(peers.len()).unwrap_or(1);
    let portion = |amount: u64| {
        let part = (amount * 2).div_ceil(peer_count);
        if missing_tokens > 0 { amount } else { part }
    };
    let wanted = QuotaLimit {
        rate: portion(rate),
        capacity: portion(capacity).max(portion(missing_tokens)),
    };
    let tokens = portion(missing_tokens.max(capacity));
    for peer in peers {
        let request = entry.ledger.request(now, key, wanted, tokens);
        outgoing.push(OutgoingMessage::new(peer, LoanMessage::Request(request)));
    }
}
