//! A request on its way: what is known of it from its arrival on.

use crate::pacing::LinkPace;
use bytes::Bytes;
use fighall_config::service::ServiceRoute;
use fighall_core::{
    clock::boot_time,
    event::EventSubject,
    ids::{BootTime, OrgId, RequestId, ServiceId},
};
use fighall_net::body::{BodyProgress, CallerBody};
use http::{HeaderMap, Method, uri::PathAndQuery};
use std::{cell::RefCell, rc::Rc};

/// `RequestBody` is a request's body as it can be sent.
#[derive(Debug)]
pub enum RequestBody {
    /// Held whole: it can be sent again.
    Whole(Bytes),
    /// Passed on as it comes: it can be sent once.
    Streamed {
        /// The body, until it is sent.
        body: RefCell<Option<CallerBody>>,
        /// How far it was read.
        progress: Rc<BodyProgress>,
    },
}

impl RequestBody {
    /// Tells whether the body can be sent (again).
    pub fn is_available(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed { body, .. } => body.borrow().is_some(),
        }
    }

    /// Tells whether the caller failed while its body was read.
    pub fn has_failed(&self) -> bool {
        match self {
            Self::Whole(_) => false,
            Self::Streamed { progress, .. } => progress.has_failed(),
        }
    }
}

/// `RequestContext` is one request.
#[derive(Debug)]
pub struct RequestContext {
    /// Identifier.
    pub id: RequestId,
    /// Service.
    pub service: ServiceId,
    /// Route.
    pub route: ServiceRoute,
    /// Organisation whose key came with it; none on open routes.
    pub organisation: Option<OrgId>,
    /// Weight of the organisation in queues.
    pub weight: u64,
    /// Method.
    pub method: Method,
    /// Path and query, without the key.
    pub target: PathAndQuery,
    /// Headers for the target, without the key.
    pub headers: HeaderMap,
    /// Body.
    pub body: RequestBody,
    /// When it came.
    pub arrived_at: BootTime,
    /// When its answer's head must be there.
    pub deadline: BootTime,
    /// Whether it may be repeated after an unknown outcome.
    pub idempotent: bool,
    /// Pace of the link back to the entry host that forwarded it; none for a caller's own.
    pub way_back: Option<LinkPace>,
}

impl RequestContext {
    /// Gets the name of the organisation, empty on open routes.
    pub fn organisation_name(&self) -> &str {
        self.organisation.as_deref().unwrap_or("")
    }

    /// Gets the path and query whose requests are kept on few targets, if the route asks for it.
    pub fn affinity(&self) -> Option<&str> {
        self.route.affinity.then(|| self.target.as_str())
    }

    /// Gets the subject of events about the request.
    pub fn subject(&self) -> EventSubject {
        EventSubject {
            request: Some(self.id.clone()),
            organisation: self.organisation.clone(),
            service: Some(self.service.clone()),
            ..EventSubject::default()
        }
    }

    /// Gets the time left until the deadline.
    pub fn left(&self) -> std::time::Duration {
        self.deadline.saturating_sub(boot_time())
    }
}
