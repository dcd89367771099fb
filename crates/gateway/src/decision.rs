//! Inputs and results of placement decisions.

use crate::{
    placement::WorkEstimate,
    refusal::{self, RequestLimits, RequestPriority},
};
use fighall_core::{
    ids::{HostId, Incarnation, RegionId, ServiceId, TargetId, ZoneId},
    value,
};
use std::{net::SocketAddr, time::Duration};

value! {
    /// `OwnHost` is the identity and location of this host.
    pub struct OwnHost {
        /// Name of the host.
        pub host: HostId,
        /// Region that it runs in.
        pub region: RegionId,
        /// Availability zone that it runs in.
        pub zone: ZoneId,
        /// Incarnation of the running process.
        pub incarnation: Incarnation,
    }
}

value! {
    /// `PlacementQuery` describes a request for which a target is picked.
    pub struct PlacementQuery {
        /// Service that the request is for.
        pub service: ServiceId,
        /// Route that the request matched.
        pub route: String,
        /// Affinity key, shared by the requests of an object; the request's identifier without affinity.
        pub object: String,
        /// Whether the request has affinity to the targets that cache its object.
        pub sticky: bool,
        /// Regions in which the request may run; absent for all.
        pub allowed_regions: Option<Vec<RegionId>>,
        /// Targets of earlier attempts, which are not picked again.
        pub tried: Vec<TargetId>,
        /// Priority of the request.
        pub priority: RequestPriority,
        /// Time left for the response.
        pub limits: RequestLimits,
    }
}

value! {
    /// `TargetPlacement` is the target picked for one attempt, with the inputs of the decision.
    pub struct TargetPlacement {
        /// Name of the target.
        pub target: TargetId,
        /// Address of the target.
        pub address: SocketAddr,
        /// Region of the target.
        pub region: RegionId,
        /// Maximum number of connections from this host to the target.
        pub max_connections: u32,
        /// Expected latency of the response.
        pub expected_latency: Duration,
        /// Expected wait for a slot at the target.
        pub wait: Duration,
        /// Round trip time to the target.
        pub round_trip: Duration,
        /// Whether this host's history shows the object in the target's cache.
        pub warm: bool,
        /// Estimated processing times of the route.
        pub work: WorkEstimate,
        /// Whether the target is still warming up after its start.
        pub warming_up: bool,
        /// Requests per second that the target accepts from all hosts together, if it names a limit.
        pub limit: Option<f64>,
        /// Position in the ranking by hash, from 0.
        pub hash_rank: usize,
    }
}

value! {
    /// `PlacementRefusal` is the reason for which no target was picked.
    pub enum PlacementRefusal {
        /// No target is available for the request.
        NoTarget {
            /// Time after which the caller may retry.
            retry_after: Duration,
        },
        /// The expected wait for a slot exceeds what the request may wait.
        Busy {
            /// Time after which the caller may retry.
            retry_after: Duration,
            /// Expected latency at the best target.
            expected: Duration,
        },
        /// This host stops before the deadline of the request; the caller may retry at another one at once.
        Ending,
    }
}

impl PlacementRefusal {
    /// Sets the time after which the caller may retry to `target_wait`, after which a target that is limited or
    /// paused accepts a request, unless the refusal allows an earlier retry. [`Duration::MAX`] means that there
    /// is no such target.
    pub fn with_target_wait(mut self, target_wait: Duration) -> Self {
        if target_wait == Duration::MAX {
            return self;
        }
        let target_wait = refusal::clamp_retry_after(target_wait);
        match &mut self {
            Self::NoTarget { retry_after } => *retry_after = target_wait,
            Self::Busy { retry_after, .. } => *retry_after = target_wait.min(*retry_after),
            Self::Ending => {}
        }
        self
    }

    /// Gets the time after which the caller may retry.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::NoTarget { retry_after } | Self::Busy { retry_after, .. } => *retry_after,
            Self::Ending => Duration::ZERO,
        }
    }
}

value! {
    /// `SentRequest` is the state of an attempt that is needed to record its outcome.
    pub struct SentRequest {
        /// Target that the request was sent to.
        pub target: TargetId,
        /// Route that the request matched.
        pub route: String,
        /// Affinity key of the request.
        pub object: String,
        /// Wait that was expected at the time of sending.
        pub wait: Duration,
        /// Round trip time to the target at the time of sending.
        pub round_trip: Duration,
        /// Processing times that were estimated at the time of sending.
        pub work: WorkEstimate,
    }
}
