//! When loans of rates are asked for, how much, and how often.

use crate::{
    amount::{MicroTokens, QuotaLimit, TOKEN, gain, time_for},
    demand::DemandRate,
    loan::{LoanMessage, OutgoingLoan, QuotaKey},
    rate::{RateLedger, ShareView},
};
use fighall_core::ids::{BootTime, HostId};
use std::time::Duration;

/// Longest pause between two rounds of asking for the same quota.
pub(crate) const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Pause before the next round when all have answered the last one.
const ANSWERED_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before the next round when the last one brought nothing.
const EMPTY_PAUSE_LIMIT: Duration = Duration::from_millis(200);
/// Part of the held rate, in percent, at which more is asked for ahead of need.
const ASK_AHEAD_PERCENT: u64 = 95;
/// Headroom on the demand that is asked for, in percent.
pub(crate) const ASK_MORE_PERCENT: u64 = 125;
/// Demand for this long fits into the capacity that is asked for.
pub(crate) const CAPACITY_TIME: Duration = Duration::from_millis(500);

/// `RateEntry` is a rate in a book, with what is asked for.
#[derive(Debug)]
pub(crate) struct RateEntry {
    pub(crate) ledger: RateLedger,
    pub(crate) waiting: MicroTokens,
    pub(crate) asked_at: BootTime,
    pub(crate) rounds: u32,
    pub(crate) open_asks: usize,
    // Tokens that the last round of asking brought, and the rounds in a row without a whole one.
    pub(crate) round_gain: MicroTokens,
    pub(crate) empty_rounds: u32,
    // Tokens that loans bring, as a rate.
    pub(crate) gained: DemandRate,
    // Whether the quota is listed as busy.
    pub(crate) busy: bool,
}

pub(crate) fn wants_loan(now: BootTime, entry: &mut RateEntry) -> bool {
    let view = entry.ledger.view(now);
    if entry.waiting > view.tokens || wants_ahead(&view) {
        return true;
    }
    entry.rounds = 0;
    entry.open_asks = 0;
    entry.empty_rounds = 0;
    false
}

fn wants_ahead(view: &ShareView) -> bool {
    let near = view.demand > view.held.rate * ASK_AHEAD_PERCENT / 100;
    let low = view.tokens < view.held.capacity / 2;
    near && low && view.demand > TOKEN && view.held.rate < view.limit.rate
}

// Rounds that find every share spent follow each other ever more slowly, up to the time in which
// the fleet gains a token.
fn round_pause(entry: &RateEntry, limit: QuotaLimit) -> Duration {
    if entry.open_asks > 0 {
        return ASK_PAUSE;
    }
    let refill = time_for(limit.rate, TOKEN).unwrap_or(EMPTY_PAUSE_LIMIT);
    let longest = refill.clamp(ANSWERED_PAUSE, EMPTY_PAUSE_LIMIT);
    let pause = ANSWERED_PAUSE * 2_u32.saturating_pow(entry.empty_rounds);
    pause.min(longest)
}

// While requests wait, every peer is asked for all that is missing, since shares may all lie with
// one host; what proves too much goes back soon. Ahead of need, each is asked for twice its part.
pub(crate) fn ask_rate(
    now: BootTime,
    key: &QuotaKey,
    entry: &mut RateEntry,
    peers: &[HostId],
    outgoing: &mut Vec<OutgoingLoan>,
) {
    let view = entry.ledger.view(now);
    let missing_tokens = entry.waiting.saturating_sub(view.tokens);
    let due = now.saturating_sub(entry.asked_at) >= round_pause(entry, view.limit);
    if !due || peers.is_empty() {
        return;
    }
    entry.asked_at = now;
    entry.rounds += 1;
    entry.open_asks = peers.len();
    entry.empty_rounds = match entry.round_gain {
        gain if gain < TOKEN && entry.rounds > 1 => entry.empty_rounds.saturating_add(1),
        _ => 0,
    };
    entry.round_gain = 0;
    let rate = (view.demand * ASK_MORE_PERCENT / 100).saturating_sub(view.held.rate);
    let capacity = gain(view.demand, CAPACITY_TIME).saturating_sub(view.held.capacity);
    let count = u64::try_from(peers.len()).unwrap_or(1);
    let portion = |amount: u64| {
        let part = (amount * 2).div_ceil(count);
        if missing_tokens > 0 { amount } else { part }
    };
    let wanted = QuotaLimit {
        rate: portion(rate),
        capacity: portion(capacity).max(portion(missing_tokens)),
    };
    let tokens = portion(missing_tokens.max(capacity));
    for peer in peers {
        let ask = entry.ledger.ask(now, key, wanted, tokens);
        outgoing.push(OutgoingLoan::new(peer, LoanMessage::Ask(ask)));
    }
}
