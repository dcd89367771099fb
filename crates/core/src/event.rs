//! Events of the time line: every decision as a typed record.

use crate::{
    clock::HybridStamp,
    ids::{Generation, HostId, MemberId, OrgId, RegionId, RequestId, ServiceId, TargetId},
    message, tag,
};

tag! {
    /// `RefusalReason` tells why a request was refused.
    pub enum RefusalReason {
        /// No service or route matches.
        NoRoute,
        /// The route does not take the method.
        Method,
        /// The request is malformed or too large.
        BadRequest,
        /// No key came with the request.
        KeyMissing,
        /// The key is unknown or withdrawn.
        KeyRejected,
        /// The host cannot show that its key table is fresh.
        KeysStale,
        /// The organisation's rate and burst are used up.
        RateLimited,
        /// No target has room within the deadline.
        NoRoom,
        /// Every target that could serve the request failed before running it.
        NoTarget,
        /// The deadline passed before the request was sent.
        Deadline,
        /// The claim of the idempotency key could not be made.
        ClaimUnavailable,
        /// Another request holds or used the same idempotency key.
        Duplicate,
        /// The request may have run; its outcome is unknown.
        OutcomeUnknown,
        /// The caller's request was ended by the caller.
        Cancelled,
    }
}

tag! {
    /// `RunState` tells whether a refused request may have run at a target.
    pub enum RunState {
        /// It certainly did not run.
        No,
        /// It may have run.
        Unknown,
    }
}

message! {
    /// `EventSubject` names what an event is about, for filters.
    #[derive(Default)]
    pub struct EventSubject {
        /// Request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub request: Option<RequestId>,
        /// Organisation.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub organisation: Option<OrgId>,
        /// Service.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<ServiceId>,
        /// Target.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target: Option<TargetId>,
        /// Another host.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub peer: Option<HostId>,
    }
}

message! {
    /// `RunnerUp` is a candidate that was considered and not chosen.
    pub struct RunnerUp {
        /// Target or region.
        pub name: String,
        /// Why it lost.
        pub reason: String,
    }
}

message! {
    /// `EventKind` is what happened.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum EventKind {
        /// A request was given a target.
        Placed {
            /// Generation in force.
            generation: Generation,
            /// Region of the target.
            region: RegionId,
            /// Why this target.
            reason: String,
            /// Candidates not chosen.
            runners_up: Vec<RunnerUp>,
            /// Time spent waiting for a slot and a token, in microseconds.
            wait_us: u64,
            /// Tokens of the organisation left at this host, in thousandths.
            share_left: u64,
        },
        /// A request was sent to an entry host of another region.
        Forwarded {
            /// Region it went to.
            region: RegionId,
        },
        /// A request ended with the target's answer.
        Answered {
            /// HTTP status.
            status: u16,
            /// Time from the request's arrival to the answer's head, in microseconds.
            micros: u64,
        },
        /// A request was refused.
        Refused {
            /// Why.
            reason: RefusalReason,
            /// Whether it may have run.
            run: RunState,
            /// How the host knows.
            evidence: String,
        },
        /// An attempt failed and another one follows.
        Retried {
            /// What failed.
            cause: String,
        },
        /// A configuration came into force.
        ConfigApplied {
            /// Its generation.
            generation: Generation,
        },
        /// A configuration was not taken.
        ConfigRejected {
            /// Generation offered.
            generation: Generation,
            /// Why.
            cause: String,
        },
        /// A key was withdrawn.
        KeyWithdrawn {
            /// First characters of the key's digest.
            digest: String,
        },
        /// The membership lease changed.
        LeaseChanged {
            /// Member id held now.
            member: Option<MemberId>,
            /// Why.
            cause: String,
        },
        /// A loan of a share was granted to a peer.
        LoanGranted {
            /// Quota.
            quota: String,
            /// Tokens in thousandths.
            tokens: u64,
        },
        /// A loan of a share was taken in.
        LoanAccepted {
            /// Quota.
            quota: String,
            /// Tokens in thousandths.
            tokens: u64,
        },
        /// A link to a peer came up.
        PeerUp,
        /// A link to a peer went down.
        PeerDown {
            /// Why.
            cause: String,
        },
        /// A target's health, drain or warm-up state changed.
        TargetChanged {
            /// The new state.
            state: String,
        },
        /// The store stopped or resumed answering.
        StoreChanged {
            /// Whether it answers.
            up: bool,
        },
        /// The process entered a stage of its life.
        StageEntered {
            /// The stage.
            stage: String,
        },
    }
}

message! {
    /// `TimelineEvent` is one event with its time and place.
    pub struct TimelineEvent {
        /// Hybrid time.
        pub stamp: HybridStamp,
        /// Host that recorded it.
        pub host: HostId,
        /// What it is about.
        pub subject: EventSubject,
        /// What happened.
        #[serde(flatten)]
        pub kind: EventKind,
    }
}
