//! The operators' interface: health, metrics, status, events, explanations, and withdrawals of
//! keys pushed past a slow store.

use crate::{
    authority::KeyAuthority,
    configuration::ConfigService,
    identity::HostIdentity,
    members::MemberService,
    metrics::EntryMetrics,
    mirrors::MirrorService,
    names,
    problem::RequestRefusal,
    quotas::QuotaService,
    status::{
        CandidateStatus, EventBatch, ExplainAnswer, HostStatus, OrgServed, PeerStatus, ShareStatus,
        TargetStatus,
    },
    targets::TargetService,
};
use bytes::Bytes;
use fighall_core::{
    clock::{HybridStamp, boot_time},
    event::RefusalReason,
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel, stage::LifeStage};
use fighall_net::body::ProxyBody;
use fighall_peer::{
    mesh::PeerMesh,
    message::{MirrorDelta, PeerMessage},
};
use fighall_store::{client::StoreClient, object::kinds};
use http::{HeaderValue, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use std::{rc::Rc, time::Duration};

/// Header in which operators present their token.
pub const TOKEN_HEADER: &str = "fighall-operator";
/// Largest body of an operator's request, in bytes.
const BODY_LIMIT: usize = 1 << 20;

/// `OperatorService` serves operators.
#[derive(Debug)]
pub struct OperatorService {
    kernel: Rc<MicroKernel>,
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    store: Rc<StoreClient>,
    mesh: Rc<PeerMesh>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    members: Rc<MemberService>,
    quotas: Rc<QuotaService>,
    targets: Rc<TargetService>,
    metrics: Rc<EntryMetrics>,
    authority: Rc<KeyAuthority>,
}

impl OperatorService {
    /// Creates a service.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &Rc<MicroKernel>) -> Result<Self> {
        Ok(Self {
            kernel: Rc::clone(kernel),
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            store: kernel.find(names::STORE)?,
            mesh: kernel.find(names::MESH)?,
            mirrors: kernel.find(names::MIRRORS)?,
            config: kernel.find(names::CONFIGURATION)?,
            members: kernel.find(names::MEMBERS)?,
            quotas: kernel.find(names::QUOTAS)?,
            targets: kernel.find(names::TARGETS)?,
            metrics: kernel.find(names::METRICS)?,
            authority: kernel.find(names::AUTHORITY)?,
        })
    }

    /// Serves one request.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ProxyBody> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/healthz" => return plain(StatusCode::OK, "ok\n"),
            "/readyz" => return self.ready(),
            "/metrics" => return self.metrics_text(),
            _ => {}
        }
        if !self.is_operator(&request) {
            return refused(
                RefusalReason::KeyRejected,
                "the operators' token is missing or wrong",
            );
        }
        let query = request.uri().query().unwrap_or("").to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/status") => json(&self.status()),
            (&Method::GET, "/events") => self.events(&query),
            (&Method::GET, "/explain") => self.explain(&query),
            (&Method::POST, "/keys") => self.take_keys(request).await,
            _ => refused(RefusalReason::NoRoute, "no such page"),
        }
    }

    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let token = request.headers().get(TOKEN_HEADER);
        let token = token.and_then(|value| value.to_str().ok());
        token.is_some_and(|token| self.identity.operator_token.matches(token))
    }

    fn ready(&self) -> Response<ProxyBody> {
        let running = self.kernel.signal().stage() == LifeStage::Running;
        let configured = self.config.generation() > 0;
        let member = self.quotas.is_active();
        if running && configured && member {
            return plain(StatusCode::OK, "ready\n");
        }
        let text = format!("running: {running}, configured: {configured}, member: {member}\n");
        plain(StatusCode::SERVICE_UNAVAILABLE, &text)
    }

    fn metrics_text(&self) -> Response<ProxyBody> {
        let stats = self.store.stats();
        for (operation, count) in &stats.calls {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            let calls = &self.metrics.store_calls;
            calls.with_label_values(&[operation.as_str()]).set(count);
        }
        for (operation, count) in &stats.failures {
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            let failures = &self.metrics.store_failures;
            failures.with_label_values(&[operation.as_str()]).set(count);
        }
        self.metrics.store_up.set(i64::from(self.store.is_up()));
        let up = self.mesh.with_views(|views| {
            let up = views.filter(|view| view.link == fighall_peer::view::LinkState::Up);
            up.count()
        });
        self.metrics
            .links
            .set(i64::try_from(up).unwrap_or(i64::MAX));
        plain(StatusCode::OK, &self.metrics.text())
    }

    fn status(&self) -> HostStatus {
        let now = boot_time();
        let identity = &self.identity;
        let keys = self
            .mirrors
            .with_kind(kinds::KEYS, |mirror| mirror.version());
        HostStatus {
            host: identity.host.clone(),
            incarnation: identity.incarnation,
            region: identity.region.clone(),
            zone: identity.zone.clone(),
            stage: format!("{:?}", self.kernel.signal().stage()).to_lowercase(),
            generation: self.config.generation(),
            member: self.members.member(),
            active: self.quotas.is_active(),
            store_up: self.store.is_up(),
            keys_fresh: self.authority.is_fresh(now),
            keys_version: keys.unwrap_or(0),
            work: self.kernel.work_count(),
            peers: self.peer_status(),
            shares: self.share_status(),
            targets: self.target_status(),
            served: self.served(),
        }
    }

    fn peer_status(&self) -> Vec<PeerStatus> {
        let mut peers = Vec::new();
        for view in self.mesh.views() {
            peers.push(PeerStatus {
                host: view.peer.host,
                link: format!("{:?}", view.link).to_lowercase(),
                round_trip_us: u64::try_from(view.round_trip.as_micros()).unwrap_or(u64::MAX),
                generation: view.state.generation,
                dropped: view.dropped,
            });
        }
        peers
    }

    fn served(&self) -> Vec<OrgServed> {
        let Some(config) = self.config.config() else {
            return Vec::new();
        };
        let limits = config.fleet.organisations.iter();
        limits
            .map(|limit| self.metrics.organisation_served(&limit.name))
            .collect()
    }

    fn share_status(&self) -> Vec<ShareStatus> {
        let mut shares = Vec::new();
        for (key, view) in self.quotas.views() {
            shares.push(ShareStatus {
                quota: key.to_string(),
                limit: view.limit.rate / 1_000,
                rate: view.held.rate / 1_000,
                tokens: view.tokens / 1_000,
                lent: view.lent.rate / 1_000,
                borrowed: view.borrowed.rate / 1_000,
                demand: view.demand / 1_000,
            });
        }
        shares
    }

    fn target_status(&self) -> Vec<TargetStatus> {
        let now = boot_time();
        self.targets.with_board(|board| {
            let mut targets = Vec::new();
            for record in board.records() {
                let name = &record.target.name;
                let state = match record.drain {
                    Some(absence) => format!("{absence:?}").to_lowercase(),
                    None if record.health.is_ejected(now) => "ejected".to_owned(),
                    None => "up".to_owned(),
                };
                let part = record.ramp.clone().share_fraction(now) * 100.0;
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let ramp_percent = part as u32;
                targets.push(TargetStatus {
                    target: name.clone(),
                    service: record.service.clone(),
                    region: record.target.region.clone(),
                    zone: record.target.zone.clone(),
                    state,
                    in_flight: record.in_flight,
                    busy: record.estimated_in_flight(now),
                    slots: record.target.slots,
                    held: self.quotas.slots(name).held,
                    ramp_percent,
                });
            }
            targets
        })
    }

    fn events(&self, query: &str) -> Response<ProxyBody> {
        let after = parameter(query, "after");
        let after = match after.as_deref().map(parse_stamp) {
            None => None,
            Some(Some(stamp)) => Some(stamp),
            Some(None) => {
                return refused(
                    RefusalReason::BadRequest,
                    "`after` must be MILLISECONDS.COUNTER",
                );
            }
        };
        let events = self.ring.since(after);
        json(&EventBatch { events })
    }

    fn explain(&self, query: &str) -> Response<ProxyBody> {
        let Some(service) = parameter(query, "service") else {
            return refused(
                RefusalReason::BadRequest,
                "the parameter `service` is missing",
            );
        };
        let known = self.config.config();
        if !known.is_some_and(|config| config.services.contains_key(&service)) {
            return refused(RefusalReason::NoRoute, "no such service");
        }
        let organisation = parameter(query, "organisation").unwrap_or_default();
        let views = self.targets.explain(&service, &self.identity.region);
        let best = views
            .iter()
            .filter(|view| view.exclusion_reason.is_none())
            .min_by_key(|view| (view.in_flight * 1_000 / view.slots.max(1), !view.same_zone));
        let target = best.map(|view| view.target.clone());
        let mut candidates = Vec::new();
        for view in &views {
            let verdict = match &view.exclusion_reason {
                Some(reason) => reason.clone(),
                None if Some(&view.target) == target.as_ref() => "least loaded".to_owned(),
                None => "may be drawn; is more loaded or in another zone".to_owned(),
            };
            candidates.push(CandidateStatus {
                target: view.target.clone(),
                busy: view.in_flight,
                slots: view.slots,
                same_zone: view.same_zone,
                verdict,
            });
        }
        let wait = self.targets.expected_wait(&service, &organisation, 1);
        json(&ExplainAnswer {
            host: self.identity.host.clone(),
            service,
            region: self.identity.region.clone(),
            target,
            candidates,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        })
    }

    // Withdrawals that the store has accepted, pushed by an operator's tool.
    async fn take_keys(&self, request: Request<Incoming>) -> Response<ProxyBody> {
        let body = Limited::new(request.into_body(), BODY_LIMIT);
        let collected = compio::time::timeout(Duration::from_secs(5), body.collect()).await;
        let Ok(Ok(collected)) = collected else {
            return refused(RefusalReason::BadRequest, "the body did not come whole");
        };
        let parsed = serde_json::from_slice::<MirrorDelta>(&collected.to_bytes());
        let delta = match parsed {
            Ok(delta) if delta.kind == kinds::KEYS => delta,
            _ => {
                return refused(
                    RefusalReason::BadRequest,
                    "the body is not a change of keys",
                );
            }
        };
        self.mirrors.take_delta(&delta);
        self.mesh.broadcast(&PeerMessage::MirrorDelta(delta));
        plain(StatusCode::OK, "taken\n")
    }
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut parameters = form_urlencoded::parse(query.as_bytes());
    let (_, value) = parameters.find(|(key, _)| key == name)?;
    Some(value.into_owned())
}

fn parse_stamp(text: &str) -> Option<HybridStamp> {
    let (millis, counter) = text.split_once('.')?;
    Some(HybridStamp {
        millis: millis.parse().ok()?,
        counter: counter.parse().ok()?,
    })
}

fn plain(status: StatusCode, text: &str) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::full(Bytes::from(text.to_owned())));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

fn json<T: Serialize>(value: &T) -> Response<ProxyBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(ProxyBody::full(Bytes::from(text)));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

fn refused(reason: RefusalReason, cause: &str) -> Response<ProxyBody> {
    RequestRefusal::not_run(reason, cause).response("")
}
