//! Slots of targets in use by requests, and requests that wait for one.

use crate::targets::TargetService;
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    event::RunnerUp,
    ids::{BootTime, RegionId, ServiceId, TargetId},
};
use fighall_quota::slots::SlotTicket;
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
    pub(crate) ticket: SlotTicket,
    pub(crate) held: Duration,
}

/// `SlotLease` is a slot of a target in use by one request. Dropping it gives the slot free.
#[derive(Debug)]
pub struct SlotLease {
    pub(crate) targets: Rc<TargetService>,
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
    pub(crate) ticket: Option<SlotTicket>,
    pub(crate) taken_at: BootTime,
    pub(crate) cancelled: Cell<bool>,
}

impl SlotLease {
    /// Notes that the target served the request, with the time to the answer's head.
    pub fn note_success(&self, latency: Duration) {
        self.targets.note_success(&self.target, latency);
    }

    /// Notes that the request is cancelled while the target is at work on it.
    pub fn note_cancelled(&self) {
        self.cancelled.set(true);
    }

    /// Notes that the target failed the request.
    pub fn note_failure(&self) {
        self.targets.note_failure(&self.target);
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
        if self.cancelled.get() {
            self.targets.release_later(slot);
        } else {
            self.targets.release(slot);
        }
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
