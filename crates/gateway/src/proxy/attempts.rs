//! Attempts of a request at targets. The router counts each one as in flight until it ends.

use super::CallerProxy;
use crate::{
    decision::{PlacementAsk, SentRequest, TargetPlacement},
    dialect::TargetMarks,
    placement_log::log_attempt,
    policy::ServicePolicy,
    request::AdmittedRequest,
    router::RequestRouter,
    sender::{self, AttemptBounds, AttemptOutcome},
};
use fighall_core::{clock::boot_time, ids::BootTime};
use slog::info;
use std::{cell::RefCell, rc::Rc, time::Duration};

impl CallerProxy {
    pub(super) async fn attempt(
        &self,
        request: &AdmittedRequest,
        ask: &PlacementAsk,
        placement: &TargetPlacement,
    ) -> AttemptOutcome {
        let sent = self.router.borrow_mut().start(ask, placement);
        let guard = SentGuard {
            router: Rc::clone(&self.router),
            sent,
        };
        let sent_at = boot_time();
        let marks = TargetMarks {
            request: request.prepared.id.clone(),
            target: placement.target.clone(),
            left: request.give_up_at.saturating_sub(sent_at),
            organisation: request.organisation.as_ref().map(|org| org.name.clone()),
        };
        let bounds = AttemptBounds {
            address: placement.address,
            connections: placement.connections,
            reuse_within: self.reuse.borrow().within(sent_at),
            give_up_at: request.give_up_at,
        };
        let connected = |elapsed| {
            let mut router = self.router.borrow_mut();
            router.note_connected(&placement.target, elapsed);
        };
        let (answer, outcome) = sender::attempt(
            &self.pool,
            &self.dialect,
            &self.answers,
            &request.prepared,
            marks,
            bounds,
            connected,
        )
        .await;
        let now = boot_time();
        let held = now.saturating_sub(sent_at);
        let mut router = self.router.borrow_mut();
        router.note_marks(now, &placement.target, &answer);
        let ejected = note(
            &mut router,
            now,
            &guard.sent,
            &outcome,
            held,
            &request.service,
        );
        drop(router);
        if let AttemptOutcome::Unknown {
            dead_after: Some(idle_for),
            ..
        } = outcome
        {
            self.note_dead(now, &request.prepared.id, idle_for);
        }
        let label = log_attempt(
            &self.logger,
            &request.prepared.id,
            placement,
            &outcome,
            held,
            ejected,
        );
        self.metrics
            .count_attempt(&request.service.name, label, held);
        outcome
    }

    fn note_dead(&self, now: BootTime, request: &str, idle_for: Duration) {
        let mut reuse = self.reuse.borrow_mut();
        if reuse.note_dead(now, idle_for) {
            info!(self.logger, "kept connections distrusted";
                "request" => request,
                "idle_ms" => idle_for.as_millis(),
                "within_ms" => reuse.within(now).as_millis(),
            );
        }
    }
}

fn note(
    router: &mut RequestRouter,
    now: BootTime,
    sent: &SentRequest,
    outcome: &AttemptOutcome,
    held: Duration,
    service: &ServicePolicy,
) -> bool {
    match outcome {
        AttemptOutcome::Answered(answer) => {
            let good = !answer.status.is_server_error();
            router.note_answer(now, sent, held, good);
            false
        }
        AttemptOutcome::Rejected { misdirected: true }
        | AttemptOutcome::NotSent {
            unreachable: true, ..
        } => router.note_unreachable(now, sent, service),
        AttemptOutcome::Rejected { .. } => {
            router.note_rejected(sent);
            false
        }
        AttemptOutcome::Unknown { silent: true, .. } => router.note_silence(now, sent),
        AttemptOutcome::Unknown { .. } => {
            router.note_broken(sent);
            false
        }
        AttemptOutcome::NotSent { .. } => false,
    }
}

// Counts a request as in flight at its target until dropped, also when the caller disconnects.
struct SentGuard {
    router: Rc<RefCell<RequestRouter>>,
    sent: SentRequest,
}

impl Drop for SentGuard {
    fn drop(&mut self) {
        self.router.borrow_mut().end(&self.sent);
    }
}
