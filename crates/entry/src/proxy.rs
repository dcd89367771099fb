//! Callers' requests: match, key, body, claim, then the router.

use crate::{
    authority::KeyAuthority,
    bodies::{BodyBounds, take_bounded},
    claims::{ClaimGuard, ClaimService},
    configuration::ConfigService,
    identity::HostIdentity,
    lookups::LookupService,
    metrics::EntryMetrics,
    names,
    problem::{RequestRefusal, reason_name},
    request::RequestContext,
    router::RequestRouter,
};
use fighall_config::service::ServiceRoute;
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject, RefusalReason, RunState},
    ids::{BootTime, OrgId, RequestId, ServiceId},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel, stage::LifeStage};
use fighall_net::{
    body::{BodyProgress, CallerBody, ProxyBody},
    headers::{
        HOST_HEADER, IDEMPOTENCY_HEADER, REQUEST_HEADER, path_without_key, presented_key,
        remove_fighall_headers, remove_hop_by_hop, remove_key, set,
    },
};
use http::{
    Request, Response,
    header::{CONNECTION, HOST, HeaderValue},
    request::Parts,
};
use hyper::body::{Body, Incoming};
use std::{cell::Cell, net::IpAddr, rc::Rc, time::Duration};

/// Part of the deadline that a claim may take, as a divisor.
const CLAIM_PART: u32 = 2;

struct MatchedRequest {
    service: ServiceId,
    route: ServiceRoute,
}

/// `CallerProxy` serves callers.
#[derive(Debug)]
pub struct CallerProxy {
    kernel: Rc<MicroKernel>,
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    config: Rc<ConfigService>,
    metrics: Rc<EntryMetrics>,
    authority: Rc<KeyAuthority>,
    claims: Rc<ClaimService>,
    lookups: LookupService,
    router: RequestRouter,
    pause: Duration,
    next: Cell<u64>,
}

impl CallerProxy {
    /// Creates a proxy; `pause` bounds the pauses of a caller.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &Rc<MicroKernel>, pause: Duration) -> Result<Self> {
        Ok(Self {
            kernel: Rc::clone(kernel),
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            config: kernel.find(names::CONFIGURATION)?,
            metrics: kernel.find(names::METRICS)?,
            authority: kernel.find(names::AUTHORITY)?,
            claims: kernel.find(names::CLAIMS)?,
            lookups: LookupService::new(kernel)?,
            router: RequestRouter::new(kernel)?,
            pause,
            next: Cell::new(0),
        })
    }

    /// Serves one request of a caller at `remote`.
    pub async fn serve(&self, request: Request<Incoming>, remote: IpAddr) -> Response<ProxyBody> {
        let mut response = if self.lookups.takes(request.uri().path()) {
            self.lookups.answer(request.uri(), remote)
        } else {
            self.serve_service(request).await
        };
        // A leaving host's connections end with the answer that they carry.
        if self.kernel.signal().stage() > LifeStage::Running {
            let value = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, value);
        }
        response
    }

    async fn serve_service(&self, request: Request<Incoming>) -> Response<ProxyBody> {
        let arrived_at = boot_time();
        let id = self.new_id();
        let mut subject = EventSubject {
            request: Some(id.clone()),
            ..EventSubject::default()
        };
        let has_body = !request.body().is_end_stream();
        let outcome = self.run(request, &id, arrived_at, &mut subject).await;
        let elapsed = boot_time().saturating_sub(arrived_at);
        let mut response = match outcome {
            Ok(response) => {
                self.count_answer(&subject, &response, elapsed);
                response
            }
            Err(refusal) => {
                self.count_refusal(&subject, &refusal);
                let mut response = refusal.response(&id);
                // The rest of a body that was not read cannot be told from the next request.
                if has_body {
                    let value = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, value);
                }
                response
            }
        };
        let headers = response.headers_mut();
        set(headers, &REQUEST_HEADER, &id);
        set(headers, &HOST_HEADER, &self.identity.host);
        response
    }

    async fn run(
        &self,
        request: Request<Incoming>,
        id: &RequestId,
        arrived_at: BootTime,
        subject: &mut EventSubject,
    ) -> std::result::Result<Response<ProxyBody>, RequestRefusal> {
        let (parts, body) = request.into_parts();
        let matched = self.find_route(&parts)?;
        subject.service = Some(matched.service.clone());
        let key = presented_key(&parts.headers);
        let organisation = self.check_key(&matched.route, key.as_deref())?;
        subject.organisation = organisation.clone();
        let context = self
            .context(parts, body, id, arrived_at, matched, organisation, key)
            .await?;
        self.run_claimed(&context).await
    }

    // A non-idempotent request with an idempotency key is claimed before anything is sent.
    async fn run_claimed(
        &self,
        context: &RequestContext,
    ) -> std::result::Result<Response<ProxyBody>, RequestRefusal> {
        let key = context.headers.get(&IDEMPOTENCY_HEADER);
        let key = key.and_then(|value| value.to_str().ok());
        let (Some(key), false) = (key, context.idempotent) else {
            return self.router.run(context).await;
        };
        let scope = format!("{}\0{}", context.organisation_name(), context.service);
        let patience = context.left() / CLAIM_PART;
        let claim = self
            .claims
            .claim(&scope, key, &context.id, patience)
            .await?;
        let mut guard = ClaimGuard::new(Rc::clone(&self.claims), claim);
        let outcome = self.router.run(context).await;
        match &outcome {
            Ok(response) => guard.settle(response.status().as_u16()),
            Err(refusal) if refusal.run == RunState::No => guard.release(),
            // The outcome is unknown: the claim stands, so that nobody runs the request again.
            Err(_) => {}
        }
        outcome
    }

    fn find_route(&self, parts: &Parts) -> std::result::Result<MatchedRequest, RequestRefusal> {
        let host = parts.uri.host().map(str::to_owned).or_else(|| {
            let value = parts.headers.get(HOST)?;
            Some(value.to_str().ok()?.to_owned())
        });
        let matcher = self.config.matcher();
        let found = matcher.find(&host.unwrap_or_default(), parts.uri.path());
        let Some(found) = found else {
            return Err(RequestRefusal::not_run(
                RefusalReason::NoRoute,
                "no service and route match",
            ));
        };
        if !found.route.takes(parts.method.as_str()) {
            return Err(RequestRefusal::not_run(
                RefusalReason::Method,
                "the route does not take the method",
            ));
        }
        Ok(MatchedRequest {
            service: found.service.clone(),
            route: found.route.clone(),
        })
    }

    fn check_key(
        &self,
        route: &ServiceRoute,
        key: Option<&str>,
    ) -> std::result::Result<Option<OrgId>, RequestRefusal> {
        if route.open {
            return Ok(None);
        }
        self.authority.organisation(key).map(Some)
    }

    #[allow(clippy::too_many_arguments)]
    async fn context(
        &self,
        parts: Parts,
        body: Incoming,
        id: &RequestId,
        arrived_at: BootTime,
        matched: MatchedRequest,
        organisation: Option<OrgId>,
        key: Option<String>,
    ) -> std::result::Result<RequestContext, RequestRefusal> {
        let route = matched.route;
        let bounds = BodyBounds {
            limit: route.body_limit_kib * 1_024,
            pause: self.pause,
        };
        let target = path_without_key(&parts.uri, key.as_deref());
        let progress = Rc::new(BodyProgress::default());
        let body = CallerBody::new(body, bounds.limit, bounds.pause, Rc::clone(&progress));
        let body = take_bounded(&parts.headers, body, progress, bounds).await?;
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        remove_fighall_headers(&mut headers);
        remove_key(&mut headers, key.as_deref());
        let weight = self.weight_of(organisation.as_deref());
        let idempotent = route.is_idempotent(parts.method.as_str());
        let deadline = arrived_at + Duration::from_millis(route.deadline_ms);
        Ok(RequestContext {
            id: id.clone(),
            service: matched.service,
            route,
            organisation,
            weight,
            method: parts.method,
            target,
            headers,
            body,
            arrived_at,
            deadline,
            idempotent,
            way_back: None,
        })
    }

    fn weight_of(&self, organisation: Option<&str>) -> u64 {
        let config = self.config.config();
        let limit = config.as_ref().and_then(|config| {
            let name = organisation?;
            config.fleet.organisation(name)
        });
        limit.map_or(1, |limit| limit.weight)
    }

    fn new_id(&self) -> RequestId {
        self.next.set(self.next.get() + 1);
        let identity = &self.identity;
        format!(
            "{}-{:x}-{:x}",
            identity.host,
            identity.incarnation,
            self.next.get()
        )
    }

    fn count_answer(
        &self,
        subject: &EventSubject,
        response: &Response<ProxyBody>,
        elapsed: Duration,
    ) {
        let service = subject.service.as_deref().unwrap_or("");
        let status = response.status().as_u16();
        let metrics = &self.metrics;
        metrics
            .requests
            .with_label_values(&[service, "answered"])
            .inc();
        let latency = metrics.latency.with_label_values(&[service]);
        latency.observe(elapsed.as_secs_f64());
        self.count_organisation(subject, "answered");
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let kind = EventKind::Answered { status, micros };
        self.ring.record(subject.clone(), kind);
    }

    fn count_refusal(&self, subject: &EventSubject, refusal: &RequestRefusal) {
        let service = subject.service.as_deref().unwrap_or("");
        let outcome = reason_name(refusal.reason);
        let run = match refusal.run {
            RunState::No => "no",
            RunState::Unknown => "unknown",
        };
        let metrics = &self.metrics;
        metrics
            .requests
            .with_label_values(&[service, outcome.as_str()])
            .inc();
        metrics.count_refusal(refusal.reason, run);
        self.count_organisation(subject, "refused");
        let kind = EventKind::Refused {
            reason: refusal.reason,
            run: refusal.run,
            evidence: refusal.evidence.clone(),
        };
        self.ring.record(subject.clone(), kind);
    }

    fn count_organisation(&self, subject: &EventSubject, outcome: &str) {
        if let Some(organisation) = &subject.organisation {
            let labels = [organisation.as_str(), outcome];
            self.metrics.organisations.with_label_values(&labels).inc();
        }
    }
}
