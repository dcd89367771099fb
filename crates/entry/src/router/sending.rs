//! One attempt: at a target of this region, or by an entry host of another.

use super::{AnsweredExchange, RequestRouter};
use crate::{
    exchange::{AttemptFailure, ExchangeBounds, ExchangeGuard, ReuseFlag, send},
    pacing::LinkPace,
    places::Place,
    request::{RequestBody, RequestContext},
    slots::SlotLease,
};
use fighall_core::clock::boot_time;
use fighall_net::{
    body::OutboundBody,
    headers::{
        DEADLINE_HEADER, FLEET_HEADER, ORGANISATION_HEADER, REGION_HEADER, REQUEST_HEADER,
        RUN_HEADER, SERVICE_HEADER, set,
    },
    pool::ConnectionOptions,
};
use fighall_peer::view::PeerView;
use http::{Request, Response, StatusCode, header::HOST};
use hyper::body::Incoming;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Longest idle time of a connection that a non-idempotent request may use again.
const FRESH_IDLE: Duration = Duration::from_millis(100);
/// Longest idle time of a connection that an idempotent request may use again.
const REUSE_IDLE: Duration = Duration::from_secs(15);
/// Bytes that a head takes on a link, beside its body.
const HEAD_BYTES: usize = 1_024;
/// Connections from one host to a peer's forwarding address.
const FORWARD_CONNECTIONS: u32 = 256;

impl RequestRouter {
    pub(super) async fn attempt(
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
        let need = ConnectionOptions {
            max_idle_time: reuse_within(context, fresh),
            max_connections: lease.connections,
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
        let need = ConnectionOptions {
            max_idle_time: reuse_within(context, fresh),
            max_connections: FORWARD_CONNECTIONS,
        };
        self.exchange(context, guard, address, request, need).await
    }

    pub(super) async fn exchange(
        &self,
        context: &RequestContext,
        mut guard: ExchangeGuard,
        address: SocketAddr,
        request: Request<OutboundBody>,
        need: ConnectionOptions,
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

    fn new_request(&self, context: &RequestContext, body: OutboundBody) -> Request<OutboundBody> {
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
    ) -> std::result::Result<OutboundBody, AttemptFailure> {
        match &context.body {
            RequestBody::Whole(bytes) => Ok(OutboundBody::full(bytes.clone())),
            RequestBody::Streamed { body, .. } => {
                let body = body.borrow_mut().take();
                let body =
                    body.ok_or_else(|| AttemptFailure::not_run("the body was passed on already"))?;
                let pace = region.map(|region| LinkPace::new(&self.quotas, region).of_body());
                Ok(OutboundBody::streamed(body, pace))
            }
        }
    }
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
