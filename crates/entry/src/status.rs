//! Messages of the operators' interface.

use fighall_core::{
    event::TimelineEvent,
    ids::{Generation, HostId, Incarnation, MemberId, OrgId, RegionId, TargetId, ZoneId},
    message,
};

message! {
    /// `HostStatus` is one entry host as it sees itself and its peers.
    pub struct HostStatus {
        /// Host.
        pub host: HostId,
        /// Incarnation.
        pub incarnation: Incarnation,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
        /// Stage of its life.
        pub stage: String,
        /// Generation in force.
        pub generation: Generation,
        /// Member id held.
        pub member: Option<MemberId>,
        /// Whether its base shares are in use.
        pub active: bool,
        /// Whether the store answers it.
        pub store_up: bool,
        /// Whether its key table may be relied on.
        pub keys_fresh: bool,
        /// Version of its key table.
        pub keys_version: u64,
        /// Requests and connections in work.
        pub work: usize,
        /// Peers.
        pub peers: Vec<PeerStatus>,
        /// Shares of rates.
        pub shares: Vec<ShareStatus>,
        /// Targets.
        pub targets: Vec<TargetStatus>,
        /// What became of organisations' requests since the process started.
        pub served: Vec<OrgServed>,
    }
}

message! {
    /// `OrgServed` counts an organisation's requests.
    #[derive(Eq, Default)]
    pub struct OrgServed {
        /// Organisation.
        pub organisation: OrgId,
        /// Requests answered.
        pub answered: u64,
        /// Requests refused.
        pub refused: u64,
        /// Requests refused for rate although the organisation was within its rate.
        pub refused_within_rate: u64,
    }
}

message! {
    /// `PeerStatus` is a peer.
    pub struct PeerStatus {
        /// Host.
        pub host: HostId,
        /// State of the link to it.
        pub link: String,
        /// Round trip in microseconds.
        pub round_trip_us: u64,
        /// Generation it has in force.
        pub generation: Generation,
        /// Messages dropped for want of room.
        pub dropped: u64,
    }
}

message! {
    /// `ShareStatus` is this host's share of a rate. Tokens and rates are in thousandths.
    pub struct ShareStatus {
        /// Quota.
        pub quota: String,
        /// Limit over the fleet, a second.
        pub limit: u64,
        /// Rate held here.
        pub rate: u64,
        /// Tokens held here.
        pub tokens: u64,
        /// Rate lent to others.
        pub lent: u64,
        /// Rate borrowed from others.
        pub borrowed: u64,
        /// Estimated demand here, a second.
        pub demand: u64,
    }
}

message! {
    /// `TargetStatus` is a target as this host sees it.
    pub struct TargetStatus {
        /// Target.
        pub target: TargetId,
        /// Service.
        pub service: String,
        /// Region.
        pub region: RegionId,
        /// Availability zone.
        pub zone: ZoneId,
        /// State: `up`, `ejected`, `drained` or `leaving`.
        pub state: String,
        /// Requests of this host there.
        pub in_flight: u32,
        /// Requests known there.
        pub busy: u32,
        /// Slots of the target.
        pub slots: u32,
        /// Slots of it held here.
        pub held: u32,
        /// Part of the full share that slow start gives it, in percent.
        pub ramp_percent: u32,
    }
}

message! {
    /// `EventBatch` is a part of a host's time line.
    pub struct EventBatch {
        /// Events, the oldest first.
        pub events: Vec<TimelineEvent>,
    }
}

message! {
    /// `ExplainAnswer` is what a request would get now, with every candidate.
    pub struct ExplainAnswer {
        /// Host that answers.
        pub host: HostId,
        /// Service.
        pub service: String,
        /// Region of the host.
        pub region: RegionId,
        /// Target that would be picked, by lowest known load.
        pub target: Option<TargetId>,
        /// All candidates.
        pub candidates: Vec<CandidateStatus>,
        /// Wait that must be expected, in milliseconds.
        pub wait_ms: u64,
    }
}

message! {
    /// `CandidateStatus` is one candidate.
    pub struct CandidateStatus {
        /// Target.
        pub target: TargetId,
        /// Requests known there.
        pub busy: u32,
        /// Slots.
        pub slots: u32,
        /// Whether it is in the host's own zone.
        pub same_zone: bool,
        /// Why it cannot be picked, or lost.
        pub verdict: String,
    }
}
