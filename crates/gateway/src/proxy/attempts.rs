//! Attempts of a request at targets. The router counts each one as in flight until it ends.

use super::CallerProxy;
use crate::{
    attempt_report::AttemptReport,
    decision::{PlacementQuery, SentRequest, TargetPlacement},
    dialect::{ResponseMetadata, TargetMetadata},
    placement_log::{
        describe_attempt, format_digest, log_attempt, log_blocks, log_limit_changes, log_notices,
    },
    policy::ServicePolicy,
    request::{AdmittedRequest, RequestTrace},
    router::RequestRouter,
    sender::{self, AttemptOptions, AttemptOutcome},
};
use fighall_core::{clock::boot_time, ids::BootTime};
use slog::info;
use std::{cell::RefCell, rc::Rc, time::Duration};

impl CallerProxy {
    pub(super) async fn run_attempt(
        &self,
        request: &AdmittedRequest,
        query: &PlacementQuery,
        placement: &TargetPlacement,
        trace: &mut RequestTrace,
    ) -> AttemptOutcome {
        let sent = self.router.borrow_mut().start_attempt(query, placement);
        let guard = AttemptGuard {
            router: Rc::clone(&self.router),
            sent,
        };
        let sent_at = boot_time();
        let (metadata, options) = self.attempt_inputs(request, placement, sent_at);
        let on_connected = |elapsed| {
            let mut router = self.router.borrow_mut();
            router.record_connect_time(&placement.target, elapsed);
        };
        let report = sender::send_attempt(
            &self.pool,
            &self.dialect,
            &self.response_budget,
            &request.prepared,
            metadata,
            options,
            on_connected,
        )
        .await;
        let now = boot_time();
        let elapsed = now.saturating_sub(sent_at);
        let AttemptReport {
            metadata, outcome, ..
        } = &report;
        self.record_limit(now, sent_at, &placement.target, metadata, outcome);
        self.record_notices(now, request, placement, metadata, outcome);
        self.record_crashes(now, sent_at, request, placement, outcome);
        let mut router = self.router.borrow_mut();
        router.record_target_report(now, &placement.target, metadata);
        let ejected = record_outcome(
            &mut router,
            now,
            &guard.sent,
            outcome,
            elapsed,
            &request.service,
        );
        drop(router);
        if let AttemptOutcome::Unknown {
            stale_after: Some(idle_for),
            ..
        } = outcome
        {
            self.record_stale_connection(now, &request.prepared.id, *idle_for);
        }
        self.log_and_count(request, placement, &report, elapsed, ejected);
        trace.attempts.push(describe_attempt(placement, &report));
        report.outcome
    }

    fn log_and_count(
        &self,
        request: &AdmittedRequest,
        placement: &TargetPlacement,
        report: &AttemptReport,
        elapsed: Duration,
        ejected: bool,
    ) {
        let id = &request.prepared.id;
        let label = log_attempt(&self.logger, id, placement, report, elapsed, ejected);
        self.metrics
            .count_attempt(&request.service.name, label, elapsed);
        if report.is_surplus(id) {
            let labels = ["exchange"];
            let surplus = self.metrics.surplus_responses.with_label_values(&labels);
            surplus.inc();
        }
    }

    // Records what the outcome shows about requests that crash targets.
    fn record_crashes(
        &self,
        now: BootTime,
        sent_at: BootTime,
        request: &AdmittedRequest,
        placement: &TargetPlacement,
        outcome: &AttemptOutcome,
    ) {
        let target = &placement.target;
        let mut router = self.router.borrow_mut();
        match outcome {
            AttemptOutcome::Answered(_) => {
                router.crashes.record_alive(target, sent_at);
                if router.crashes.has_suspects()
                    && router.crashes.record_success(now, &request.digest())
                {
                    info!(self.logger, "request no longer suspected of crashing targets";
                        "request" => &request.prepared.id,
                        "digest" => format_digest(&request.digest()),
                    );
                }
            }
            AttemptOutcome::Rejected {
                misdirected: false, ..
            } => {
                router.crashes.record_alive(target, sent_at);
            }
            AttemptOutcome::Unknown { closed: true, .. } => {
                router.record_break(now, target, request.digest());
                self.probe(placement);
            }
            AttemptOutcome::NotSent { refused: true, .. }
                if !router.reach.hold_end(now, target) =>
            {
                let blocked = router.crashes.record_ended(now, target);
                log_blocks(&self.logger, &blocked, "attempt");
            }
            _ => {}
        }
    }

    // Gets the time for which the request is refused because targets crash under it.
    pub(super) fn block_left(&self, now: BootTime, request: &AdmittedRequest) -> Option<Duration> {
        let router = self.router.borrow();
        if router.crashes.blocked_count() == 0 {
            return None;
        }
        let digest = request.digest();
        let block_left = router.crashes.block_left(now, &digest)?;
        info!(self.logger, "request blocked";
            "request" => &request.prepared.id,
            "digest" => format_digest(&digest),
            "left_s" => block_left.as_secs(),
        );
        Some(block_left)
    }

    fn attempt_inputs(
        &self,
        request: &AdmittedRequest,
        placement: &TargetPlacement,
        now: BootTime,
    ) -> (TargetMetadata, AttemptOptions) {
        let metadata = TargetMetadata {
            request: request.prepared.id.clone(),
            target: placement.target.clone(),
            time_left: request.deadline.saturating_sub(now),
            organisation: request.organisation.as_ref().map(|org| org.name.clone()),
        };
        let options = AttemptOptions {
            address: placement.address,
            max_connections: placement.max_connections,
            max_idle_time: self.reuse_bound.borrow().current(now),
            deadline: request.deadline,
        };
        (metadata, options)
    }

    // Only a valid response of the target that was meant tells of its limit.
    fn record_limit(
        &self,
        now: BootTime,
        sent_at: BootTime,
        target: &str,
        metadata: &ResponseMetadata,
        outcome: &AttemptOutcome,
    ) {
        let is_success = match outcome {
            AttemptOutcome::Answered(response) => response.status.is_success(),
            AttemptOutcome::Rejected {
                misdirected: false, ..
            } => false,
            _ => return,
        };
        let mut router = self.router.borrow_mut();
        let change = router.record_limit(now, sent_at, target, &metadata.limit, is_success);
        drop(router);
        if let Some(change) = change {
            let changes = vec![(target.to_owned(), change)];
            log_limit_changes(&self.logger, &changes, "response");
        }
    }

    // A misdirected request reached another target, and a response to another request may come from one.
    fn record_notices(
        &self,
        now: BootTime,
        request: &AdmittedRequest,
        placement: &TargetPlacement,
        metadata: &ResponseMetadata,
        outcome: &AttemptOutcome,
    ) {
        let misdirected = matches!(
            outcome,
            AttemptOutcome::Rejected {
                misdirected: true,
                ..
            }
        );
        let identifier = metadata.request.as_ref();
        if misdirected || identifier.is_some_and(|identifier| *identifier != request.prepared.id) {
            return;
        }
        let target = &placement.target;
        let notices = self
            .router
            .borrow_mut()
            .record_notices(now, target, metadata);
        log_notices(&self.logger, &request.prepared.id, target, &notices);
    }

    fn record_stale_connection(&self, now: BootTime, request: &str, idle_for: Duration) {
        let mut bound = self.reuse_bound.borrow_mut();
        if bound.record_dead(now, idle_for) {
            info!(self.logger, "kept connections distrusted";
                "request" => request,
                "idle_ms" => idle_for.as_millis(),
                "within_ms" => bound.current(now).as_millis(),
            );
        }
    }
}

// Updates the health and load of the target. Returns whether the target was ejected.
fn record_outcome(
    router: &mut RequestRouter,
    now: BootTime,
    sent: &SentRequest,
    outcome: &AttemptOutcome,
    elapsed: Duration,
    service: &ServicePolicy,
) -> bool {
    match outcome {
        AttemptOutcome::Answered(response) => {
            let good = !response.status.is_server_error();
            router.record_response(now, sent, elapsed, good);
            false
        }
        AttemptOutcome::Rejected {
            misdirected: true, ..
        }
        | AttemptOutcome::NotSent {
            unreachable: true, ..
        } => router.record_unreachable(now, sent, service),
        AttemptOutcome::Rejected { .. } => {
            router.record_rejection(now, sent);
            false
        }
        AttemptOutcome::Unknown {
            timed_out: true, ..
        } => router.record_timeout(now, sent),
        AttemptOutcome::Unknown { .. } => {
            router.record_broken(sent);
            false
        }
        AttemptOutcome::NotSent { .. } => false,
    }
}

// Counts a request as in flight at its target until dropped, also when the caller disconnects.
struct AttemptGuard {
    router: Rc<RefCell<RequestRouter>>,
    sent: SentRequest,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.router.borrow_mut().end_attempt(&self.sent);
    }
}
