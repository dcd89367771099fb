//! Retry budgets: the attempts that all hosts together may send beyond the first one of each request.
//! Each host keeps to its share without coordination.

use fighall_core::{ids::BootTime, value};
use std::{collections::VecDeque, time::Duration};

/// Number of slots into which the sliding window is divided.
const WINDOW_SLOTS: u32 = 10;
/// Number of slots within which a request's addition to the budget has to be used.
const CREDIT_SLOTS: u32 = 5;

value! {
    /// `RetryOptions` are the limits on this host's retries for a service.
    #[derive(Copy)]
    pub struct RetryOptions {
        /// Retries per request of a caller.
        pub ratio: f64,
        /// This host's share of the retries per window beyond the ratio.
        pub slack: f64,
        /// Sliding window in which requests and retries are counted.
        pub window: Duration,
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct WindowSlot {
    index: u128,
    requests: u32,
    retries: u32,
    // Retries that the requests added to the budget and that were not used.
    credit: f64,
    slack_used: f64,
}

/// `RetryBudget` is this host's share of the retry budget of one service.
///
/// What a request adds expires after half a window. Otherwise the requests of the window before a fault could pay for
/// retries at one host, and those of the next window for as many at the host to which the callers have moved.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slots: VecDeque<WindowSlot>,
}

impl RetryBudget {
    /// Counts a caller's request, which adds to the budget.
    pub fn count_request(&mut self, now: BootTime, options: &RetryOptions) {
        let slot = self.current_slot(now, options);
        slot.requests += 1;
        slot.credit += options.ratio;
    }

    /// Takes a retry from the budget. Returns false if none is left.
    pub fn take(&mut self, now: BootTime, options: &RetryOptions) -> bool {
        let current = self.current_slot(now, options).index;
        let slack = (options.slack - self.slack_used()).max(0.0);
        if self.credit(current) + slack < 1.0 {
            return false;
        }
        let mut due = 1.0;
        for slot in &mut self.slots {
            if is_expired(slot, current) {
                continue;
            }
            let used = slot.credit.min(due);
            slot.credit -= used;
            due -= used;
        }
        let slot = self.current_slot(now, options);
        slot.slack_used += due;
        slot.retries += 1;
        true
    }

    /// Describes the state of the budget for logs.
    pub fn describe(&self, now: BootTime, options: &RetryOptions) -> String {
        let (mut requests, mut retries) = (0, 0);
        for slot in &self.slots {
            requests += slot.requests;
            retries += slot.retries;
        }
        let current = now.as_nanos() / slot_length(options).as_nanos();
        format!(
            "{retries} retries for {requests} requests, {:.3} for each, {:.1} left, and {:.1} left of a slack of {:.1}",
            options.ratio,
            self.credit(current),
            options.slack - self.slack_used(),
            options.slack,
        )
    }

    // Gets the retries that requests have added and that may still be used.
    fn credit(&self, current: u128) -> f64 {
        let slots = self.slots.iter().filter(|slot| !is_expired(slot, current));
        slots.map(|slot| slot.credit).sum()
    }

    fn slack_used(&self) -> f64 {
        self.slots.iter().map(|slot| slot.slack_used).sum()
    }

    // Gets the current slot and drops expired ones. The window covers its oldest slot only in part, so one
    // slot more is kept.
    fn current_slot(&mut self, now: BootTime, options: &RetryOptions) -> &mut WindowSlot {
        let index = now.as_nanos() / slot_length(options).as_nanos();
        let oldest = index.saturating_sub(u128::from(WINDOW_SLOTS));
        while self.slots.front().is_some_and(|slot| slot.index < oldest) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.index != index) {
            self.slots.push_back(WindowSlot {
                index,
                ..WindowSlot::default()
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}

fn slot_length(options: &RetryOptions) -> Duration {
    (options.window / WINDOW_SLOTS).max(Duration::from_millis(1))
}

fn is_expired(slot: &WindowSlot, current: u128) -> bool {
    slot.index + u128::from(CREDIT_SLOTS) <= current
}

/// `HostCounts` holds the highest number of registered hosts within a sliding window.
#[derive(Debug, Default)]
pub struct HostCounts {
    // Counts that no later one exceeds, with the time of the last record of each: the highest comes first.
    counts: VecDeque<(BootTime, u32)>,
}

impl HostCounts {
    /// Records the number of hosts.
    pub fn record(&mut self, now: BootTime, window: Duration, hosts: usize) {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        while self.counts.back().is_some_and(|(_, count)| *count <= hosts) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, hosts));
        let oldest = now.saturating_sub(window);
        while self.counts.front().is_some_and(|(at, _)| *at < oldest) {
            self.counts.pop_front();
        }
    }

    /// Gets the highest number within the window, at least 1.
    pub fn highest(&self) -> u32 {
        self.counts.front().map_or(1, |(_, count)| *count).max(1)
    }
}
