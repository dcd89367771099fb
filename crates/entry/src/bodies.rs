//! Callers' bodies: held whole where they are small, else passed on as they come.

use crate::{problem::RequestRefusal, request::RequestBody};
use fighall_core::{event::RefusalReason, value};
use fighall_net::body::{BodyError, BodyProgress, CallerBody};
use http::{
    HeaderMap,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::BodyExt;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Largest body that is held whole, so that it can be sent again.
const WHOLE_BODY_LIMIT: u64 = 64 * 1_024;

value! {
    /// `BodyBounds` are the bounds of a caller's body.
    #[derive(Copy)]
    pub struct BodyBounds {
        /// Largest body in bytes.
        pub limit: u64,
        /// Longest pause.
        pub pause: Duration,
    }
}

/// Takes a body within its bounds; see [`take_body`].
///
/// # Errors
///
/// Returns a refusal when the body is too large, or the caller fails to send it.
pub async fn take_bounded(
    headers: &HeaderMap,
    body: CallerBody,
    progress: Rc<BodyProgress>,
    bounds: BodyBounds,
) -> Result<RequestBody, RequestRefusal> {
    if content_length(headers).is_some_and(|length| length > bounds.limit) {
        return Err(too_large());
    }
    take_body(headers, body, progress).await
}

/// Takes a body whole when it is small and its length is known; else it will be passed on as it
/// comes.
///
/// # Errors
///
/// Returns a refusal when the caller fails to send the body; nothing was sent on.
pub async fn take_body(
    headers: &HeaderMap,
    body: CallerBody,
    progress: Rc<BodyProgress>,
) -> Result<RequestBody, RequestRefusal> {
    let length = content_length(headers);
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let known = if chunked {
        None
    } else {
        Some(length.unwrap_or(0))
    };
    if known.is_some_and(|length| length <= WHOLE_BODY_LIMIT) {
        let collected = body.collect().await.map_err(|error| body_refusal(&error))?;
        return Ok(RequestBody::Whole(collected.to_bytes()));
    }
    Ok(RequestBody::Streamed {
        body: RefCell::new(Some(body)),
        progress,
    })
}

fn body_refusal(error: &BodyError) -> RequestRefusal {
    match error {
        BodyError::TooLarge { .. } => too_large(),
        BodyError::Cut { .. } | BodyError::TooSlow { .. } => {
            RequestRefusal::not_run(RefusalReason::Cancelled, error.to_string())
        }
    }
}

fn too_large() -> RequestRefusal {
    RequestRefusal::not_run(
        RefusalReason::BadRequest,
        "the body exceeds the route's limit",
    )
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
