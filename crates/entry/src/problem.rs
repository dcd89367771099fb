//! Refusals: `application/problem+json` (RFC 9457) with a typed reason and whether the request
//! may have run.

use bytes::Bytes;
use fighall_core::{
    event::{RefusalReason, RunState},
    ids::RequestId,
    message, value,
};
use fighall_net::{body::ProxyBody, headers::REQUEST_HEADER};
use http::{
    HeaderValue, Response, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use std::time::Duration;

/// Content type of refusals.
pub const PROBLEM_TYPE: &str = "application/problem+json";

message! {
    /// `ProblemBody` is the body of a refusal.
    pub struct ProblemBody {
        /// Reason, as a URI reference.
        #[serde(rename = "type")]
        pub kind: String,
        /// Short text.
        pub title: String,
        /// HTTP status.
        pub status: u16,
        /// Reason by name.
        pub reason: RefusalReason,
        /// Whether the request may have run.
        pub run: RunState,
        /// How the host knows.
        pub detail: String,
        /// Request.
        pub request: RequestId,
    }
}

value! {
    /// `RequestRefusal` is why a request ends without a target's answer.
    pub struct RequestRefusal {
        /// Reason.
        pub reason: RefusalReason,
        /// Whether it may have run.
        pub run: RunState,
        /// How the host knows.
        pub evidence: String,
        /// When it makes sense to ask again.
        pub retry_after: Option<Duration>,
    }
}

impl RequestRefusal {
    /// Creates the refusal of a request that certainly did not run.
    pub fn not_run(reason: RefusalReason, evidence: impl Into<String>) -> Self {
        Self {
            reason,
            run: RunState::No,
            evidence: evidence.into(),
            retry_after: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown(evidence: impl Into<String>) -> Self {
        Self {
            reason: RefusalReason::OutcomeUnknown,
            run: RunState::Unknown,
            evidence: evidence.into(),
            retry_after: None,
        }
    }

    /// Tells when it makes sense to ask again.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Gets the HTTP status of the reason.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::Method => StatusCode::METHOD_NOT_ALLOWED,
            RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
            RefusalReason::KeyMissing | RefusalReason::KeyRejected => StatusCode::UNAUTHORIZED,
            RefusalReason::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::Duplicate => StatusCode::CONFLICT,
            RefusalReason::OutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::Cancelled => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::NoTarget => StatusCode::BAD_GATEWAY,
            RefusalReason::KeysStale
            | RefusalReason::NoRoom
            | RefusalReason::Deadline
            | RefusalReason::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Creates the response.
    pub fn response(&self, request: &str) -> Response<ProxyBody> {
        let status = self.status();
        let body = ProblemBody {
            kind: format!("urn:fighall:{}", reason_name(self.reason)),
            title: status.canonical_reason().unwrap_or("refused").to_owned(),
            status: status.as_u16(),
            reason: self.reason,
            run: self.run,
            detail: self.evidence.clone(),
            request: request.to_owned(),
        };
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(ProxyBody::full(Bytes::from(text)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
        if let Ok(value) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_HEADER, value);
        }
        if let Some(wait) = self.retry_after {
            let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds.max(1)));
        }
        response
    }
}

/// Gets a reason as it stands in bodies and metrics.
pub fn reason_name(reason: RefusalReason) -> String {
    let text = serde_json::to_string(&reason).unwrap_or_default();
    text.trim_matches('"').to_owned()
}
