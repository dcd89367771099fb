//! Copies of store objects for other hosts, over the address that their messages come to.

use super::{GatewayNode, auxiliary_limits, build_response};
use crate::{
    follow::{peer_copies::kind_of_path, start_check::STATUS_PATH},
    message::FollowedKind,
};
use bytes::Bytes;
use compio::net::TcpListener;
use fighall_core::clock::boot_time;
use fighall_net::{body::ProxyBody, listener::serve};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use slog::warn;
use std::{rc::Rc, time::Duration};

/// Rate of copies to other hosts: half of a link of 12 Mbit/s, which callers' responses use too.
const COPY_BYTES_PER_SECOND: f64 = 750_000.0;
/// Longest time for which copies may wait for that rate; further ones are refused, and the host tries another one.
const MAX_COPY_DELAY: Duration = Duration::from_millis(300);

impl GatewayNode {
    pub(super) fn serve_peers(
        self: &Rc<Self>,
        listener: TcpListener,
    ) -> impl Future<Output = ()> + use<> {
        let gateway = Rc::clone(self);
        serve(
            Rc::clone(&self.kernel),
            listener,
            Rc::clone(&self.connections),
            auxiliary_limits,
            move |request, _| {
                let gateway = Rc::clone(&gateway);
                async move { gateway.serve_peer(&request) }
            },
        )
    }

    fn serve_peer(&self, request: &Request<Incoming>) -> Response<ProxyBody> {
        let path = request.uri().path();
        if path == STATUS_PATH {
            return self.serve_status();
        }
        match kind_of_path(path) {
            Some(kind) => self.serve_copy(kind),
            None => build_response(StatusCode::NOT_FOUND, String::new(), None),
        }
    }

    fn serve_status(&self) -> Response<ProxyBody> {
        let Some(status) = self.follower.status_report() else {
            return build_response(StatusCode::SERVICE_UNAVAILABLE, String::new(), None);
        };
        self.encode(&status)
            .map_or_else(encoding_failed, |body| Response::new(ProxyBody::full(body)))
    }

    fn serve_copy(&self, kind: FollowedKind) -> Response<ProxyBody> {
        let now = boot_time();
        let sent_by = self.copies_sent_by.get().max(now);
        let has_room = sent_by - now <= MAX_COPY_DELAY;
        let copy = self.follower.copy_of(kind).filter(|_| has_room);
        let Some(copy) = copy else {
            return build_response(StatusCode::SERVICE_UNAVAILABLE, String::new(), None);
        };
        let Some(body) = self.encode(&copy) else {
            return encoding_failed();
        };
        let bytes = f64::from(u32::try_from(body.len()).unwrap_or(u32::MAX));
        let duration = Duration::from_secs_f64(bytes / COPY_BYTES_PER_SECOND);
        self.copies_sent_by.set(sent_by + duration);
        Response::new(ProxyBody::full(body))
    }

    fn encode(&self, message: &impl Serialize) -> Option<Bytes> {
        let mut body = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut body) {
            warn!(self.logger, "encoding for another host failed"; "error" => error.to_string());
            return None;
        }
        Some(body.into())
    }
}

fn encoding_failed() -> Response<ProxyBody> {
    build_response(StatusCode::INTERNAL_SERVER_ERROR, String::new(), None)
}
