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

/// `SettleClock` determines when generations have settled.
#[derive(Debug, Clone)]
pub struct SettleClock {
    wait: Duration,
    settled: Generation,
    // Generations that all members have in force, in ascending order.
    confirmed: VecDeque<ConfirmedGeneration>,
}

impl SettleClock {
    /// Creates a clock for loans that are sure to end within `wait`.
    pub fn new(wait: Duration) -> Self {
        Self {
            wait,
            settled: 0,
            confirmed: VecDeque::new(),
        }
    }

    /// Records the lowest generation that any member has in force at `now`; returns the latest
    /// settled one. A generation settles only if all members keep it without interruption.
    pub fn confirm(&mut self, now: BootTime, lowest: Generation) -> Generation {
        self.confirmed.retain(|known| known.generation <= lowest);
        let known = self.confirmed.back().map(|known| known.generation);
        if lowest > known.unwrap_or(self.settled) {
            self.confirmed.push_back(ConfirmedGeneration {
                generation: lowest,
                confirmed_at: now,
            });
        }
        while let Some(first) = self.confirmed.front() {
            if now.saturating_sub(first.confirmed_at) < self.wait {
                break;
            }
            self.settled = self.settled.max(first.generation);
            self.confirmed.pop_front();
        }
        self.settled
    }

    /// Records a generation that another member has found settled.
    pub fn learn(&mut self, generation: Generation) {
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
    fn a_generation_settles_after_the_wait() {
        let mut clock = SettleClock::new(SECOND * 4);
        assert_eq!(clock.confirm(SECOND, 3), 0);
        assert_eq!(clock.confirm(SECOND * 4, 3), 0);
        assert_eq!(clock.confirm(SECOND * 5, 3), 3);
    }

    #[test]
    fn later_generations_do_not_put_earlier_ones_off() {
        let mut clock = SettleClock::new(SECOND * 4);
        for second in 1..12_u32 {
            clock.confirm(SECOND * second, u64::from(second));
        }
        assert_eq!(clock.settled(), 7);
    }

    #[test]
    fn a_member_that_falls_behind_interrupts_the_wait() {
        let mut clock = SettleClock::new(SECOND * 4);
        clock.confirm(SECOND, 3);
        clock.confirm(SECOND * 2, 2);
        clock.confirm(SECOND * 3, 3);
        assert_eq!(clock.confirm(SECOND * 6, 3), 2);
        assert_eq!(clock.confirm(SECOND * 7, 3), 3);
    }
}
