//! Turns: what a task does from one wait to the next. While it lasts, no other task of its thread runs.

use std::cell::RefCell;

/// Number of bytes or items without a wait from which on a task is recorded.
const BUSY_UNITS: u64 = 1 << 20;

/// `BusyTask` is a task that found more to do each time it looked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BusyTask {
    /// What the task works on, such as a connection with its peer.
    pub subject: String,
    /// Number of bytes or items since it last had to wait for more.
    pub units: u64,
}

thread_local! {
    static BUSIEST: RefCell<Option<BusyTask>> = const { RefCell::new(None) };
}

/// Takes the busiest task of this thread since the last call.
pub fn take_busiest() -> Option<BusyTask> {
    BUSIEST.take()
}

/// `TaskTurn` counts what a task does for one subject until it has to wait for more.
#[derive(Debug, Default)]
pub struct TaskTurn {
    units: u64,
    recorded_units: u64,
}

impl TaskTurn {
    /// Counts bytes or items that were processed. `describe` describes the subject.
    pub fn count(&mut self, units: usize, describe: impl FnOnce() -> String) {
        let units = u64::try_from(units).unwrap_or(u64::MAX);
        self.units = self.units.saturating_add(units);
        if self.units < BUSY_UNITS.max(self.recorded_units.saturating_mul(2)) {
            return;
        }
        self.recorded_units = self.units;
        BUSIEST.with_borrow_mut(|busiest| {
            if busiest.as_ref().is_none_or(|task| task.units < self.units) {
                *busiest = Some(BusyTask {
                    subject: describe(),
                    units: self.units,
                });
            }
        });
    }

    /// Records that the task has to wait for more.
    pub fn wait(&mut self) {
        *self = Self::default();
    }
}
