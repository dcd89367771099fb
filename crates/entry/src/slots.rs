//! Slots of targets in use by requests, and requests that wait for one.

use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    event::RunnerUp,
    ids::{BootTime, RegionId, ServiceId, TargetId},
};
use fighall_quota::slots::SlotPermit;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// `UsedSlot` is a slot on its way back.
#[derive(Debug)]
pub(crate) struct UsedSlot {
    pub(crate) service: ServiceId,
    pub(crate) target: TargetId,
    pub(crate) ticket: SlotPermit,
    pub(crate) held: Duration,
}

/// `SlotEvent` is what the holder of a slot tells of it.
#[derive(Debug)]
pub(crate) enum SlotEvent {
    /// The target served the request, with the time to the answer's head.
    Succeeded(Duration),
    /// The target failed the request.
    Failed,
    /// The request has ended at the target.
    Released(UsedSlot),
    /// The request was cancelled while the target was at work on it.
    Cancelled(UsedSlot),
}

/// Takes in what happens to a slot of the named target.
pub(crate) type SlotWatcher = Box<dyn Fn(&str, SlotEvent)>;

/// `SlotLease` is a slot of a target in use by one request. Dropping it gives the slot free.
pub struct SlotLease {
    pub(crate) watcher: SlotWatcher,
    /// Target.
    pub target: TargetId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Region of the target.
    pub region: RegionId,
    /// Most connections to the target from this host.
    pub connections: u32,
    /// Why this target.
    pub reason: String,
    /// Candidates that lost.
    pub runners_up: Vec<RunnerUp>,
    pub(crate) service: ServiceId,
    pub(crate) ticket: Option<SlotPermit>,
    pub(crate) taken_at: BootTime,
    pub(crate) cancelled: Cell<bool>,
}

impl std::fmt::Debug for SlotLease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SlotLease")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl SlotLease {
    /// Notes that the target served the request, with the time to the answer's head.
    pub fn note_success(&self, latency: Duration) {
        (self.watcher)(&self.target, SlotEvent::Succeeded(latency));
    }

    /// Notes that the request is cancelled while the target is at work on it.
    pub fn note_cancelled(&self) {
        self.cancelled.set(true);
    }

    /// Notes that the target failed the request.
    pub fn note_failure(&self) {
        (self.watcher)(&self.target, SlotEvent::Failed);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let held = boot_time().saturating_sub(self.taken_at);
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let slot = UsedSlot {
            service: self.service.clone(),
            target: self.target.clone(),
            ticket,
            held,
        };
        let event = if self.cancelled.get() {
            SlotEvent::Cancelled(slot)
        } else {
            SlotEvent::Released(slot)
        };
        (self.watcher)(&self.target, event);
    }
}

#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) organisation: String,
    pub(crate) weight: u64,
    pub(crate) deadline: BootTime,
    pub(crate) tried: Vec<TargetId>,
    pub(crate) affinity: Option<String>,
    pub(crate) lease: RefCell<Option<SlotLease>>,
    pub(crate) gone: Cell<bool>,
    pub(crate) evicted: Cell<bool>,
    pub(crate) ready: Event,
}

// Marks a waiter as gone when its request ends, so that no slot is handed to it.
pub(crate) struct WaiterGuard(pub(crate) Rc<Waiter>);

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.gone.set(true);
    }
}
