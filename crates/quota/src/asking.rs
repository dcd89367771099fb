//! When loans of a rate are requested, for how much, and how often.

use crate::{
    amount::{MicroTokens, QuotaLimit, TOKEN, gain, time_for},
    demand::DemandRate,
    loan::{LoanMessage, OutgoingLoan, QuotaKey},
    rate::{RateLedger, ShareView},
};
use fighall_core::ids::{BootTime, HostId};
use std::time::Duration;

/// Pause between two rounds of requests for the same quota while a response is missing.
pub(crate) const ASK_PAUSE: Duration = Duration::from_millis(60);
/// Pause before the next round when all peers have responded to the last one.
const ANSWERED_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before the next round when the last one gained less than one token.
const EMPTY_PAUSE_LIMIT: Duration = Duration::from_millis(200);
/// Demand, in percent of the held rate, above which loans are requested ahead of need.
const ASK_AHEAD_PERCENT: u64 = 95;
/// Rate that is requested, in percent of the demand; leaves headroom.
pub(crate) const ASK_MORE_PERCENT: u64 = 125;
/// Time for which the requested capacity covers the demand.
pub(crate) const CAPACITY_TIME: Duration = Duration::from_millis(500);

/// `RateEntry` is the ledger of a rate, with the state of its loan requests.
#[derive(Debug)]
pub(crate) struct RateEntry {
    pub(crate) ledger: RateLedger,
    pub(crate) waiting: MicroTokens,
    pub(crate) asked_at: BootTime,
    pub(crate) rounds: u32,
    pub(crate) open_asks: usize,
    // Tokens gained by the last round of requests.
    pub(crate) round_gain: MicroTokens,
    // Consecutive rounds that gained less than one token each.
    pub(crate) empty_rounds: u32,
    // Rate at which loans add tokens.
    pub(crate) gained: DemandRate,
    // Whether the quota is listed in `QuotaBook::busy`.
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

// Exponential backoff while all shares are spent, up to the time in which the fleet gains one
// token.
fn round_pause(entry: &RateEntry, limit: QuotaLimit) -> Duration {
    if entry.open_asks > 0 {
        return ASK_PAUSE;
    }
    let refill = time_for(limit.rate, TOKEN).unwrap_or(EMPTY_PAUSE_LIMIT);
    let longest = refill.clamp(ANSWERED_PAUSE, EMPTY_PAUSE_LIMIT);
    let pause = ANSWERED_PAUSE * 2_u32.saturating_pow(entry.empty_rounds);
    pause.min(longest)
}

// While requests wait, every peer is asked for all missing tokens, since one host may hold all
// shares; any excess is returned soon. Ahead of need, each is asked for twice its equal part.
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
