//! Requests that entry hosts of other regions forward. They are accepted only against slots held
//! here, at once or not at all.

use crate::{
    bodies::{BodyBounds, take_body},
    configuration::ConfigService,
    identity::HostIdentity,
    names,
    pacing::LinkPace,
    problem::RequestRefusal,
    quotas::QuotaService,
    request::RequestContext,
    router::RequestRouter,
};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject, RefusalReason, RunState},
    ids::ServiceId,
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_net::{
    body::{BodyProgress, CallerBody, ProxyBody},
    headers::{
        DEADLINE_HEADER, FLEET_HEADER, ORGANISATION_HEADER, REGION_HEADER, REQUEST_HEADER,
        RUN_HEADER, SERVICE_HEADER, remove_fighall_headers, remove_hop_by_hop,
    },
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, uri::PathAndQuery};
use hyper::body::{Body, Incoming};
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Part of the time left that the way back may take, in percent.
const RETURN_PERCENT: u32 = 5;
/// Part of the time left that a request waits for room on the way back, as a divisor.
const WAY_BACK_PART: u32 = 8;
/// Bytes that a head takes on a link.
const HEAD_BYTES: usize = 1_024;

/// `ForwardService` serves forwarded requests.
#[derive(Debug)]
pub struct ForwardService {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    config: Rc<ConfigService>,
    quotas: Rc<QuotaService>,
    router: RequestRouter,
    pause: Duration,
    // Usual size of an answer by service, in bytes.
    answer_bytes: RefCell<BTreeMap<ServiceId, usize>>,
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
            answer_bytes: RefCell::new(BTreeMap::new()),
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
        self.pay_way_back(&context).await?;
        let response = self.router.run(&context).await?;
        self.note_answer(&context.service, &response);
        Ok(response)
    }

    // The answer's room on the link is paid before the request runs, by the usual size: a request
    // that ran and whose answer cannot go back in time would have an unknown outcome.
    async fn pay_way_back(
        &self,
        context: &RequestContext,
    ) -> std::result::Result<(), RequestRefusal> {
        let Some(pace) = &context.way_back else {
            return Ok(());
        };
        let usual = self.answer_bytes.borrow().get(&context.service).copied();
        let bytes = HEAD_BYTES + usual.unwrap_or(0);
        let patience = context.left() / WAY_BACK_PART;
        let room = pace.has_room(bytes, patience);
        let paid = match room {
            true => compio::time::timeout(patience, pace.prepay(bytes))
                .await
                .is_ok(),
            false => false,
        };
        if paid {
            // The head goes over the link with the body.
            pace.clone().wait(HEAD_BYTES).await;
            return Ok(());
        }
        Err(RequestRefusal::not_run(
            RefusalReason::NoRoom,
            "the link back has no room for another answer",
        ))
    }

    fn note_answer(&self, service: &str, response: &Response<ProxyBody>) {
        let size = response.body().size_hint().lower();
        let size = usize::try_from(size).unwrap_or(usize::MAX / 16);
        let mut usual = self.answer_bytes.borrow_mut();
        let known = usual.entry(service.to_owned()).or_insert(size);
        *known = (*known * 7 + size) / 8;
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
        let found = matcher.find_route(&service, &path);
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
        remove_fighall_headers(&mut kept);
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
            way_back: Some(LinkPace::new(&self.quotas, &region)),
        })
    }
}

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
