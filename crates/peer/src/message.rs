//! Messages between entry hosts.

use fighall_core::{
    clock::HybridStamp,
    ids::{
        Generation, HostId, Incarnation, MemberId, OrgId, RegionId, ServiceId, TargetId, ZoneId,
    },
    message,
};
use fighall_quota::{generations::SettledGenerations, loan::LoanMessage};
use fighall_store::{mirror::MirrorState, object::ObjectChange};

message! {
    /// `LinkChallenge` is the first message of the accepting side.
    pub struct LinkChallenge {
        /// Random text that the proof covers.
        pub nonce: String,
    }
}

message! {
    /// `LinkHello` introduces the dialling side.
    pub struct LinkHello {
        /// Host.
        pub host: HostId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Random text that the accepting side's proof covers.
        pub nonce: String,
        /// Proof of the fleet's secret over the challenge.
        pub proof: String,
    }
}

message! {
    /// `LinkWelcome` ends the opening of a link.
    pub struct LinkWelcome {
        /// Accepting host.
        pub host: HostId,
        /// Its incarnation.
        pub incarnation: Incarnation,
        /// Its region.
        pub region: RegionId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Proof of the fleet's secret over the dialling side's random text.
        pub proof: String,
    }
}

message! {
    /// `TargetUse` is one host's use of a target.
    pub struct TargetUse {
        /// Target.
        pub target: TargetId,
        /// Requests of the host there now.
        pub in_flight: u32,
        /// Whether the host has ejected the target.
        pub ejected: bool,
    }
}

message! {
    /// `ServiceRoom` is the room that a host has for requests of a service.
    pub struct ServiceRoom {
        /// Service.
        pub service: ServiceId,
        /// Free slots that the host holds at targets of its region.
        pub free: u32,
    }
}

message! {
    /// `HeardPeer` is an incarnation of a host that the sender has heard of late.
    pub struct HeardPeer {
        /// Host.
        pub host: HostId,
        /// Incarnation.
        pub incarnation: Incarnation,
    }
}

message! {
    /// `OrgDemand` is the demand of an organisation at one host.
    pub struct OrgDemand {
        /// Organisation.
        pub organisation: OrgId,
        /// Requests a second, in millionths.
        pub rate: u64,
    }
}

message! {
    /// `HostState` is what a host tells its peers of itself, whole, with each heartbeat.
    #[derive(Default)]
    pub struct HostState {
        /// Member id held.
        pub member: Option<MemberId>,
        /// Generation in force.
        pub generation: Generation,
        /// Generations that it has found settled.
        pub settled: SettledGenerations,
        /// Whether it takes new callers and forwarded requests.
        pub open: bool,
        /// Whether it has less room than it needs.
        pub overloaded: bool,
        /// Whether the store answers it.
        pub store_up: bool,
        /// Address for callers.
        pub caller_address: String,
        /// Address for forwarded requests.
        pub forward_address: String,
        /// Use of targets; only those in use or ejected.
        pub targets: Vec<TargetUse>,
        /// Room by service.
        pub rooms: Vec<ServiceRoom>,
        /// Incarnations heard within a lease time.
        pub hears: Vec<HeardPeer>,
        /// Demand by organisation, where there is any.
        pub demands: Vec<OrgDemand>,
    }
}

message! {
    /// `MirrorDelta` brings changes of a kind after a version.
    pub struct MirrorDelta {
        /// Kind.
        pub kind: String,
        /// Version up to which the changes are complete.
        pub version: u64,
        /// Version after which they are complete.
        pub after: u64,
        /// The changes.
        pub changes: Vec<ObjectChange>,
    }
}

message! {
    /// `PeerMessage` is what one host sends to another.
    #[serde(rename_all = "snake_case")]
    pub enum PeerMessage {
        /// State of the sender; it is acknowledged with the receiver's mirrors.
        Heartbeat(HostState),
        /// A message about loans of shares.
        Loan(LoanMessage),
        /// Asks for the changes of a kind after a version.
        MirrorRequest {
            /// Kind.
            kind: String,
            /// Version after which changes are wanted.
            after: u64,
        },
        /// Changes of a kind.
        MirrorDelta(MirrorDelta),
        /// Asks for documents of the configuration by digest.
        DocumentRequest {
            /// Digests.
            digests: Vec<String>,
        },
        /// Brings a document of the configuration.
        Document {
            /// Digest of the text.
            digest: String,
            /// Text.
            text: String,
        },
    }
}

message! {
    /// `PeerEnvelope` carries one message from the dialling side.
    pub struct PeerEnvelope {
        /// Number within the sender's incarnation, for this receiver.
        pub sequence: u64,
        /// Hybrid time of the sending.
        pub stamp: HybridStamp,
        /// Message.
        pub message: PeerMessage,
    }
}

message! {
    /// `LinkAck` is the accepting side's answer to each batch of messages.
    pub struct LinkAck {
        /// Highest number received.
        pub sequence: u64,
        /// Hybrid time of the sending.
        pub stamp: HybridStamp,
        /// How far the receiver's mirrors are; only in answers to heartbeats.
        pub mirrors: Vec<MirrorState>,
        /// Answers to a host to which the receiver keeps no link of its own.
        pub messages: Vec<PeerMessage>,
    }
}
