//! The way of one request: reserve, place, spend, send, and retry where that is safe.

use crate::{
    body::{AnswerBody, PacedBody, ProxyBody, UpstreamBody},
    configuration::ConfigService,
    exchange::{AttemptFailure, ExchangeBounds, ExchangeGuard, send},
    headers::{
        DEADLINE_HEADER, FLEET_HEADER, ORGANISATION_HEADER, REGION_HEADER, REQUEST_HEADER,
        RUN_HEADER, SERVICE_HEADER, remove_hop_by_hop, remove_own, set,
    },
    identity::HostIdentity,
    metrics::EntryMetrics,
    names,
    pool::{ConnectionNeed, ConnectionPool},
    problem::RequestRefusal,
    quotas::{QuotaService, RateRefusal, TokenReservation},
    request::{RequestBody, RequestContext},
    targets::{AcquireFailure, SlotLease, TargetService},
};
use bytes::Bytes;
use fighall_core::{
    clock::{boot_time, wall_millis},
    event::{EventKind, EventSubject, RefusalReason},
    ids::{BootTime, HostId, RegionId, TargetId},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::view::PeerView;
use fighall_route::{
    region::{RegionView, moved_to, order},
    retry::{AttemptResult, RetryBudget, RetryDecision, decide},
};
use http::{Request, Response, StatusCode, header::HOST};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

/// Largest answer of an idempotent request that is held whole, so that it can be fetched again.
const WHOLE_ANSWER_LIMIT: u64 = 64 * 1_024;
/// Longest idle time of a connection that a non-idempotent request may use again.
const FRESH_IDLE: Duration = Duration::from_millis(100);
/// Longest idle time of a connection that an idempotent request may use again.
const REUSE_IDLE: Duration = Duration::from_secs(15);
/// Shortest time that an attempt is given before it counts as silent.
const SILENT_MIN: Duration = Duration::from_millis(100);
/// Attempts at one request.
const ATTEMPT_LIMIT: usize = 6;
/// Bytes that a head takes on a link, beside its body.
const HEAD_BYTES: usize = 1_024;
/// Age of a peer's last sign beyond which nothing is forwarded to it.
const ALIVE: Duration = Duration::from_secs(2);
/// Connections from one host to a peer's forwarding address.
const FORWARD_CONNECTIONS: u32 = 256;

enum Place {
    Local(SlotLease),
    Remote { region: RegionId, peer: PeerView },
}

#[derive(Default)]
struct Attempts {
    count: usize,
    targets: Vec<TargetId>,
    hosts: Vec<HostId>,
    fresh: bool,
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
        let mut token = self.reserve(context).await?;
        let mut attempts = Attempts::default();
        loop {
            let waited_from = boot_time();
            let place = self.choose(context, &attempts).await?;
            if let Some(reservation) = token.take() {
                let redeemed = self.quotas.redeem(reservation, context.deadline).await;
                redeemed.map_err(|refusal| rate_refusal(&refusal))?;
            }
            attempts.count += 1;
            self.record_place(context, &place, boot_time().saturating_sub(waited_from));
            let outcome = match place {
                Place::Local(lease) => {
                    attempts.targets.push(lease.target.clone());
                    self.send_local(context, lease, &attempts).await
                }
                Place::Remote { region, peer } => {
                    attempts.hosts.push(peer.peer.host.clone());
                    self.send_remote(context, &region, &peer).await
                }
            };
            match outcome {
                Ok(response) => return Ok(response),
                Err(failure) => self.after_failure(context, &mut attempts, failure)?,
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

    // Own region first; another one when the own has no healthy target with room; then the own
    // region's queue, where targets that look unhealthy are a last resort.
    async fn choose(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> std::result::Result<Place, RequestRefusal> {
        if context.way_back.is_some() {
            let lease = self.targets.acquire_now(context, &attempts.targets, true);
            return lease.map(Place::Local).ok_or_else(|| {
                RequestRefusal::not_run(
                    RefusalReason::NoRoom,
                    "this host holds no free slot for a forwarded request",
                )
            });
        }
        if let Some(place) = self.choose_moved(context, attempts) {
            return Ok(place);
        }
        if let Some(lease) = self.targets.acquire_now(context, &attempts.targets, false) {
            return Ok(Place::Local(lease));
        }
        if let Some(place) = self.choose_remote(context, attempts) {
            return Ok(place);
        }
        self.wait_in_queue(context, attempts).await
    }

    async fn wait_in_queue(
        &self,
        context: &RequestContext,
        attempts: &Attempts,
    ) -> std::result::Result<Place, RequestRefusal> {
        let near = self.targets.serves(&context.service, &self.identity.region);
        if near == 0 {
            return Err(RequestRefusal::not_run(
                RefusalReason::NoRoom,
                "no target of this region takes work and no other region has room",
            )
            .with_retry_after(Duration::from_secs(1)));
        }
        let acquired = self.targets.acquire(context, &attempts.targets).await;
        acquired.map(Place::Local).map_err(|failure| {
            let (evidence, wait) = match failure {
                AcquireFailure::TooLong { wait } => {
                    ("the wait for a slot would exceed the deadline", wait)
                }
                AcquireFailure::Full => ("the queue is full", Duration::from_secs(1)),
                AcquireFailure::Expired => (
                    "no slot came free before the deadline",
                    Duration::from_secs(1),
                ),
            };
            RequestRefusal::not_run(RefusalReason::NoRoom, evidence).with_retry_after(wait)
        })
    }

    fn choose_moved(&self, context: &RequestContext, attempts: &Attempts) -> Option<Place> {
        let commands = self.config.commands();
        let region = moved_to(
            &commands,
            &context.service,
            &self.identity.region,
            &context.id,
            wall_millis(),
        )?;
        let view = self.region_view(context, &region);
        if order(&[view]).is_empty() {
            return None;
        }
        self.remote_place(context, &region, attempts)
    }

    fn choose_remote(&self, context: &RequestContext, attempts: &Attempts) -> Option<Place> {
        let mut views = Vec::new();
        for region in self.targets.regions_of(&context.service) {
            if region != self.identity.region {
                views.push(self.region_view(context, &region));
            }
        }
        // A short wait in the own queue is better than a long way.
        let organisation = context.organisation_name();
        let wait = self
            .targets
            .expected_wait(&context.service, organisation, context.weight);
        let near = self.targets.serves(&context.service, &self.identity.region);
        for region in order(&views) {
            let view = views.iter().find(|view| view.region == region)?;
            if near > 0 && attempts.count == 0 && wait < view.round_trip {
                return None;
            }
            if let Some(place) = self.remote_place(context, &region, attempts) {
                return Some(place);
            }
        }
        None
    }

    fn region_view(&self, context: &RequestContext, region: &str) -> RegionView {
        let now = boot_time();
        let mut view = RegionView {
            region: region.to_owned(),
            targets: self.targets.serves(&context.service, region),
            free: 0,
            age: None,
            round_trip: Duration::MAX,
            reachable: false,
            link_room: self.quotas.has_link_room(region),
        };
        self.targets.mesh().with_views(|peers| {
            for peer in peers {
                let usable =
                    peer.peer.region == region && peer.is_alive(now, ALIVE) && peer.state.open;
                if !usable {
                    continue;
                }
                view.reachable = true;
                view.free += room_of(peer, &context.service);
                view.round_trip = view.round_trip.min(peer.round_trip);
                let age = peer.heard_at.map(|at| now.saturating_sub(at));
                view.age = match (view.age, age) {
                    (Some(known), Some(age)) => Some(known.min(age)),
                    (known, age) => known.or(age),
                };
            }
        });
        view
    }

    // The entry host of the region with the most room that was not tried yet.
    fn remote_place(
        &self,
        context: &RequestContext,
        region: &str,
        attempts: &Attempts,
    ) -> Option<Place> {
        if !context.body.is_available() {
            return None;
        }
        let now = boot_time();
        let mut best: Option<PeerView> = None;
        for view in self.targets.mesh().views() {
            let usable = view.peer.region == region
                && view.is_alive(now, ALIVE)
                && view.state.open
                && !attempts.hosts.contains(&view.peer.host);
            if !usable {
                continue;
            }
            let room = room_of(&view, &context.service);
            let known = best.as_ref().map(|best| room_of(best, &context.service));
            if known.is_none_or(|known| room > known) {
                best = Some(view);
            }
        }
        Some(Place::Remote {
            region: region.to_owned(),
            peer: best?,
        })
    }

    async fn send_local(
        &self,
        context: &RequestContext,
        lease: SlotLease,
        attempts: &Attempts,
    ) -> std::result::Result<Response<ProxyBody>, AttemptFailure> {
        let address = lease.address;
        let limit = lease.connections;
        let usual = self.targets.usual_latency(&context.service);
        let mut guard = ExchangeGuard::new(Rc::clone(&self.pool), Some(lease));
        let body = self.upstream_body(context, None)?;
        let mut request = self.new_request(context, body);
        let headers = request.headers_mut();
        if let Some(organisation) = &context.organisation {
            set(headers, &ORGANISATION_HEADER, organisation);
        }
        let bounds = ExchangeBounds {
            need: ConnectionNeed {
                reuse_within: reuse_within(context, attempts),
                limit,
            },
            give_up_at: attempt_end(context, usual),
        };
        let sent_at = boot_time();
        let sent = send(&mut guard, address, request, bounds).await;
        let response = match sent {
            Ok(response) => response,
            Err(failure) => {
                self.note_attempt_failure(context, &guard, &failure);
                return Err(failure);
            }
        };
        if is_marked_not_run(&response) {
            return Err(AttemptFailure::not_run("the target shed the request"));
        }
        if let Some(slot) = guard.slot() {
            slot.note_success(boot_time().saturating_sub(sent_at));
        }
        self.answer(context, response, guard).await
    }

    async fn send_remote(
        &self,
        context: &RequestContext,
        region: &str,
        peer: &PeerView,
    ) -> std::result::Result<Response<ProxyBody>, AttemptFailure> {
        let address: SocketAddr = peer
            .state
            .forward_address
            .parse()
            .map_err(AttemptFailure::not_run)?;
        let mut guard = ExchangeGuard::new(Rc::clone(&self.pool), None);
        let length = match &context.body {
            RequestBody::Whole(bytes) => bytes.len(),
            RequestBody::Streamed { .. } => 0,
        };
        let pace = self.quotas.pace(region);
        let paced = compio::time::timeout(context.left(), pace.wait(HEAD_BYTES + length)).await;
        paced.map_err(|_| AttemptFailure::not_run("the link had no room in time"))?;
        let body = self.upstream_body(context, Some(region))?;
        let mut request = self.new_request(context, body);
        let headers = request.headers_mut();
        set(headers, &FLEET_HEADER, self.identity.fleet_secret.reveal());
        set(headers, &SERVICE_HEADER, &context.service);
        set(headers, &REGION_HEADER, &self.identity.region);
        if let Some(organisation) = &context.organisation {
            set(headers, &ORGANISATION_HEADER, organisation);
        }
        let bounds = ExchangeBounds {
            need: ConnectionNeed {
                reuse_within: if context.idempotent {
                    REUSE_IDLE
                } else {
                    FRESH_IDLE
                },
                limit: FORWARD_CONNECTIONS,
            },
            give_up_at: attempt_end(context, None),
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
            return Err(AttemptFailure::not_run("the other region had no room"));
        }
        self.answer(context, response, guard).await
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
            RequestBody::Whole(bytes) => Ok(UpstreamBody::Whole(Full::new(bytes.clone()))),
            RequestBody::Streamed { body, .. } => {
                let body = body.borrow_mut().take();
                let body =
                    body.ok_or_else(|| AttemptFailure::not_run("the body was passed on already"))?;
                match region {
                    None => Ok(UpstreamBody::Streamed(Box::new(body))),
                    Some(region) => {
                        let paced = PacedBody::new(body, self.quotas.pace(region));
                        Ok(UpstreamBody::Paced(Box::new(paced)))
                    }
                }
            }
        }
    }

    async fn answer(
        &self,
        context: &RequestContext,
        response: Response<Incoming>,
        guard: ExchangeGuard,
    ) -> std::result::Result<Response<ProxyBody>, AttemptFailure> {
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
        let body = AnswerBody::new(body, guard);
        let body = match &context.way_back {
            None => ProxyBody::Answer(Box::new(body)),
            Some(pace) => ProxyBody::Paced(Box::new(PacedBody::new(body, pace.clone()))),
        };
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
            RetryDecision::EndNotRun => Err(RequestRefusal::not_run(
                RefusalReason::NoTarget,
                failure.cause,
            )
            .with_retry_after(Duration::from_secs(1))),
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
        // A connection that went silent while new ones work says nothing about the target either.
        if failure.silent && context.idempotent {
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

fn room_of(view: &PeerView, service: &str) -> u32 {
    let room = view.state.rooms.iter().find(|room| room.service == service);
    room.map_or(0, |room| room.free)
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
        refusal.run = fighall_core::event::RunState::No;
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

fn reuse_within(context: &RequestContext, attempts: &Attempts) -> Duration {
    if attempts.fresh {
        return Duration::ZERO;
    }
    if context.idempotent {
        return REUSE_IDLE;
    }
    FRESH_IDLE
}

// An attempt at an idempotent request ends early enough for another one on a new connection; a
// non-idempotent one has all the time there is.
fn attempt_end(context: &RequestContext, usual: Option<Duration>) -> BootTime {
    if !context.idempotent {
        return context.deadline;
    }
    let left = context.left();
    let patient = usual.map_or(left / 3, |usual| (usual * 20).max(SILENT_MIN).min(left / 2));
    boot_time() + patient.max(left / 3).min(left)
}
