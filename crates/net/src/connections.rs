//! Open connections of a process: their number and memory are limited, and under pressure those that wait longest for
//! their client are closed first.

use crate::{
    memory::{BudgetExceeded, MemoryBudget, ReservePriority, ReservedBytes},
    stream::READ_SIZE,
};
use event_listener::Event;
use futures_util::{FutureExt, pin_mut, select_biased};
use rustix::process::{Resource, getrlimit};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    future::Future,
    rc::Rc,
    time::Duration,
};

/// Memory of an open connection without its read-ahead buffer, in bytes.
const CONNECTION_BYTES: usize = 20 * 1_024;
/// Divisor of the descriptors of a process that gives its largest number of connections of clients. The rest is left
/// to connections to targets, other hosts and the store.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Memory for connections without a configured one, in bytes.
const DEFAULT_BUDGET_BYTES: usize = 192 << 20;
/// Longest time to wait for the end of a connection that was closed to make room.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of calls of [`ConnectionTable::mark_time`] without progress after which a connection is stalled.
const STALL_MARKS: usize = 3;
/// Size up to which the memory of a body is reserved with high priority, in bytes.
const SMALL_BODY_BYTES: usize = 16 * 1_024;

/// `ConnectionPhase` is what a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// For the client's next request.
    Idle,
    /// For the rest of a request.
    Receiving,
    /// For the response to a complete request.
    Serving,
}

/// `TableOptions` are the limits of a process's connections.
#[derive(Debug, Clone)]
pub struct TableOptions {
    /// Memory for connections and for what clients send on them.
    pub budget: MemoryBudget,
    /// Largest number of open connections.
    pub max_connections: usize,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            budget: MemoryBudget::new(DEFAULT_BUDGET_BYTES),
            max_connections: max_connections(usize::MAX),
        }
    }
}

/// Gets the largest number of connections of clients in a process that may open `max_descriptors`, or fewer if the
/// operating system allows fewer.
pub fn max_connections(max_descriptors: usize) -> usize {
    let allowed = getrlimit(Resource::Nofile).current;
    let allowed = allowed.map_or(usize::MAX, |allowed| {
        usize::try_from(allowed).unwrap_or(usize::MAX)
    });
    (max_descriptors.min(allowed) / DESCRIPTOR_DIVISOR).max(1)
}

/// `TableCounts` are the numbers of connections that were closed or rejected for want of room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TableCounts {
    /// Open connections that were closed.
    pub evicted: u64,
    /// New connections that were closed at once.
    pub rejected: u64,
}

/// `ConnectionTable` holds the open connections of all listeners of a process.
#[derive(Debug)]
pub struct ConnectionTable {
    options: TableOptions,
    connections: RefCell<BTreeMap<u64, Rc<OpenConnection>>>,
    opened_count: Cell<u64>,
    // Increases with each progress of any connection.
    progress: Rc<Cell<u64>>,
    // Values of `progress` at the latest marks, the oldest first.
    marks: RefCell<VecDeque<u64>>,
    counts: Cell<TableCounts>,
}

/// `OpenConnection` is the state of one connection.
pub struct OpenConnection {
    table_progress: Rc<Cell<u64>>,
    progress: Cell<u64>,
    phase: RefCell<Box<dyn Fn() -> ConnectionPhase>>,
    write_blocked: Cell<bool>,
    evicted: Cell<bool>,
    eviction: Event,
    reserved: RefCell<ReservedBytes>,
}

impl std::fmt::Debug for OpenConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OpenConnection")
            .field("progress", &self.progress)
            .field("evicted", &self.evicted)
            .finish_non_exhaustive()
    }
}

impl OpenConnection {
    /// Sets how to determine what the connection waits for.
    pub fn set_phase(&self, phase: impl Fn() -> ConnectionPhase + 'static) {
        *self.phase.borrow_mut() = Box::new(phase);
    }

    /// Records that bytes were read or written.
    pub(crate) fn record_progress(&self) {
        let progress = self.table_progress.get() + 1;
        self.table_progress.set(progress);
        self.progress.set(progress);
    }

    /// Records whether the last write waits for the client to read.
    pub(crate) fn set_write_blocked(&self, write_blocked: bool) {
        self.write_blocked.set(write_blocked);
    }

    /// Reserves the memory of the connection's read-ahead buffer, of which one read is part of every connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget has no room.
    pub(crate) fn set_buffer_bytes(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        let mut reserved = self.reserved.borrow_mut();
        let target_bytes = CONNECTION_BYTES + bytes.saturating_sub(READ_SIZE);
        let held_bytes = reserved.bytes();
        if target_bytes > held_bytes {
            return reserved.grow(target_bytes - held_bytes, ReservePriority::Low);
        }
        reserved.shrink(held_bytes - target_bytes);
        Ok(())
    }

    /// Completes when the connection has to close.
    pub async fn evicted(&self) {
        loop {
            let eviction = self.eviction.listen();
            if self.evicted.get() {
                return;
            }
            eviction.await;
        }
    }

    fn evict(&self) {
        self.evicted.set(true);
        self.eviction.notify(usize::MAX);
    }
}

/// `ConnectionSlot` is the place of an open connection in the table; it is given back on drop.
#[derive(Debug)]
pub struct ConnectionSlot {
    table: Rc<ConnectionTable>,
    number: u64,
    connection: Rc<OpenConnection>,
}

impl ConnectionSlot {
    /// Gets the number of the connection, unique in its table.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Gets the state of the connection.
    pub fn connection(&self) -> &Rc<OpenConnection> {
        &self.connection
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.table.connections.borrow_mut().remove(&self.number);
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(options: TableOptions) -> Rc<Self> {
        Rc::new(Self {
            options,
            connections: RefCell::new(BTreeMap::new()),
            opened_count: Cell::new(0),
            progress: Rc::new(Cell::new(0)),
            marks: RefCell::new(VecDeque::new()),
            counts: Cell::new(TableCounts::default()),
        })
    }

    /// Gets the memory budget that connections and bodies share.
    pub fn budget(&self) -> &MemoryBudget {
        &self.options.budget
    }

    /// Gets the numbers of connections that were closed or rejected for want of room.
    pub fn counts(&self) -> TableCounts {
        self.counts.get()
    }

    /// Marks the passing of time; called at regular intervals. A connection without progress since the third last mark
    /// is stalled.
    pub fn mark_time(&self) {
        let mut marks = self.marks.borrow_mut();
        if marks.len() >= STALL_MARKS {
            marks.pop_front();
        }
        marks.push_back(self.progress.get());
    }

    /// Adds a new connection. If there is no room, the connection that waits longest for its client is closed; returns
    /// nothing if none does.
    pub async fn admit(self: &Rc<Self>) -> Option<ConnectionSlot> {
        let slot = self
            .wait_for_room(|| self.try_admit(), Self::may_be_replaced)
            .await;
        if slot.is_none() {
            self.count(|counts| counts.rejected += 1);
        }
        slot
    }

    /// Closes the connection that waits longest for its client, because the process has no descriptor left.
    pub fn free_descriptor(&self) {
        if !self.awaits_eviction() {
            self.evict_longest_waiting(Self::may_be_replaced);
        }
    }

    /// Reserves further bytes of a body of which `reserved` is held. If there is no room, a stalled connection with an
    /// incomplete request or an unread response is closed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room and no such connection.
    pub async fn reserve_body(
        &self,
        reserved: &mut ReservedBytes,
        bytes: usize,
    ) -> Result<(), BudgetExceeded> {
        let priority = if reserved.bytes() + bytes <= SMALL_BODY_BYTES {
            ReservePriority::High
        } else {
            ReservePriority::Low
        };
        let mut try_reserve = || reserved.grow(bytes, priority).ok();
        let reserved = self.wait_for_room(&mut try_reserve, Self::holds_stalled_bytes);
        reserved.await.ok_or(BudgetExceeded)
    }

    // Calls `attempt` until it succeeds, with one connection less each time. Returns nothing once no connection that
    // `may_close` is left.
    async fn wait_for_room<T>(
        &self,
        mut attempt: impl FnMut() -> Option<T>,
        may_close: impl Fn(&Self, &OpenConnection) -> bool,
    ) -> Option<T> {
        loop {
            let released = self.options.budget.listen_release();
            if let Some(result) = attempt() {
                return Some(result);
            }
            if !self.awaits_eviction() && !self.evict_longest_waiting(&may_close) {
                return None;
            }
            let _ = compio::time::timeout(RELEASE_TIMEOUT, released).await;
        }
    }

    fn try_admit(self: &Rc<Self>) -> Option<ConnectionSlot> {
        if self.connections.borrow().len() >= self.options.max_connections {
            return None;
        }
        let mut reserved = ReservedBytes::new(&self.options.budget);
        reserved
            .grow(CONNECTION_BYTES, ReservePriority::Normal)
            .ok()?;
        let number = self.opened_count.get() + 1;
        self.opened_count.set(number);
        let connection = Rc::new(OpenConnection {
            table_progress: Rc::clone(&self.progress),
            progress: Cell::new(0),
            phase: RefCell::new(Box::new(|| ConnectionPhase::Idle)),
            write_blocked: Cell::new(false),
            evicted: Cell::new(false),
            eviction: Event::new(),
            reserved: RefCell::new(reserved),
        });
        connection.record_progress();
        let mut connections = self.connections.borrow_mut();
        connections.insert(number, Rc::clone(&connection));
        Some(ConnectionSlot {
            table: Rc::clone(self),
            number,
            connection,
        })
    }

    // Whether a connection was chosen to close and is still open.
    fn awaits_eviction(&self) -> bool {
        let connections = self.connections.borrow();
        connections
            .values()
            .any(|connection| connection.evicted.get())
    }

    fn evict_longest_waiting(&self, may_close: impl Fn(&Self, &OpenConnection) -> bool) -> bool {
        let connections = self.connections.borrow();
        let candidates = connections
            .values()
            .filter(|connection| may_close(self, connection));
        let Some(connection) = candidates.min_by_key(|connection| connection.progress.get()) else {
            return false;
        };
        connection.evict();
        self.count(|counts| counts.evicted += 1);
        true
    }

    // A connection that waits for its client may be closed for a new one.
    fn may_be_replaced(&self, connection: &OpenConnection) -> bool {
        if connection.write_blocked.get() {
            return self.is_stalled(connection);
        }
        let phase = connection.phase.borrow();
        phase() != ConnectionPhase::Serving
    }

    // Whether memory is held for a client that neither sends nor reads.
    fn holds_stalled_bytes(&self, connection: &OpenConnection) -> bool {
        let phase = connection.phase.borrow();
        let holds_bytes = connection.write_blocked.get() || phase() == ConnectionPhase::Receiving;
        holds_bytes && self.is_stalled(connection)
    }

    fn is_stalled(&self, connection: &OpenConnection) -> bool {
        let marks = self.marks.borrow();
        let oldest = marks.front().filter(|_| marks.len() >= STALL_MARKS);
        oldest.is_some_and(|oldest| connection.progress.get() <= *oldest)
    }

    fn count(&self, change: impl FnOnce(&mut TableCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

/// Runs the task of a connection until it ends or the connection has to close.
pub async fn run_until_evicted(slot: ConnectionSlot, task: impl Future<Output = ()>) {
    let task = task.fuse();
    let evicted = slot.connection.evicted().fuse();
    pin_mut!(task, evicted);
    select_biased! {
        () = task => {}
        () = evicted => {}
    }
}
