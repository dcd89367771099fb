//! Turns: what a task does from one wait to the next. While it lasts, no other task of its thread runs.

use futures_util::future::poll_fn;
use std::{
    cell::RefCell,
    task::{Context, Poll},
};

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

/// `TaskTurn` bounds what a task does for one subject before it gives way to others, and counts what it does until it
/// has to wait for more.
#[derive(Debug)]
pub struct TaskTurn {
    max_units: usize,
    turn_units: usize,
    units: u64,
    recorded_units: u64,
}

impl TaskTurn {
    /// Creates a turn of `max_units` bytes or items.
    pub fn new(max_units: usize) -> Self {
        Self {
            max_units,
            turn_units: 0,
            units: 0,
            recorded_units: 0,
        }
    }

    /// Polls whether the task may go on. At the end of its turn it is woken again, behind the tasks that are ready by
    /// then.
    pub fn poll_proceed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.turn_units < self.max_units {
            return Poll::Ready(());
        }
        self.turn_units = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Waits until the task may go on.
    pub async fn proceed(&mut self) {
        poll_fn(|cx| self.poll_proceed(cx)).await;
    }

    /// Counts bytes or items that were processed. `describe` describes the subject.
    pub fn count(&mut self, units: usize, describe: impl FnOnce() -> String) {
        self.turn_units = self.turn_units.saturating_add(units);
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
        *self = Self::new(self.max_units);
    }
}
