//! Requests that entry hosts of other regions forward. They are accepted only against slots held
//! here, at once or not at all.

use crate::{
    body::{BodyProgress, CallerBody, ProxyBody},
    configuration::ConfigService,
    headers::{
        DEADLINE_HEADER, FLEET_HEADER, ORGANISATION_HEADER, REGION_HEADER, REQUEST_HEADER,
        RUN_HEADER, SERVICE_HEADER, remove_hop_by_hop, remove_own,
    },
    identity::HostIdentity,
    names,
    problem::RequestRefusal,
    proxy::{BodyBounds, take_body},
    quotas::QuotaService,
    request::RequestContext,
    router::RequestRouter,
};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject, RefusalReason, RunState},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, uri::PathAndQuery};
use hyper::body::Incoming;
use std::{rc::Rc, time::Duration};

/// Part of the time left that the way back may take, in percent.
const RETURN_PERCENT: u32 = 5;

/// `ForwardService` serves forwarded requests.
#[derive(Debug)]
pub struct ForwardService {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    config: Rc<ConfigService>,
    quotas: Rc<QuotaService>,
    router: RequestRouter,
    pause: Duration,
}

impl ForwardService {
    /// Creates a service; `pause` bounds the pauses of a body.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel, pause: Duration) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            config: kernel.find(names::CONFIGURATION)?,
            quotas: kernel.find(names::QUOTAS)?,
            router: RequestRouter::new(kernel)?,
            pause,
        })
    }

    /// Serves one forwarded request.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ProxyBody> {
        let secret = text(request.headers(), &FLEET_HEADER);
        if !self.identity.fleet_secret.matches(&secret) {
            let refusal = RequestRefusal::not_run(
                RefusalReason::KeyRejected,
                "the request does not come from an entry host",
            );
            return marked(refusal.response(""), RunState::No);
        }
        let id = text(request.headers(), &REQUEST_HEADER);
        match self.run(request, &id).await {
            Ok(response) => response,
            Err(refusal) => {
                let subject = EventSubject {
                    request: Some(id.clone()),
                    ..EventSubject::default()
                };
                let kind = EventKind::Refused {
                    reason: refusal.reason,
                    run: refusal.run,
                    evidence: refusal.evidence.clone(),
                };
                self.ring.record(subject, kind);
                marked(refusal.response(&id), refusal.run)
            }
        }
    }

    async fn run(
        &self,
        request: Request<Incoming>,
        id: &str,
    ) -> std::result::Result<Response<ProxyBody>, RequestRefusal> {
        let context = self.context(request, id).await?;
        let region = context.forwarded_from.clone().unwrap_or_default();
        let response = self.router.run(&context).await?;
        // The head goes over the link as well.
        self.quotas.pace(&region).wait(HEAD_BYTES).await;
        Ok(response)
    }

    async fn context(
        &self,
        request: Request<Incoming>,
        id: &str,
    ) -> std::result::Result<RequestContext, RequestRefusal> {
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let service = text(&headers, &SERVICE_HEADER);
        let path = parts.uri.path().to_owned();
        let matcher = self.config.matcher();
        let found = matcher.find_in(&service, &path);
        let route = found.cloned().ok_or_else(|| {
            RequestRefusal::not_run(RefusalReason::NoRoute, "the route is not known here")
        })?;
        let left: u64 = text(&headers, &DEADLINE_HEADER).parse().unwrap_or(0);
        let left = Duration::from_millis(left);
        let arrived_at = boot_time();
        let deadline = arrived_at + left - left * RETURN_PERCENT / 100;
        let organisation = text(&headers, &ORGANISATION_HEADER);
        let region = text(&headers, &REGION_HEADER);
        let bounds = BodyBounds {
            limit: route.body_limit_kib * 1_024,
            pause: self.pause,
        };
        let progress = Rc::new(BodyProgress::default());
        let body = CallerBody::new(body, bounds.limit, bounds.pause, Rc::clone(&progress));
        let body = take_body(&headers, body, progress).await?;
        let idempotent = route.is_idempotent(parts.method.as_str());
        let mut kept = headers;
        remove_hop_by_hop(&mut kept);
        remove_own(&mut kept);
        Ok(RequestContext {
            id: id.to_owned(),
            service,
            route,
            organisation: Some(organisation).filter(|name| !name.is_empty()),
            weight: 1,
            method: parts.method,
            target: parts
                .uri
                .path_and_query()
                .cloned()
                .unwrap_or_else(|| PathAndQuery::from_static("/")),
            headers: kept,
            body,
            arrived_at,
            deadline,
            idempotent,
            forwarded_from: Some(region),
        })
    }
}

/// Bytes that a head takes on a link.
const HEAD_BYTES: usize = 1_024;

fn text(headers: &HeaderMap, name: &HeaderName) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

// The forwarding host tells refusals that did not run from answers by this mark.
fn marked(mut response: Response<ProxyBody>, run: RunState) -> Response<ProxyBody> {
    if run == RunState::No {
        let status = http::StatusCode::SERVICE_UNAVAILABLE;
        *response.status_mut() = status;
        let value = HeaderValue::from_static("no");
        response.headers_mut().insert(RUN_HEADER, value);
    }
    response
}
