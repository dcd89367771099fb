//! The reverse proxy: admits a caller's request, sends it to targets and returns the response.

mod attempts;
mod passing;
mod probe;

use crate::{
    decision::PlacementRefusal,
    dialect::{CallerMetadata, WireDialect},
    follow::StoreFollower,
    metrics::GatewayMetrics,
    names,
    placement_log::log_refusal,
    policy::{OrgPolicy, RoutePolicy, TrafficPolicy},
    policy_copy::PolicyCopy,
    request::{
        AdmittedRequest, AttemptRecord, RateToken, RefusalCause, RequestMatch, RequestRefusal,
        RequestTrace, allowed_regions, deadline_of, no_memory_refusal, prepare_request,
        unready_refusal,
    },
    response_body::ResponseBudget,
    reuse::IdleLimit,
    router::RequestRouter,
    sender::{AttemptOutcome, BufferedResponse, PASSED_HEADER, PreparedRequest},
    settings::GatewaySettings,
    validation::promises_no_run,
};
use bytes::Bytes;
use fighall_core::{clock::boot_time, ids::BootTime};
use fighall_kernel::{errors::Result, kernel::MicroKernel, stage::LifeStage};
use fighall_net::{
    body::{IncomingBody, ProxyBody},
    connections::ConnectionTable,
    memory::{ReservePriority, ReservedBytes},
    pipeline::RequestTurn,
    pool::ConnectionPool,
};
use http::{
    HeaderValue, Request, Response,
    header::{CONNECTION, HOST},
};
use probe::ProbedTargets;
use slog::{Logger, info};
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Number of attempts that could not be sent after which a request is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// `Retry-After` of a request whose attempts failed before it ran.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Memory of a request in progress, with its connection to a target, in bytes.
const REQUEST_BYTES: usize = 44 * 1_024;
/// Callers' keep-alive connections for each megabyte of process memory. A connection takes about
/// 50 KB with its buffers, so all of them together take a twentieth of the memory.
const KEEP_ALIVE_PER_MB: usize = 1;
/// Allowance for clock differences between two hosts, subtracted from the revocation bound.
const CLOCK_SKEW_MARGIN: Duration = Duration::from_millis(200);

/// `CallerProxy` serves the requests of callers.
pub struct CallerProxy {
    kernel: Rc<MicroKernel>,
    dialect: Rc<WireDialect>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    follower: Rc<StoreFollower>,
    pool: Rc<ConnectionPool>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    // With more open connections than this, each is closed after its response.
    keep_alive_limit: usize,
    reuse_bound: RefCell<IdleLimit>,
    connections: Rc<ConnectionTable>,
    response_budget: ResponseBudget,
    probed: ProbedTargets,
}

impl std::fmt::Debug for CallerProxy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerProxy").finish_non_exhaustive()
    }
}

impl CallerProxy {
    /// Creates a proxy from the services that are registered in `kernel`.
    ///
    /// # Errors
    ///
    /// Returns an error when a required service is not registered.
    pub fn new(kernel: &Rc<MicroKernel>) -> Result<Self> {
        let settings: Rc<GatewaySettings> = kernel.find(names::SETTINGS)?;
        let connections: Rc<ConnectionTable> = kernel.find(names::CONNECTIONS)?;
        Ok(Self {
            keep_alive_limit: settings.memory_mb * KEEP_ALIVE_PER_MB,
            reuse_bound: RefCell::new(IdleLimit::default()),
            probed: ProbedTargets::default(),
            response_budget: ResponseBudget::with_connections(
                settings.memory_mb,
                Rc::clone(&connections),
            ),
            connections,
            kernel: Rc::clone(kernel),
            dialect: kernel.find(names::DIALECT)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            follower: kernel.find(names::FOLLOWER)?,
            pool: kernel.find(names::POOL)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
        })
    }

    /// Serves one request. A request of a route that is not idempotent waits for its `turn` among the
    /// pipelined requests of its connection before it is sent.
    pub async fn serve(
        &self,
        request: Request<IncomingBody>,
        turn: RequestTurn,
    ) -> Response<ProxyBody> {
        let arrived_at = boot_time();
        let metadata = (self.dialect.read_caller_headers)(request.headers());
        let id = metadata.request.clone();
        let is_passed = request.headers().contains_key(PASSED_HEADER);
        let mut trace = RequestTrace::default();
        let result = self
            .handle(request, metadata, arrived_at, &turn, &mut trace)
            .await;
        let now = boot_time();
        let outcome = match &result {
            Ok(response) => format!("answered {}", response.status.as_u16()),
            Err(refusal) => format!("{:?}", refusal.cause).to_lowercase(),
        };
        self.metrics
            .count_request(&trace.route, &outcome, arrived_at, now);
        let status = match &result {
            Ok(response) => response.status,
            Err(refusal) => refusal.cause.status(),
        };
        if !trace.idempotent && promises_no_run(status) {
            log_refusal(&self.logger, &id, status, &outcome, &trace);
        }
        let place = turn.place();
        info!(self.logger, "request ended";
            "request" => &id,
            "connection" => place.connection,
            "position" => place.position,
            "early" => place.is_early,
            "route" => trace.route,
            "outcome" => outcome,
            "routed_by" => trace.routed_by.map(|(version, _)| version),
            "routed_after_ms" => trace.routed_by.map(|(_, after)| after.as_millis()),
            "policy" => self.policy.borrow().policy().map(|policy| policy.version),
            "policy_age_ms" => self.policy.borrow().age(now).map(|age| age.as_millis()),
            "elapsed_ms" => now.saturating_sub(arrived_at).as_millis(),
        );
        let mut response = self.respond(result);
        if is_passed && let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(PASSED_HEADER, id);
        }
        response
    }

    fn respond(
        &self,
        result: std::result::Result<BufferedResponse, RequestRefusal>,
    ) -> Response<ProxyBody> {
        let leaves_body_unread = match &result {
            Ok(_) => false,
            Err(refusal) => refusal.cause.leaves_body_unread(),
        };
        let mut response = match result {
            Ok(buffered) => {
                let mut response = Response::new(ProxyBody::full(buffered.body));
                *response.status_mut() = buffered.status;
                *response.headers_mut() = buffered.headers;
                response
            }
            Err(refusal) => {
                let mut response = Response::new(ProxyBody::full(Bytes::new()));
                *response.status_mut() = refusal.cause.status();
                if let Some(retry_after) = refusal.retry_after {
                    (self.dialect.write_retry_after)(response.headers_mut(), retry_after);
                }
                response
            }
        };
        let leaving = self.kernel.signal().stage() >= LifeStage::Announcing;
        let is_full = self.kernel.work_count() > self.keep_alive_limit;
        if leaving || is_full || leaves_body_unread || self.is_cut_off() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }

    async fn handle(
        &self,
        request: Request<IncomingBody>,
        metadata: CallerMetadata,
        arrived_at: BootTime,
        turn: &RequestTurn,
        trace: &mut RequestTrace,
    ) -> std::result::Result<BufferedResponse, RequestRefusal> {
        if !self.follower.has_synced() {
            return Err(unready_refusal());
        }
        let policy = self.policy.borrow().policy();
        let policy = policy.ok_or_else(unready_refusal)?;
        let routed_after = boot_time().saturating_sub(arrived_at);
        trace.routed_by = Some((policy.version, routed_after));
        let route = self.find_route(&policy, &request, arrived_at)?;
        trace.route.clone_from(&route.name);
        trace.idempotent = route.idempotent;
        if !route.idempotent {
            turn.reached().await;
        }
        let organisation = self.find_organisation(&policy, &route, &metadata, arrived_at)?;
        let deadline = deadline_of(arrived_at, &metadata, &route);
        let mut reserved = ReservedBytes::new(self.connections.budget());
        let has_memory = reserved.grow(REQUEST_BYTES, ReservePriority::High);
        has_memory.map_err(|_| no_memory_refusal())?;
        if self.is_cut_off() {
            let regions = allowed_regions(&route, organisation.as_ref());
            let hosts = self.hosts_to_pass_to(&request, &metadata, regions.as_deref(), deadline)?;
            if !hosts.is_empty() {
                let prepared = self.read_request(request, &metadata, &policy, deadline);
                let prepared = prepared.await?;
                return self.pass(&prepared, hosts, deadline, trace).await;
            }
        }
        let mut token = None;
        if let Some(organisation) = &organisation {
            let admitted = self.router.borrow_mut().admit(arrived_at, organisation);
            admitted.map_err(|retry_after| {
                self.log_rate_limited(&metadata.request, organisation);
                RequestRefusal::new(RefusalCause::Rate).with_retry_after(retry_after)
            })?;
            token = Some(RateToken::new(&self.router, organisation));
        }
        let service = self.router.borrow_mut().pick_service(&route);
        let service = service.and_then(|service| policy.services.get(&service).cloned());
        let service = service.ok_or_else(unready_refusal)?;
        let prepared = self.read_request(request, &metadata, &policy, deadline);
        let prepared = prepared.await?;
        self.router
            .borrow_mut()
            .start_request(boot_time(), &service.name);
        let _guard = InFlightGuard {
            router: Rc::clone(&self.router),
            service: service.name.clone(),
        };
        let matched = RequestMatch {
            route,
            organisation,
            service,
        };
        let admitted = AdmittedRequest::new(arrived_at, prepared, metadata, matched, token);
        self.run_attempts(&admitted, trace).await
    }

    async fn read_request(
        &self,
        request: Request<IncomingBody>,
        metadata: &CallerMetadata,
        policy: &TrafficPolicy,
        deadline: BootTime,
    ) -> std::result::Result<PreparedRequest, RequestRefusal> {
        let max_body_bytes = policy.limits.max_body_bytes;
        prepare_request(
            request,
            metadata,
            &self.connections,
            max_body_bytes,
            deadline,
        )
        .await
    }

    fn log_rate_limited(&self, request: &str, organisation: &OrgPolicy) {
        let router = self.router.borrow();
        info!(self.logger, "beyond the rate";
            "request" => request,
            "organisation" => &organisation.name,
            "rate" => organisation.rate,
            "burst" => organisation.burst,
            "bucket" => router.limiter.describe(&organisation.name),
        );
    }

    // A route or key that is not in this host's policy copy may have been added since the copy was last
    // confirmed, so the request is refused for it only while the copy is fresh.
    fn find_route(
        &self,
        policy: &TrafficPolicy,
        request: &Request<IncomingBody>,
        now: BootTime,
    ) -> std::result::Result<RoutePolicy, RequestRefusal> {
        let host = request.headers().get(HOST);
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
        let found = policy.route(host, request.uri().path());
        found
            .cloned()
            .ok_or_else(|| self.unknown_refusal(RefusalCause::NoRoute, now))
    }

    fn find_organisation(
        &self,
        policy: &TrafficPolicy,
        route: &RoutePolicy,
        metadata: &CallerMetadata,
        now: BootTime,
    ) -> std::result::Result<Option<OrgPolicy>, RequestRefusal> {
        let key = metadata.key.as_deref();
        let found = key.and_then(|key| policy.organisation(key)).cloned();
        if !policy.needs_key(route) {
            return Ok(found);
        }
        if found.is_none() {
            return Err(self.unknown_refusal(RefusalCause::Key, now));
        }
        let revoke = self.router.borrow().bounds.revoke;
        if let Some(revoke) = revoke {
            let bound = revoke.saturating_sub(CLOCK_SKEW_MARGIN);
            if !self.policy.borrow().is_fresh(now, bound) {
                return Err(unready_refusal());
            }
        }
        Ok(found)
    }

    fn unknown_refusal(&self, cause: RefusalCause, now: BootTime) -> RequestRefusal {
        let apply = self.router.borrow().bounds.apply;
        if self.policy.borrow().is_fresh(now, apply) {
            RequestRefusal::new(cause)
        } else {
            unready_refusal()
        }
    }

    async fn run_attempts(
        &self,
        request: &AdmittedRequest,
        trace: &mut RequestTrace,
    ) -> std::result::Result<BufferedResponse, RequestRefusal> {
        let mut record = AttemptRecord::default();
        loop {
            let now = boot_time();
            if let Some(block_left) = self.block_left(now, request) {
                return record.into_result(RefusalCause::Crashing, block_left);
            }
            let query = request.placement_query(now, &record.tried);
            let placed = self
                .router
                .borrow_mut()
                .place(now, &query, &request.service);
            let placement = match placed {
                Ok(placement) => placement,
                Err(refusal) => {
                    let cause = match refusal {
                        PlacementRefusal::NoTarget { .. } => RefusalCause::NoTarget,
                        PlacementRefusal::Busy { .. } => RefusalCause::Busy,
                        PlacementRefusal::Ending => RefusalCause::Ending,
                    };
                    info!(self.logger, "no target";
                        "request" => &request.prepared.id,
                        "service" => &request.service.name,
                        "refusal" => format!("{refusal:?}"),
                        "tried" => record.tried.len(),
                    );
                    return record.into_result(cause, refusal.retry_after());
                }
            };
            request.set_consumed(true);
            let outcome = self.run_attempt(request, &query, &placement, trace).await;
            if let AttemptOutcome::Answered(response) = outcome {
                if !request.route.idempotent && promises_no_run(response.status) {
                    record.outcome_unknown = true;
                    return record.into_result(RefusalCause::Unknown, FAILED_RETRY_AFTER);
                }
                if !response.status.is_server_error() || !request.route.idempotent {
                    return Ok(response);
                }
                record.error_response = Some(response);
                record.sent += 1;
            } else {
                record.record_outcome(&outcome);
            }
            request.set_consumed(record.may_have_run());
            record.tried.push(placement.target);
            let now = boot_time();
            if now >= request.deadline {
                return record.into_result(RefusalCause::Timeout, FAILED_RETRY_AFTER);
            }
            if !self.may_retry(now, request, &record) {
                return record.into_result(RefusalCause::NotRun, FAILED_RETRY_AFTER);
            }
        }
    }

    fn may_retry(&self, now: BootTime, request: &AdmittedRequest, record: &AttemptRecord) -> bool {
        if self.kernel.signal().stage() >= LifeStage::Finishing {
            return false;
        }
        if record.outcome_unknown && !request.route.idempotent {
            return false;
        }
        if record.unsent >= MAX_UNSENT_ATTEMPTS || record.sent >= request.route.max_attempts {
            return false;
        }
        if record.sent == 0 {
            return true;
        }
        let service = &request.service.name;
        let is_within_budget = self.router.borrow_mut().take_retry(now, service);
        let message = if is_within_budget {
            "retry"
        } else {
            "no retry"
        };
        info!(self.logger, "{}", message;
            "request" => &request.prepared.id,
            "service" => service,
            "attempt" => record.sent + 1,
            "budget" => self.router.borrow().describe_retries(now, service),
        );
        self.metrics.count_retry(service, is_within_budget);
        is_within_budget
    }
}

// Counts a request as in flight for its service until dropped, also when the caller disconnects.
struct InFlightGuard {
    router: Rc<RefCell<RequestRouter>>,
    service: String,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.router.borrow_mut().end_request(&self.service);
    }
}
