//! The way of one request: reserve, place, spend, send, and retry where that is safe.

mod answering;
mod hedging;
mod sending;

use crate::{
    configuration::ConfigService,
    exchange::{AttemptFailure, ExchangeGuard, ReuseFlag},
    identity::HostIdentity,
    metrics::EntryMetrics,
    names,
    places::{Attempts, Place, PlaceChooser},
    problem::RequestRefusal,
    quotas::{QuotaService, RateRefusal, reservation::TokenReservation},
    request::RequestContext,
    targets::TargetService,
};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject, RefusalReason, RunState},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_net::{body::ProxyBody, pool::ConnectionPool};
use fighall_route::retry::{AttemptResult, RetryBudget, RetryDecision, decide_retry};
use http::Response;
use hyper::body::Incoming;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Attempts at one request.
const ATTEMPT_LIMIT: usize = 6;

// An answer's head with what must be given back when its body has ended.
struct AnsweredExchange {
    response: Response<Incoming>,
    guard: ExchangeGuard,
}

/// `RequestRouter` brings requests to targets.
#[derive(Debug)]
pub struct RequestRouter {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    config: Rc<ConfigService>,
    quotas: Rc<QuotaService>,
    targets: Rc<TargetService>,
    pool: Rc<ConnectionPool>,
    metrics: Rc<EntryMetrics>,
    places: PlaceChooser,
    budget: RefCell<RetryBudget>,
}

impl RequestRouter {
    /// Creates a router.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            config: kernel.find(names::CONFIGURATION)?,
            quotas: kernel.find(names::QUOTAS)?,
            targets: kernel.find(names::TARGETS)?,
            pool: kernel.find(names::POOL)?,
            metrics: kernel.find(names::METRICS)?,
            places: PlaceChooser::new(kernel)?,
            budget: RefCell::new(RetryBudget::new(20)),
        })
    }

    /// Brings a request to a target and gives its answer.
    ///
    /// # Errors
    ///
    /// Returns a refusal that tells whether the request may have run, and how that is known.
    pub async fn run(
        &self,
        context: &RequestContext,
    ) -> std::result::Result<Response<ProxyBody>, RequestRefusal> {
        self.note_request();
        let mut attempts = Attempts::default();
        let outcome = self.run_attempts(context, &mut attempts).await;
        // What follows an attempt that may have run can no longer tell that nothing ran.
        outcome.map_err(|refusal| match refusal.run {
            RunState::No if attempts.may_have_run => {
                let evidence = format!("{}; an earlier attempt may have run", refusal.evidence);
                RequestRefusal::unknown(evidence)
            }
            _ => refusal,
        })
    }

    async fn run_attempts(
        &self,
        context: &RequestContext,
        attempts: &mut Attempts,
    ) -> std::result::Result<Response<ProxyBody>, RequestRefusal> {
        let mut token = self.reserve(context).await?;
        loop {
            let waited_from = boot_time();
            let place = self.places.choose(context, attempts).await?;
            if let Some(reservation) = token.take() {
                let redeemed = self.quotas.redeem(reservation, context.deadline).await;
                redeemed.map_err(|refusal| rate_refusal(&refusal))?;
            }
            attempts.count += 1;
            self.record_place(context, &place, boot_time().saturating_sub(waited_from));
            let outcome = if context.idempotent && !attempts.fresh {
                self.attempt_hedged(context, place, attempts).await
            } else {
                let fresh = attempts.fresh;
                attempts.note(&place);
                self.attempt(context, place, fresh, &ReuseFlag::default())
                    .await
            };
            let outcome = match outcome {
                Ok(answered) => self.answer(context, answered).await,
                Err(failure) => Err(failure),
            };
            match outcome {
                Ok(response) => return Ok(response),
                Err(failure) => self.after_failure(context, attempts, failure)?,
            }
        }
    }

    async fn reserve(
        &self,
        context: &RequestContext,
    ) -> std::result::Result<Option<TokenReservation>, RequestRefusal> {
        // The entry host that forwarded a request has spent its token.
        let Some(organisation) = &context.organisation else {
            return Ok(None);
        };
        if context.way_back.is_some() {
            return Ok(None);
        }
        let reserved = self.quotas.reserve(organisation, context.deadline).await;
        match reserved {
            Ok(reservation) => Ok(Some(reservation)),
            Err(refusal) => Err(rate_refusal(&refusal)),
        }
    }

    fn after_failure(
        &self,
        context: &RequestContext,
        attempts: &mut Attempts,
        failure: AttemptFailure,
    ) -> std::result::Result<(), RequestRefusal> {
        attempts.may_have_run |= failure.result != AttemptResult::NotRun;
        // A body of which a part was passed on cannot be sent again; what has not run stays so.
        let in_time = !context.left().is_zero()
            && attempts.count < ATTEMPT_LIMIT
            && context.body.is_available();
        if context.body.has_failed() {
            return Err(caller_failed(&failure));
        }
        let decision = decide_retry(
            failure.result,
            context.idempotent,
            in_time,
            &mut self.budget.borrow_mut(),
        );
        match decision {
            RetryDecision::Again => {
                attempts.fresh |= failure.silent;
                let cause = if failure.result == AttemptResult::NotRun {
                    "not_run"
                } else {
                    "unknown"
                };
                self.metrics.retries.with_label_values(&[cause]).inc();
                let kind = EventKind::Retried {
                    cause: failure.cause,
                };
                self.ring.record(context.subject(), kind);
                Ok(())
            }
            RetryDecision::EndNotRun => {
                let reason = if context.left().is_zero() {
                    RefusalReason::Deadline
                } else {
                    RefusalReason::NoTarget
                };
                let refusal = RequestRefusal::not_run(reason, failure.cause);
                Err(refusal.with_retry_after(Duration::from_secs(1)))
            }
            RetryDecision::EndUnknown => Err(RequestRefusal::unknown(failure.cause)),
        }
    }

    fn note_request(&self) {
        let config = self.config.config();
        let percent = config.map_or(20, |config| config.fleet.retry_percent);
        let mut budget = self.budget.borrow_mut();
        budget.set_percent(percent);
        budget.note_request();
    }

    fn note_attempt_failure(
        &self,
        context: &RequestContext,
        guard: &ExchangeGuard,
        failure: &AttemptFailure,
    ) {
        // A caller that fails to send its body says nothing about the target.
        if context.body.has_failed() {
            return;
        }
        // Nor does an open connection that went silent: new ones may work.
        if failure.silent && guard.was_reused() {
            return;
        }
        if let Some(slot) = guard.slot() {
            slot.note_failure();
        }
    }

    fn record_place(&self, context: &RequestContext, place: &Place, wait: Duration) {
        match place {
            Place::Local(lease) => {
                let subject = EventSubject {
                    target: Some(lease.target.clone()),
                    ..context.subject()
                };
                let kind = EventKind::Placed {
                    generation: self.config.generation(),
                    region: lease.region.clone(),
                    reason: lease.reason.clone(),
                    runners_up: lease.runners_up.clone(),
                    wait_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
                    share_left: self.quotas.share_left(context.organisation_name()),
                };
                self.ring.record(subject, kind);
            }
            Place::Remote { region, peer } => {
                let subject = EventSubject {
                    peer: Some(peer.peer.host.clone()),
                    ..context.subject()
                };
                let kind = EventKind::Forwarded {
                    region: region.clone(),
                };
                self.ring.record(subject, kind);
            }
        }
    }
}

fn rate_refusal(refusal: &RateRefusal) -> RequestRefusal {
    let evidence = if refusal.within_rate {
        "the organisation's share was not here in time"
    } else {
        "the organisation's rate and burst are used up"
    };
    RequestRefusal::not_run(RefusalReason::RateLimited, evidence)
        .with_retry_after(refusal.retry_after)
}

fn caller_failed(failure: &AttemptFailure) -> RequestRefusal {
    let mut refusal = RequestRefusal::unknown("the caller's body ended early or exceeds the limit");
    refusal.reason = RefusalReason::BadRequest;
    if failure.result == AttemptResult::NotRun {
        refusal.run = RunState::No;
    }
    refusal
}
