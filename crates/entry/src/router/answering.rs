//! The answer of an attempt on its way back.

use super::{AnsweredExchange, RequestRouter};
use crate::{
    exchange::{AttemptFailure, ExchangeGuard},
    pacing::LinkPace,
    request::RequestContext,
};
use bytes::Bytes;
use fighall_net::{
    body::{AnswerBody, ProxyBody},
    headers::{remove_fighall_headers, remove_hop_by_hop},
};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Largest answer of an idempotent request that is held whole, so that it can be fetched again.
const WHOLE_ANSWER_LIMIT: u64 = 64 * 1_024;

impl RequestRouter {
    pub(super) async fn answer(
        &self,
        context: &RequestContext,
        answered: AnsweredExchange,
    ) -> std::result::Result<Response<ProxyBody>, AttemptFailure> {
        let AnsweredExchange { response, guard } = answered;
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        if context.way_back.is_none() {
            remove_fighall_headers(&mut parts.headers);
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
        let body = ProxyBody::streamed(body, pace);
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
}
