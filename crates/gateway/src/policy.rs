//! The traffic policy: the routes, services and organisations of an accepted configuration.

use crate::millis;
use fighall_core::{
    ids::{OrgId, RegionId, ServiceId, Version},
    message,
};
use std::{collections::BTreeMap, time::Duration};

/// Maximum size of a request's header fields without a configured one, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1_024;
/// Longest time for a request's head without a configured one.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

message! {
    /// `SplitPart` is a service that gets a share of a route's requests.
    pub struct SplitPart {
        /// Name of the service.
        pub service: ServiceId,
        /// Weight relative to the other parts of the route.
        pub weight: u32,
    }
}

message! {
    /// `RoutePolicy` is the policy of one route.
    pub struct RoutePolicy {
        /// Name of the route, unique within the policy.
        pub name: String,
        /// Path prefix, with a slash at both ends.
        pub prefix: String,
        /// Services that requests are split among; never empty.
        pub parts: Vec<SplitPart>,
        /// Whether a request may safely run more than once.
        pub idempotent: bool,
        /// Maximum number of attempts that reach a target, including the first.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Request timeout; a caller may set a shorter one.
        #[serde(rename = "timeout_ms", with = "millis")]
        pub timeout: Duration,
        /// Latency objective of responses.
        #[serde(rename = "objective_ms", with = "millis")]
        pub objective: Duration,
        /// Priority under overload; 0 is the most urgent.
        pub priority: u32,
        /// Whether requests are accepted without an API key.
        #[serde(rename = "open")]
        pub anonymous: bool,
        /// Whether the requests of an object are kept on a few targets.
        pub affinity: bool,
        /// Regions in which requests may run; empty for all.
        #[serde(rename = "homes")]
        pub allowed_regions: Vec<RegionId>,
    }
}

message! {
    /// `ServicePolicy` is the policy of one service.
    pub struct ServicePolicy {
        /// Name of the service.
        pub name: ServiceId,
        /// Maximum number of connections to each of its targets, over all hosts.
        #[serde(rename = "connections")]
        pub max_connections: u32,
        /// Warm-up time of a target after its start.
        #[serde(rename = "warmup_ms", with = "millis")]
        pub warmup: Duration,
        /// Requests per second that a target can handle during its warm-up, over all hosts.
        pub warmup_rate: f64,
    }
}

message! {
    /// `OrgPolicy` is the policy of one organisation.
    pub struct OrgPolicy {
        /// Name of the organisation.
        pub name: OrgId,
        /// Priority under overload; 0 is the most urgent. It is added to the route's priority.
        pub priority: u32,
        /// Rate limit in requests per second over all hosts; absent without a limit.
        pub rate: Option<f64>,
        /// Capacity in requests of the rate limit's token bucket.
        pub burst: f64,
        /// Regions in which requests may run; empty for all.
        #[serde(rename = "homes")]
        pub allowed_regions: Vec<RegionId>,
    }
}

message! {
    /// `CallerLimits` are limits on the requests and connections of callers.
    pub struct CallerLimits {
        /// Maximum size of a request body in bytes.
        #[serde(rename = "body_bytes")]
        pub max_body_bytes: usize,
        /// Idle timeout of keep-alive connections.
        #[serde(rename = "idle_ms", with = "millis")]
        pub idle_timeout: Duration,
        /// Maximum size of a request's header fields in bytes.
        #[serde(rename = "head_bytes", default = "default_head_bytes")]
        pub max_head_bytes: usize,
        /// Longest time from the first to the last byte of a request's head.
        #[serde(rename = "head_ms", with = "millis", default = "default_head_timeout")]
        pub head_timeout: Duration,
    }
}

fn default_head_bytes() -> usize {
    DEFAULT_HEAD_BYTES
}

fn default_head_timeout() -> Duration {
    DEFAULT_HEAD_TIMEOUT
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(15),
            max_head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
        }
    }
}

message! {
    /// `TrafficPolicy` is the traffic policy of one accepted configuration.
    #[derive(Default)]
    pub struct TrafficPolicy {
        /// Version, which increases with each configuration.
        pub version: Version,
        /// Routes by host name, in descending order of prefix length.
        pub routes: BTreeMap<String, Vec<RoutePolicy>>,
        /// Services by name.
        pub services: BTreeMap<ServiceId, ServicePolicy>,
        /// Organisations by name.
        pub organisations: BTreeMap<OrgId, OrgPolicy>,
        /// Names of organisations by API key.
        pub keys: BTreeMap<String, OrgId>,
        /// Limits on callers.
        pub limits: CallerLimits,
    }
}

impl TrafficPolicy {
    /// Sorts the routes so that the first match has the longest prefix.
    pub fn with_sorted_routes(mut self) -> Self {
        for routes in self.routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self
    }

    /// Finds the route for a host name and a path. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePolicy> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = self.routes.get(name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the organisation that an API key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&OrgPolicy> {
        self.organisations.get(self.keys.get(key)?)
    }

    /// Tells whether requests of a route need an API key. Without any organisation none do.
    pub fn needs_key(&self, route: &RoutePolicy) -> bool {
        !self.organisations.is_empty() && !route.anonymous
    }
}

/// Gets the regions that both a route and an organisation allow; an empty list allows all. Returns
/// `None` if all regions are allowed.
pub fn intersect_regions(route: &[RegionId], organisation: &[RegionId]) -> Option<Vec<RegionId>> {
    match (route.is_empty(), organisation.is_empty()) {
        (true, true) => None,
        (false, true) => Some(route.to_vec()),
        (true, false) => Some(organisation.to_vec()),
        (false, false) => {
            let both = route.iter().filter(|region| organisation.contains(region));
            Some(both.cloned().collect())
        }
    }
}
