//! Typed records of the events on the time line, such as placements and refusals.

use crate::{
    clock::HybridStamp,
    ids::{Generation, HostId, MemberId, OrgId, RegionId, RequestId, ServiceId, TargetId},
    message, tag,
};

tag! {
    /// `RefusalReason` is the reason why a request was refused.
    pub enum RefusalReason {
        /// No service or route matches.
        NoRoute,
        /// The route does not allow the method.
        Method,
        /// The request is malformed or too large.
        BadRequest,
        /// The request has no API key.
        KeyMissing,
        /// The key is unknown or withdrawn.
        KeyRejected,
        /// The host cannot confirm that its key table is up to date.
        KeysStale,
        /// The organisation's rate limit and burst are exhausted.
        RateLimited,
        /// No target has free capacity within the deadline.
        NoRoom,
        /// Every target that could serve the request failed before running it.
        NoTarget,
        /// The deadline passed before the request was sent.
        Deadline,
        /// The idempotency key could not be claimed.
        ClaimUnavailable,
        /// Another request has claimed or used the same idempotency key.
        Duplicate,
        /// The request may have run; its outcome is unknown.
        OutcomeUnknown,
        /// The caller cancelled the request.
        Cancelled,
    }
}

tag! {
    /// `RunState` tells whether a refused request may have run on a target.
    pub enum RunState {
        /// It did not run.
        No,
        /// It may have run, for example if the connection broke before the response.
        Unknown,
    }
}

message! {
    /// `EventSubject` identifies what an event concerns; events are filtered by it.
    #[derive(Default)]
    pub struct EventSubject {
        /// Request that the event belongs to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request: Option<RequestId>,
        /// Organisation of the request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub organisation: Option<OrgId>,
        /// Service of the request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<ServiceId>,
        /// Target that was chosen or changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target: Option<TargetId>,
        /// Other host involved, such as the remote end of a link.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub peer: Option<HostId>,
    }
}

message! {
    /// `RunnerUp` is a candidate that was considered but not chosen.
    pub struct RunnerUp {
        /// Name of the target or region.
        pub name: String,
        /// Reason why it was not chosen.
        pub reason: String,
    }
}

message! {
    /// `EventKind` is the type of an event with its details.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum EventKind {
        /// A request was assigned to a target.
        Placed {
            /// Generation of the configuration in effect.
            generation: Generation,
            /// Region of the target.
            region: RegionId,
            /// Reason for choosing this target.
            reason: String,
            /// Candidates that were not chosen.
            runners_up: Vec<RunnerUp>,
            /// Time spent waiting for a slot and a token, in microseconds.
            wait_us: u64,
            /// Rate-limit tokens that the organisation has left on this host, in thousandths.
            share_left: u64,
        },
        /// A request was sent to an entry host of another region.
        Forwarded {
            /// Region that it was sent to.
            region: RegionId,
        },
        /// A request was answered with the target's response.
        Answered {
            /// HTTP status of the response.
            status: u16,
            /// Time from the arrival of the request to the head of the response, in microseconds.
            micros: u64,
        },
        /// A request was refused.
        Refused {
            /// Reason of the refusal.
            reason: RefusalReason,
            /// Whether the request may have run.
            run: RunState,
            /// Observation that `run` is based on.
            evidence: String,
        },
        /// An attempt failed and is retried.
        Retried {
            /// Failure of the attempt.
            cause: String,
        },
        /// A configuration took effect.
        ConfigApplied {
            /// Generation of the configuration.
            generation: Generation,
        },
        /// A configuration was rejected.
        ConfigRejected {
            /// Generation of the rejected configuration.
            generation: Generation,
            /// Reason of the rejection.
            cause: String,
        },
        /// A key was withdrawn.
        KeyWithdrawn {
            /// First characters of the key's digest.
            digest: String,
        },
        /// The membership lease changed.
        LeaseChanged {
            /// Member id after the change; absent without a lease.
            member: Option<MemberId>,
            /// Reason of the change.
            cause: String,
        },
        /// Part of a quota share was lent to a peer.
        LoanGranted {
            /// Name of the quota.
            quota: String,
            /// Number of tokens, in thousandths.
            tokens: u64,
        },
        /// Part of a quota share was borrowed from a peer.
        LoanAccepted {
            /// Name of the quota.
            quota: String,
            /// Number of tokens, in thousandths.
            tokens: u64,
        },
        /// A link to a peer was established.
        PeerUp,
        /// A link to a peer was lost.
        PeerDown {
            /// Reason of the loss.
            cause: String,
        },
        /// A target's health, drain or warm-up state changed.
        TargetChanged {
            /// New state, as text.
            state: String,
        },
        /// The store stopped or resumed responding.
        StoreChanged {
            /// Whether the store responds.
            up: bool,
        },
        /// The process entered a stage of its life cycle.
        StageEntered {
            /// Name of the stage.
            stage: String,
        },
    }
}

message! {
    /// `TimelineEvent` is an event with its time, host and subject.
    pub struct TimelineEvent {
        /// Time of the event by the host's hybrid logical clock.
        pub stamp: HybridStamp,
        /// Host that recorded it.
        pub host: HostId,
        /// What the event concerns.
        pub subject: EventSubject,
        /// Type and details.
        #[serde(flatten)]
        pub kind: EventKind,
    }
}
