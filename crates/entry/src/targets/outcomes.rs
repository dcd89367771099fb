//! What requests, probes and peers say of targets, and slots on their way back.

use super::TargetService;
use crate::slots::{SlotEvent, UsedSlot};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::BootTime,
};
use fighall_peer::message::TargetUse;
use fighall_route::target_table::TargetReport;
use std::{rc::Rc, time::Duration};

/// Time within which a target notices that a request was cancelled.
const CANCEL_TIME: Duration = Duration::from_millis(20);
/// Weight of a new service time in the moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

#[derive(Debug)]
pub(super) struct CancelledSlot {
    slot: UsedSlot,
    free_at: BootTime,
}

impl TargetService {
    /// Takes in a peer's use of targets.
    pub fn take_reports(&self, peer: &str, uses: &[TargetUse]) {
        let mut reports = Vec::new();
        for used in uses {
            reports.push(TargetReport {
                target: used.target.clone(),
                in_flight: used.in_flight,
                ejected: used.ejected,
            });
        }
        let now = boot_time();
        self.board
            .borrow_mut()
            .set_peer_reports(now, peer, &reports);
    }

    /// Creates this host's report of its use of targets.
    pub fn uses(&self) -> Vec<TargetUse> {
        let reports = self.board.borrow().own_reports(boot_time());
        let mut uses = Vec::new();
        for report in reports {
            uses.push(TargetUse {
                target: report.target,
                in_flight: report.in_flight,
                ejected: report.ejected,
            });
        }
        uses
    }

    pub(super) fn take_event(self: &Rc<Self>, target: &str, event: SlotEvent) {
        match event {
            SlotEvent::Succeeded(latency) => self.note_success(target, latency),
            SlotEvent::Failed => self.note_failure(target),
            SlotEvent::Released(slot) => self.release(slot),
            SlotEvent::Cancelled(slot) => self.release_later(slot),
        }
    }

    fn release(self: &Rc<Self>, slot: UsedSlot) {
        self.quotas.release(&slot.target, slot.ticket);
        if let Some(record) = self.board.borrow_mut().get_mut(&slot.target) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
        if let Some(entry) = self.queues.borrow_mut().get_mut(&slot.service) {
            let seconds = slot.held.as_secs_f64();
            entry.service_time += (seconds - entry.service_time) * SERVICE_TIME_WEIGHT;
        }
        self.pump(&slot.service);
    }

    // A target learns of a cancellation a little later than this host: until then the request
    // still takes its slot.
    fn release_later(&self, slot: UsedSlot) {
        let cancelled = CancelledSlot {
            slot,
            free_at: boot_time() + CANCEL_TIME,
        };
        self.cancelled.borrow_mut().push_back(cancelled);
    }

    pub(super) fn release_cancelled(self: &Rc<Self>) {
        let now = boot_time();
        loop {
            let due = {
                let mut cancelled = self.cancelled.borrow_mut();
                let first = cancelled.front();
                let due = first.is_some_and(|first| first.free_at <= now);
                due.then(|| cancelled.pop_front()).flatten()
            };
            let Some(due) = due else {
                return;
            };
            self.release(due.slot);
        }
    }

    fn note_success(&self, target: &str, latency: Duration) {
        let now = boot_time();
        let usual = {
            let board = self.board.borrow();
            let service = board.get(target).map(|record| record.service.clone());
            service.and_then(|service| board.median_latency(&service))
        };
        let mut board = self.board.borrow_mut();
        let Some(record) = board.get_mut(target) else {
            return;
        };
        if let Some(usual) = usual {
            record.ramp.set_reference_latency(usual);
        }
        record.note_latency(latency);
        if record.health.note_success(now) {
            record.restart_ramp(now);
            self.record_target(target, "returned");
        }
    }

    fn note_failure(&self, target: &str) {
        let now = boot_time();
        let mut board = self.board.borrow_mut();
        let ejected = board
            .get_mut(target)
            .is_some_and(|record| record.health.note_failure(now));
        if ejected {
            self.record_target(target, "ejected after failures");
        }
    }

    /// Notes the result of a probe of a target.
    pub fn note_probe(&self, target: &str, healthy: bool) {
        let now = boot_time();
        let mut board = self.board.borrow_mut();
        let Some(record) = board.get_mut(target) else {
            return;
        };
        if record.health.note_probe(now, healthy) {
            let state = if healthy {
                record.restart_ramp(now);
                "returned by a probe"
            } else {
                "ejected after probes"
            };
            self.record_target(target, state);
        }
    }

    pub(crate) fn record_target(&self, target: &str, state: &str) {
        let subject = EventSubject {
            target: Some(target.to_owned()),
            ..EventSubject::default()
        };
        let kind = EventKind::TargetChanged {
            state: state.to_owned(),
        };
        self.ring.record(subject, kind);
    }
}
