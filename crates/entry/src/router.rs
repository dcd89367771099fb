//! The way of one request: reserve, place, spend, send, and retry where that is safe.

use crate::{
    configuration::ConfigService,
    exchange::{AttemptFailure, ExchangeBounds, ExchangeGuard, ReuseFlag, send},
    identity::HostIdentity,
    metrics::EntryMetrics,
    names,
    pacing::LinkPace,
    places::{Attempts, Place, PlaceChooser},
    problem::RequestRefusal,
    quotas::{QuotaService, RateRefusal, TokenReservation},
    request::{RequestBody, RequestContext},
    slots::SlotLease,
    targets::TargetService,
};
use bytes::Bytes;
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject, RefusalReason, RunState},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_net::{
    body::{AnswerBody, ProxyBody, UpstreamBody},
    headers::{
        DEADLINE_HEADER, FLEET_HEADER, ORGANISATION_HEADER, REGION_HEADER, REQUEST_HEADER,
        RUN_HEADER, SERVICE_HEADER, remove_hop_by_hop, remove_own, set,
    },
    pool::{ConnectionNeed, ConnectionPool},
};
use fighall_peer::view::PeerView;
use fighall_route::retry::{AttemptResult, RetryBudget, RetryDecision, decide};
use futures_util::{FutureExt, pin_mut, select_biased};
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Largest answer of an idempotent request that is held whole, so that it can be fetched again.
const WHOLE_ANSWER_LIMIT: u64 = 64 * 1_024;
/// Longest idle time of a connection that a non-idempotent request may use again.
const FRESH_IDLE: Duration = Duration::from_millis(100);
/// Longest idle time of a connection that an idempotent request may use again.
const REUSE_IDLE: Duration = Duration::from_secs(15);
/// Shortest time without an answer after which a connection is suspected to be silent.
const SILENT_MIN: Duration = Duration::from_millis(100);
/// Pause before a place for a second attempt is looked for again.
const SECOND_PAUSE: Duration = Duration::from_millis(30);
/// Attempts at one request.
const ATTEMPT_LIMIT: usize = 6;
/// Bytes that a head takes on a link, beside its body.
const HEAD_BYTES: usize = 1_024;
/// Connections from one host to a peer's forwarding address.
const FORWARD_CONNECTIONS: u32 = 256;

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

    // An open connection can have gone silent. When an idempotent request went out on one that was
    // idle before and no answer comes, a second attempt starts on a new connection, and the first
    // answer of either counts. A slow target is thus never cut off.
    async fn attempt_hedged(
        &self,
        context: &RequestContext,
        place: Place,
        attempts: &mut Attempts,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        let address = place.address();
        attempts.note(&place);
        let reused = ReuseFlag::default();
        let first = self.attempt(context, place, false, &reused).fuse();
        pin_mut!(first);
        let mut pause = self.patience(context);
        let abandon_at = boot_time() + context.left() / 2;
        let place = loop {
            {
                let elapsed = compio::time::sleep(pause).fuse();
                pin_mut!(elapsed);
                select_biased! {
                    outcome = first => return outcome,
                    () = elapsed => {}
                }
            }
            if !reused.get() || !context.body.is_available() {
                return first.await;
            }
            if let Some(place) = self.places.choose_now(context, attempts) {
                if !self.budget.borrow_mut().take() {
                    return first.await;
                }
                break place;
            }
            // Silent attempts hold the slots that their second ones wait for: this one lets go.
            if boot_time() >= abandon_at {
                return Err(AttemptFailure::silent(
                    "no answer, and no slot for a second attempt",
                ));
            }
            pause = SECOND_PAUSE;
        };
        let kind = EventKind::Retried {
            cause: "no answer yet; a second attempt goes out on a new connection".to_owned(),
        };
        self.ring.record(context.subject(), kind);
        self.metrics.retries.with_label_values(&["silent"]).inc();
        attempts.note(&place);
        let flag = ReuseFlag::default();
        let second = self.attempt(context, place, true, &flag).fuse();
        pin_mut!(second);
        select_biased! {
            outcome = first => match outcome {
                Ok(answered) => Ok(answered),
                Err(failure) => second.await.map_err(|other| failure.join(other)),
            },
            outcome = second => match outcome {
                Ok(answered) => {
                    // The other idle connections to the silent one's address are suspect.
                    self.pool.flush_address(address);
                    Ok(answered)
                }
                Err(failure) => first.await.map_err(|other| failure.join(other)),
            },
        }
    }

    // An answer is late when it takes many times what is usual for the service.
    fn patience(&self, context: &RequestContext) -> Duration {
        let left = context.left();
        let usual = self.targets.usual_latency(&context.service);
        usual.map_or(left / 4, |usual| {
            // However little time is left, what is usual is no sign of silence.
            let longest = (left / 4).max(usual * 2);
            (usual * 10).max(SILENT_MIN).min(longest)
        })
    }

    async fn attempt(
        &self,
        context: &RequestContext,
        place: Place,
        fresh: bool,
        reused: &ReuseFlag,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        match place {
            Place::Local(lease) => self.send_local(context, *lease, fresh, reused).await,
            Place::Remote { region, peer } => {
                self.send_remote(context, &region, &peer, fresh, reused)
                    .await
            }
        }
    }

    async fn send_local(
        &self,
        context: &RequestContext,
        lease: SlotLease,
        fresh: bool,
        reused: &ReuseFlag,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        let address = lease.address;
        let need = ConnectionNeed {
            reuse_within: reuse_within(context, fresh),
            limit: lease.connections,
        };
        let guard = ExchangeGuard::new(Rc::clone(&self.pool), Some(lease), reused.clone());
        let body = self.upstream_body(context, None)?;
        let request = self.new_request(context, body);
        let sent_at = boot_time();
        let answered = self
            .exchange(context, guard, address, request, need)
            .await?;
        if let Some(slot) = answered.guard.slot() {
            slot.note_success(boot_time().saturating_sub(sent_at));
        }
        Ok(answered)
    }

    async fn send_remote(
        &self,
        context: &RequestContext,
        region: &str,
        peer: &PeerView,
        fresh: bool,
        reused: &ReuseFlag,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        let address: SocketAddr = peer
            .state
            .forward_address
            .parse()
            .map_err(AttemptFailure::not_run)?;
        let guard = ExchangeGuard::new(Rc::clone(&self.pool), None, reused.clone());
        let length = match &context.body {
            RequestBody::Whole(bytes) => bytes.len(),
            RequestBody::Streamed { .. } => 0,
        };
        let pace = LinkPace::new(&self.quotas, region);
        let paced = compio::time::timeout(context.left(), pace.wait(HEAD_BYTES + length)).await;
        paced.map_err(|_| AttemptFailure::not_run("the link had no room in time"))?;
        let body = self.upstream_body(context, Some(region))?;
        let mut request = self.new_request(context, body);
        let headers = request.headers_mut();
        set(headers, &FLEET_HEADER, self.identity.fleet_secret.reveal());
        set(headers, &SERVICE_HEADER, &context.service);
        set(headers, &REGION_HEADER, &self.identity.region);
        let need = ConnectionNeed {
            reuse_within: reuse_within(context, fresh),
            limit: FORWARD_CONNECTIONS,
        };
        self.exchange(context, guard, address, request, need).await
    }

    async fn exchange(
        &self,
        context: &RequestContext,
        mut guard: ExchangeGuard,
        address: SocketAddr,
        request: Request<UpstreamBody>,
        need: ConnectionNeed,
    ) -> std::result::Result<AnsweredExchange, AttemptFailure> {
        let bounds = ExchangeBounds {
            need,
            give_up_at: context.deadline,
        };
        let sent = send(&mut guard, address, request, bounds).await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                self.note_attempt_failure(context, &guard, &failure);
                return Err(failure);
            }
        };
        if is_marked_not_run(&response) {
            return Err(AttemptFailure::not_run(
                "it was refused there with the mark",
            ));
        }
        Ok(AnsweredExchange { response, guard })
    }

    fn new_request(&self, context: &RequestContext, body: UpstreamBody) -> Request<UpstreamBody> {
        let mut request = Request::new(body);
        *request.method_mut() = context.method.clone();
        *request.uri_mut() = context.target.clone().into();
        *request.headers_mut() = context.headers.clone();
        let headers = request.headers_mut();
        if !headers.contains_key(HOST) {
            set(headers, &HOST, &context.service);
        }
        set(headers, &REQUEST_HEADER, &context.id);
        if let Some(organisation) = &context.organisation {
            set(headers, &ORGANISATION_HEADER, organisation);
        }
        let left = context.left().as_millis();
        set(headers, &DEADLINE_HEADER, &left.to_string());
        request
    }

    fn upstream_body(
        &self,
        context: &RequestContext,
        region: Option<&str>,
    ) -> std::result::Result<UpstreamBody, AttemptFailure> {
        match &context.body {
            RequestBody::Whole(bytes) => Ok(UpstreamBody::full(bytes.clone())),
            RequestBody::Streamed { body, .. } => {
                let body = body.borrow_mut().take();
                let body =
                    body.ok_or_else(|| AttemptFailure::not_run("the body was passed on already"))?;
                let pace = region.map(|region| LinkPace::new(&self.quotas, region).of_body());
                Ok(UpstreamBody::passed_on(body, pace))
            }
        }
    }

    async fn answer(
        &self,
        context: &RequestContext,
        answered: AnsweredExchange,
    ) -> std::result::Result<Response<ProxyBody>, AttemptFailure> {
        let AnsweredExchange { response, guard } = answered;
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        if context.way_back.is_none() {
            remove_own(&mut parts.headers);
        }
        let length = body.size_hint().exact();
        let small = length.is_some_and(|length| length <= WHOLE_ANSWER_LIMIT);
        // A small answer to an idempotent request is taken whole first: if it is cut, it can be
        // fetched again, and the caller never sees the cut.
        if context.idempotent && small && !body.is_end_stream() {
            let bytes = self.whole_answer(context, body, guard).await?;
            return Ok(Response::from_parts(parts, ProxyBody::full(bytes)));
        }
        let end = |whole| {
            if whole {
                guard.finish();
            } else {
                guard.fail();
            }
        };
        let body = AnswerBody::new(body, Box::new(end));
        let pace = context.way_back.as_ref().map(LinkPace::of_body);
        let body = ProxyBody::passed_on(body, pace);
        Ok(Response::from_parts(parts, body))
    }

    async fn whole_answer(
        &self,
        context: &RequestContext,
        body: Incoming,
        guard: ExchangeGuard,
    ) -> std::result::Result<Bytes, AttemptFailure> {
        let collected = compio::time::timeout(context.left(), body.collect()).await;
        match collected {
            Ok(Ok(collected)) => {
                guard.finish();
                let bytes = collected.to_bytes();
                if let Some(pace) = &context.way_back {
                    pace.clone().wait(bytes.len()).await;
                }
                Ok(bytes)
            }
            Ok(Err(error)) => {
                guard.fail();
                Err(AttemptFailure::may_have_run(format!(
                    "the answer was cut: {error}"
                )))
            }
            Err(_) => {
                guard.fail();
                Err(AttemptFailure::may_have_run(
                    "the answer did not end in time",
                ))
            }
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
        let decision = decide(
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

fn is_marked_not_run(response: &Response<Incoming>) -> bool {
    let refused = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    let marked = response.headers().get(&RUN_HEADER);
    refused.contains(&response.status()) && marked.is_some_and(|value| value == "no")
}

fn reuse_within(context: &RequestContext, fresh: bool) -> Duration {
    if fresh {
        return Duration::ZERO;
    }
    if context.idempotent {
        return REUSE_IDLE;
    }
    FRESH_IDLE
}
