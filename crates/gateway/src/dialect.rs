//! Translation between the wire formats of callers, targets and the platform and the gateway's types.
//! A deployment with other header or document names supplies its own set of functions.

use crate::{
    directory::{LookupQuery, LookupResponse},
    load::LoadReport,
    policy::TrafficPolicy,
    roster::TargetEntry,
    target_limit::LimitReport,
};
use fighall_core::{
    ids::{OrgId, RequestId, TargetId},
    value,
};
use fighall_store::mapping::StoreMapping;
use http::HeaderMap;
use std::time::Duration;

value! {
    /// `CallerMetadata` are the values read from the headers of a caller's request.
    #[derive(Default)]
    pub struct CallerMetadata {
        /// Identifier of the request. The native dialect generates one where the caller sent none.
        pub request: RequestId,
        /// Object that the request concerns, used as affinity key; absent without affinity.
        pub object: Option<String>,
        /// Time for which the caller waits for the response; absent where it set no deadline.
        pub timeout: Option<Duration>,
        /// Key that the caller presented.
        pub key: Option<String>,
    }
}

value! {
    /// `TargetMetadata` are the values that fighall adds to the headers of a request to a target.
    pub struct TargetMetadata {
        /// Identifier of the request.
        pub request: RequestId,
        /// Target that may run the request.
        pub target: TargetId,
        /// Time left until the deadline.
        pub time_left: Duration,
        /// Organisation that owns the caller's key; absent for a request without a listed key.
        pub organisation: Option<OrgId>,
    }
}

value! {
    /// `ResponseMetadata` are the values read from the headers of a target's response.
    #[derive(Default)]
    pub struct ResponseMetadata {
        /// Identifier of the request that it responds to.
        pub request: Option<RequestId>,
        /// Whether a header shows that a target produced the response, not a program in between.
        pub from_target: bool,
        /// Whether the target states that it did not run the request.
        pub not_run: bool,
        /// Load that the target reports.
        pub load: Option<LoadReport>,
        /// Remaining warm-up time that the target reports.
        pub cold_for: Option<Duration>,
        /// Idle time after which the target closes the connection, if it announces one.
        pub idle_timeout: Option<Duration>,
        /// Rate limit that the target names for all hosts together.
        pub limit: LimitReport,
        /// Whether the target announces that it is leaving.
        pub leaving: bool,
        /// Time for which the target accepts no requests of this host. [`send_attempt`] keeps it only with
        /// status 503.
        ///
        /// [`send_attempt`]: crate::sender::send_attempt
        pub retry_after: Option<Duration>,
    }
}

/// `WireDialect` is the set of functions that encode and decode the wire formats of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct WireDialect {
    /// Reads the headers of a caller's request.
    pub read_caller_headers: fn(&HeaderMap) -> CallerMetadata,
    /// Removes the headers that a caller must not pass to a target, such as its key, and sets fighall's.
    pub write_target_headers: fn(&mut HeaderMap, &TargetMetadata),
    /// Sets the identifier and the time left of a request that is passed to another host as its caller sent it.
    pub write_passed_headers: fn(&mut HeaderMap, &str, Duration),
    /// Reads the headers of a target's response.
    pub read_response_headers: fn(&HeaderMap) -> ResponseMetadata,
    /// Sets the header that holds the delay after which a refused caller may retry.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
    /// Parses the query string of a look-up request.
    pub read_lookup: fn(&str) -> LookupQuery,
    /// Encodes the body of a look-up response.
    pub write_lookup: fn(&LookupResponse) -> Result<String, String>,
    /// Path of look-up requests.
    pub lookup_path: fn() -> String,
    /// Path of readiness checks.
    pub ready_path: fn() -> String,
    /// Mapping of store calls to HTTP.
    pub store: StoreMapping,
    /// Store kind and name of the object that holds the traffic policy.
    pub policy_object: fn() -> (String, String),
    /// Decodes the traffic policy.
    pub read_policy: fn(&str) -> Result<TrafficPolicy, String>,
    /// Store kind of target entries.
    pub targets_kind: fn() -> String,
    /// Decodes a target's entry from its object name and value.
    pub read_target: fn(&str, &str) -> Result<TargetEntry, String>,
    /// Store kind of evacuations, whose object names are availability zones.
    pub evacuations_kind: fn() -> String,
}
