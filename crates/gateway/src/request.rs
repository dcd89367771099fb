//! State of a caller's request: what was admitted, the results of its attempts, and why it was refused.

use crate::{
    crash::RequestDigest,
    decision::PlacementQuery,
    dialect::CallerMetadata,
    policy::{OrgPolicy, RoutePolicy, ServicePolicy, intersect_regions},
    refusal::{RequestLimits, RequestPriority},
    router::RequestRouter,
    sender::{AttemptOutcome, BufferedResponse, PreparedRequest},
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, RegionId, TargetId, Version},
    tag,
};
use fighall_net::{
    body::IncomingBody,
    connections::ConnectionTable,
    segments::{ReadError, SegmentedBody},
};
use http::{Request, StatusCode, header::HOST};
use hyper::body::Body;
use sha2::{Digest, Sha256};
use std::{
    cell::{Cell, OnceCell, RefCell},
    rc::Rc,
    time::Duration,
};

/// `Retry-After` of a host that is not ready to serve.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` of a host without memory for a request: the time after which bodies that make no progress have been
/// given up.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of a host that reaches no target; another host may serve the request at once.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_millis(100);

tag! {
    /// `RefusalCause` is why the host responded to a request itself instead of passing on a target's response.
    /// The lower-case name of the variant is logged and counted as the request's outcome.
    pub(crate) enum RefusalCause {
        /// This host has no complete copy of the configuration, or the copy is not known to be fresh.
        Unready,
        /// No route matches the host name and path.
        NoRoute,
        /// The key is missing or not listed.
        Key,
        /// The organisation exceeded its rate and burst.
        Rate,
        /// The request body exceeds the policy's limit.
        TooLarge,
        /// The request body ended early or could not be read.
        Cut,
        /// The request body was not complete at the deadline; nothing was sent.
        Incomplete,
        /// The process has no memory for the request; nothing was sent.
        NoMemory,
        /// No target is eligible.
        NoTarget,
        /// The expected wait at the targets is too long.
        Busy,
        /// This host reaches no target, but others do.
        CutOff,
        /// This host is stopping and may end before the response.
        Ending,
        /// All attempts failed, and the request did not run.
        NotRun,
        /// The request crashes the targets that run it.
        Crashing,
        /// An attempt failed after it was sent; the request may have run.
        Unknown,
        /// The deadline passed; the request may have run.
        Timeout,
    }
}

impl RefusalCause {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Unready
            | Self::NoTarget
            | Self::Busy
            | Self::CutOff
            | Self::Ending
            | Self::NoMemory
            | Self::NotRun
            | Self::Crashing => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Key => StatusCode::UNAUTHORIZED,
            Self::Rate => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut => StatusCode::BAD_REQUEST,
            Self::Incomplete => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Tells whether the rest of the request's body is not read, so that its connection cannot be used again.
    pub(crate) fn leaves_body_unread(self) -> bool {
        matches!(
            self,
            Self::TooLarge | Self::Cut | Self::Incomplete | Self::NoMemory
        )
    }
}

/// `RateToken` is the token that a request took from its organisation's rate limit. It is returned
/// on drop if the request did not run, also when the caller disconnected.
pub(crate) struct RateToken {
    router: Rc<RefCell<RequestRouter>>,
    organisation: OrgPolicy,
    consumed: Cell<bool>,
}

impl RateToken {
    pub(crate) fn new(router: &Rc<RefCell<RequestRouter>>, organisation: &OrgPolicy) -> Self {
        Self {
            router: Rc::clone(router),
            organisation: organisation.clone(),
            consumed: Cell::new(false),
        }
    }

    /// Sets whether the request may have run, so that the token is not returned.
    pub(crate) fn set_consumed(&self, consumed: bool) {
        self.consumed.set(consumed);
    }
}

impl Drop for RateToken {
    fn drop(&mut self) {
        if !self.consumed.get() {
            let mut router = self.router.borrow_mut();
            router.refund(boot_time(), &self.organisation);
        }
    }
}

/// `RequestRefusal` is a response that the host generates itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestRefusal {
    pub(crate) cause: RefusalCause,
    pub(crate) retry_after: Option<Duration>,
}

impl RequestRefusal {
    pub(crate) fn new(cause: RefusalCause) -> Self {
        Self {
            cause,
            retry_after: None,
        }
    }

    pub(crate) fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

// A request that passed routing, the key check and the rate limit, with its body read.
pub(crate) struct AdmittedRequest {
    pub(crate) prepared: PreparedRequest,
    pub(crate) metadata: CallerMetadata,
    pub(crate) route: RoutePolicy,
    pub(crate) organisation: Option<OrgPolicy>,
    pub(crate) token: Option<RateToken>,
    pub(crate) service: ServicePolicy,
    pub(crate) arrived_at: BootTime,
    pub(crate) deadline: BootTime,
    digest: OnceCell<RequestDigest>,
}

// What is logged of a request.
#[derive(Default)]
pub(crate) struct RequestTrace {
    pub(crate) route: String,
    // Whether the request may run more than once; false until its route is found.
    pub(crate) idempotent: bool,
    // Version of the policy that chose the route, and the time from the request's arrival until then.
    pub(crate) routed_by: Option<(Version, Duration)>,
    // Descriptions of its attempts at targets and other hosts.
    pub(crate) attempts: Vec<String>,
}

// Results of the attempts of one request so far.
#[derive(Default)]
pub(crate) struct AttemptRecord {
    pub(crate) tried: Vec<TargetId>,
    // Attempts that were sent, also those whose outcome is unknown.
    pub(crate) sent: u32,
    pub(crate) unsent: u32,
    // Whether an attempt was sent and may have run without a valid response.
    pub(crate) outcome_unknown: bool,
    // Last error response of a target to a request that may be retried.
    pub(crate) error_response: Option<BufferedResponse>,
}

pub(crate) fn unready_refusal() -> RequestRefusal {
    RequestRefusal::new(RefusalCause::Unready).with_retry_after(UNREADY_RETRY_AFTER)
}

pub(crate) fn cut_off_refusal() -> RequestRefusal {
    RequestRefusal::new(RefusalCause::CutOff).with_retry_after(CUT_OFF_RETRY_AFTER)
}

// Reads the body into memory, up to the limit of the policy and until the deadline of the request.
pub(crate) async fn prepare_request(
    request: Request<IncomingBody>,
    metadata: &CallerMetadata,
    connections: &ConnectionTable,
    max_body_bytes: usize,
    deadline: BootTime,
) -> std::result::Result<PreparedRequest, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let body = if body.is_end_stream() {
        SegmentedBody::default()
    } else {
        let body = SegmentedBody::read_to_end(body, max_body_bytes, connections);
        let time_left = deadline.saturating_sub(boot_time());
        let body = compio::time::timeout(time_left, body).await;
        let body = body.map_err(|_| RequestRefusal::new(RefusalCause::Incomplete))?;
        body.map_err(|error| body_refusal(&error))?
    };
    let path_and_query = parts.uri.path_and_query().cloned();
    Ok(PreparedRequest {
        id: metadata.request.clone(),
        method: parts.method,
        path_and_query: path_and_query.unwrap_or_else(|| http::uri::PathAndQuery::from_static("/")),
        headers: parts.headers,
        body,
    })
}

fn body_refusal(error: &ReadError) -> RequestRefusal {
    match error {
        ReadError::Cut => RequestRefusal::new(RefusalCause::Cut),
        ReadError::TooLarge { .. } => RequestRefusal::new(RefusalCause::TooLarge),
        ReadError::NoMemory => no_memory_refusal(),
    }
}

pub(crate) fn no_memory_refusal() -> RequestRefusal {
    RequestRefusal::new(RefusalCause::NoMemory).with_retry_after(NO_MEMORY_RETRY_AFTER)
}

// Gets the deadline of a request: that of its caller or its route, whichever is earlier.
pub(crate) fn deadline_of(
    arrived_at: BootTime,
    metadata: &CallerMetadata,
    route: &RoutePolicy,
) -> BootTime {
    let timeout = metadata.timeout.unwrap_or(route.timeout);
    arrived_at + timeout.min(route.timeout)
}

// Gets the regions to which a request may be sent; none if there is no restriction.
pub(crate) fn allowed_regions(
    route: &RoutePolicy,
    organisation: Option<&OrgPolicy>,
) -> Option<Vec<RegionId>> {
    let homes: &[_] = organisation.map_or(&[], |organisation| &organisation.allowed_regions);
    intersect_regions(&route.allowed_regions, homes)
}

// What was found out about a request before its body was read.
pub(crate) struct RequestMatch {
    pub(crate) route: RoutePolicy,
    pub(crate) organisation: Option<OrgPolicy>,
    pub(crate) service: ServicePolicy,
}

impl AdmittedRequest {
    pub(crate) fn new(
        arrived_at: BootTime,
        prepared: PreparedRequest,
        metadata: CallerMetadata,
        matched: RequestMatch,
        token: Option<RateToken>,
    ) -> Self {
        Self {
            deadline: deadline_of(arrived_at, &metadata, &matched.route),
            prepared,
            metadata,
            route: matched.route,
            organisation: matched.organisation,
            token,
            service: matched.service,
            arrived_at,
            digest: OnceCell::new(),
        }
    }

    // Gets the digest of all that is the same when the caller sends the request again. The organisation is a part
    // of it, so that no caller can have the requests of others blocked.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            let organisation = self.organisation.as_ref();
            let host = self.prepared.headers.get(HOST);
            let path_and_query = self.prepared.path_and_query.as_str();
            let head = [
                organisation.map_or(&[][..], |organisation| organisation.name.as_bytes()),
                self.prepared.method.as_str().as_bytes(),
                host.map_or(&[], |host| host.as_bytes()),
                path_and_query.as_bytes(),
            ];
            digest_of(&head, &self.prepared.body)
        })
    }

    pub(crate) fn set_consumed(&self, consumed: bool) {
        if let Some(token) = &self.token {
            token.set_consumed(consumed);
        }
    }

    pub(crate) fn placement_query(&self, now: BootTime, tried: &[TargetId]) -> PlacementQuery {
        let object = self
            .metadata
            .object
            .as_ref()
            .filter(|_| self.route.affinity);
        let elapsed = now.saturating_sub(self.arrived_at);
        PlacementQuery {
            service: self.service.name.clone(),
            route: self.route.name.clone(),
            sticky: object.is_some(),
            object: object.map_or_else(
                || self.prepared.id.clone(),
                |object| format!("{}/{object}", self.route.name),
            ),
            allowed_regions: allowed_regions(&self.route, self.organisation.as_ref()),
            tried: tried.to_vec(),
            priority: RequestPriority {
                organisation: self.organisation.as_ref().map_or(0, |org| org.priority),
                route: self.route.priority,
            },
            limits: RequestLimits {
                objective: self.route.objective.saturating_sub(elapsed),
                timeout: self.deadline.saturating_sub(now),
            },
        }
    }
}

impl AttemptRecord {
    pub(crate) fn record_outcome(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent { .. } => self.unsent += 1,
            AttemptOutcome::Rejected { .. } | AttemptOutcome::Answered(_) => self.sent += 1,
            AttemptOutcome::Unknown { .. } => {
                self.sent += 1;
                self.outcome_unknown = true;
            }
        }
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.outcome_unknown || self.error_response.is_some()
    }

    // An error response of a target takes precedence over a refusal. A refusal that reports to the caller
    // that the request did not run is returned only if no attempt may have run.
    pub(crate) fn into_result(
        self,
        cause: RefusalCause,
        retry_after: Duration,
    ) -> std::result::Result<BufferedResponse, RequestRefusal> {
        if let Some(response) = self.error_response {
            return Ok(response);
        }
        if self.outcome_unknown {
            let cause = match cause {
                RefusalCause::Timeout => cause,
                _ => RefusalCause::Unknown,
            };
            return Err(RequestRefusal::new(cause));
        }
        let cause = match cause {
            RefusalCause::Timeout => RefusalCause::NotRun,
            cause => cause,
        };
        Err(RequestRefusal::new(cause).with_retry_after(retry_after))
    }
}

fn digest_of(head: &[&[u8]], body: &SegmentedBody) -> RequestDigest {
    let mut hasher = Sha256::new();
    let length_bytes = |length: usize| u64::try_from(length).unwrap_or(u64::MAX).to_be_bytes();
    for part in head {
        hasher.update(length_bytes(part.len()));
        hasher.update(part);
    }
    hasher.update(length_bytes(body.len()));
    for segment in body.segments() {
        hasher.update(segment);
    }
    let hash = hasher.finalize();
    let word = |start: usize| {
        let mut word = 0;
        for byte in &hash[start..start + 8] {
            word = word << 8 | u64::from(*byte);
        }
        word
    };
    [word(0), word(8)]
}
