//! Accounting of the memory that remote hosts make a process hold: connections, bodies and responses.

use event_listener::{Event, EventListener};
use snafu::Snafu;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Divisor of a budget that gives its spare part, which reservations of low priority leave free.
const SPARE_DIVISOR: usize = 8;

/// `ReservePriority` tells how much of a budget a reservation leaves free for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservePriority {
    /// Large bodies and bytes that are read ahead leave the spare part of the budget free.
    Low,
    /// Connections leave half of the spare part free.
    Normal,
    /// Requests with small bodies may use the whole budget.
    High,
}

/// `BudgetExceeded` is the error of a reservation for which the budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the memory budget is used up"))]
pub struct BudgetExceeded;

#[derive(Debug)]
struct BudgetState {
    available_bytes: AtomicUsize,
    spare_bytes: usize,
    parent: Option<MemoryBudget>,
    released: Event,
}

/// `MemoryBudget` limits the memory that a process holds for remote hosts.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    state: Arc<BudgetState>,
}

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self::with_parent(bytes, None)
    }

    /// Creates a budget of at most `bytes` of this one: what it reserves counts in both.
    pub fn share(&self, bytes: usize) -> Self {
        Self::with_parent(bytes, Some(self.clone()))
    }

    fn with_parent(bytes: usize, parent: Option<Self>) -> Self {
        Self {
            state: Arc::new(BudgetState {
                available_bytes: AtomicUsize::new(bytes),
                spare_bytes: bytes / SPARE_DIVISOR,
                parent,
                released: Event::new(),
            }),
        }
    }

    /// Gets the number of bytes that are not reserved.
    pub fn available_bytes(&self) -> usize {
        self.state.available_bytes.load(Ordering::Relaxed)
    }

    /// Returns a listener for the next release of bytes.
    pub fn listen_release(&self) -> EventListener {
        self.state.released.listen()
    }

    fn take(&self, bytes: usize, priority: ReservePriority) -> Result<(), BudgetExceeded> {
        let state = &self.state;
        let spare_bytes = match priority {
            ReservePriority::Low => state.spare_bytes,
            ReservePriority::Normal => state.spare_bytes / 2,
            ReservePriority::High => 0,
        };
        let subtract = |available_bytes: usize| {
            let left = available_bytes.checked_sub(bytes)?;
            (left >= spare_bytes).then_some(left)
        };
        state
            .available_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract)
            .map_err(|_| BudgetExceeded)?;
        if let Some(parent) = &state.parent
            && let Err(error) = parent.take(bytes, priority)
        {
            state.available_bytes.fetch_add(bytes, Ordering::Relaxed);
            return Err(error);
        }
        Ok(())
    }

    fn give_back(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let state = &self.state;
        state.available_bytes.fetch_add(bytes, Ordering::Relaxed);
        state.released.notify(usize::MAX);
        if let Some(parent) = &state.parent {
            parent.give_back(bytes);
        }
    }
}

/// `ReservedBytes` are bytes of a budget; they are released on drop.
#[derive(Debug)]
pub struct ReservedBytes {
    budget: MemoryBudget,
    bytes: usize,
}

impl ReservedBytes {
    /// Creates an empty reservation.
    pub fn new(budget: &MemoryBudget) -> Self {
        Self {
            budget: budget.clone(),
            bytes: 0,
        }
    }

    /// Gets the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves further bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has no room; the reservation is unchanged.
    pub fn grow(&mut self, bytes: usize, priority: ReservePriority) -> Result<(), BudgetExceeded> {
        self.budget.take(bytes, priority)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Releases a part of the reserved bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let released = bytes.min(self.bytes);
        self.bytes -= released;
        self.budget.give_back(released);
    }
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.budget.give_back(self.bytes);
    }
}
