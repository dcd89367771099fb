//! Detects when a generation of limits has settled: every member has it in force, and every loan
//! of earlier generations has ended.

use fighall_core::{
    ids::{BootTime, Generation},
    message,
};
use std::{collections::VecDeque, time::Duration};

message! {
    /// `SettledGenerations` are the latest generations that have settled, as exchanged between
    /// hosts. Slots settle later than rates, since their loans last longer.
    #[derive(Copy, Eq, Default)]
    pub struct SettledGenerations {
        /// Settled generation for request rates and link bandwidth.
        pub rates: Generation,
        /// Settled generation for slots.
        pub slots: Generation,
    }
}

impl SettledGenerations {
    /// Returns the component-wise maximum.
    pub fn max(self, other: Self) -> Self {
        Self {
            rates: self.rates.max(other.rates),
            slots: self.slots.max(other.slots),
        }
    }
}

#[derive(Debug, Clone)]
struct ConfirmedGeneration {
    generation: Generation,
    confirmed_at: BootTime,
}

/// `GenerationTracker` determines when generations have settled.
#[derive(Debug, Clone)]
pub struct GenerationTracker {
    settle_time: Duration,
    settled: Generation,
    // Generations that all members have in force, in ascending order.
    confirmed: VecDeque<ConfirmedGeneration>,
}

impl GenerationTracker {
    /// Creates a tracker for loans that are sure to end within `settle_time`.
    pub fn new(settle_time: Duration) -> Self {
        Self {
            settle_time,
            settled: 0,
            confirmed: VecDeque::new(),
        }
    }

    /// Records the lowest generation that any member has in force at `now`; returns the latest
    /// settled one. A generation settles only if all members keep it without interruption.
    pub fn confirm(&mut self, now: BootTime, lowest: Generation) -> Generation {
        self.confirmed.retain(|entry| entry.generation <= lowest);
        let latest = self.confirmed.back().map(|entry| entry.generation);
        if lowest > latest.unwrap_or(self.settled) {
            self.confirmed.push_back(ConfirmedGeneration {
                generation: lowest,
                confirmed_at: now,
            });
        }
        while let Some(first) = self.confirmed.front() {
            if now.saturating_sub(first.confirmed_at) < self.settle_time {
                break;
            }
            self.settled = self.settled.max(first.generation);
            self.confirmed.pop_front();
        }
        self.settled
    }

    /// Records a generation that another member has found settled.
    pub fn record_settled(&mut self, generation: Generation) {
        self.settled = self.settled.max(generation);
    }

    /// Returns the latest settled generation, or 0 if there is none.
    pub fn settled(&self) -> Generation {
        self.settled
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn a_generation_settles_after_the_settle_time() {
        let mut tracker = GenerationTracker::new(SECOND * 4);
        assert_eq!(tracker.confirm(SECOND, 3), 0);
        assert_eq!(tracker.confirm(SECOND * 4, 3), 0);
        assert_eq!(tracker.confirm(SECOND * 5, 3), 3);
    }

    #[test]
    fn later_generations_do_not_delay_earlier_ones() {
        let mut tracker = GenerationTracker::new(SECOND * 4);
        for second in 1..12_u32 {
            tracker.confirm(SECOND * second, u64::from(second));
        }
        assert_eq!(tracker.settled(), 7);
    }

    #[test]
    fn a_member_that_falls_behind_restarts_the_settle_time() {
        let mut tracker = GenerationTracker::new(SECOND * 4);
        tracker.confirm(SECOND, 3);
        tracker.confirm(SECOND * 2, 2);
        tracker.confirm(SECOND * 3, 3);
        assert_eq!(tracker.confirm(SECOND * 6, 3), 2);
        assert_eq!(tracker.confirm(SECOND * 7, 3), 3);
    }
}
