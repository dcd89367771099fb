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
    /// `LinkChallenge` is the first handshake message, sent by the accepting side.
    pub struct LinkChallenge {
        /// Nonce that the dialling side's proof covers.
        pub nonce: String,
    }
}

message! {
    /// `LinkHello` is the second handshake message; it identifies the dialling side.
    pub struct LinkHello {
        /// Dialling host.
        pub host: HostId,
        /// Incarnation of the host.
        pub incarnation: Incarnation,
        /// Region of the host.
        pub region: RegionId,
        /// Availability zone of the host.
        pub zone: ZoneId,
        /// Nonce that the accepting side's proof covers.
        pub nonce: String,
        /// Proof of the fleet secret over the nonce of the challenge.
        pub proof: String,
    }
}

message! {
    /// `LinkWelcome` is the last handshake message; it identifies the accepting side.
    pub struct LinkWelcome {
        /// Accepting host.
        pub host: HostId,
        /// Incarnation of the host.
        pub incarnation: Incarnation,
        /// Region of the host.
        pub region: RegionId,
        /// Availability zone of the host.
        pub zone: ZoneId,
        /// Proof of the fleet secret over the nonce of the dialling side.
        pub proof: String,
    }
}

message! {
    /// `TargetUse` is one host's use of a target.
    pub struct TargetUse {
        /// Target.
        pub target: TargetId,
        /// Requests of the host in flight at the target.
        pub in_flight: u32,
        /// Whether the host has ejected the target.
        pub ejected: bool,
    }
}

message! {
    /// `ServiceCapacity` is the free capacity of a host for requests of a service.
    pub struct ServiceCapacity {
        /// Service.
        pub service: ServiceId,
        /// Free slots held by the host at targets of its region.
        pub free: u32,
    }
}

message! {
    /// `RecentPeer` is an incarnation of a host from which the sender has recently received messages.
    pub struct RecentPeer {
        /// Host.
        pub host: HostId,
        /// Incarnation.
        pub incarnation: Incarnation,
    }
}

message! {
    /// `OrgDemand` is the request rate of an organisation at one host.
    pub struct OrgDemand {
        /// Organisation.
        pub organisation: OrgId,
        /// Rate in millionths of a request per second.
        pub rate: u64,
    }
}

message! {
    /// `HostState` is the state that a host sends to its peers, in full, with each heartbeat.
    #[derive(Default)]
    pub struct HostState {
        /// Member ID held by the host.
        pub member: Option<MemberId>,
        /// Active generation of the configuration.
        pub generation: Generation,
        /// Generations that the host considers settled.
        pub settled: SettledGenerations,
        /// Whether the host accepts new callers and forwarded requests.
        pub open: bool,
        /// Whether the host has less capacity than it needs.
        pub overloaded: bool,
        /// Whether the store responds to the host.
        pub store_up: bool,
        /// Address for callers.
        pub caller_address: String,
        /// Address for forwarded requests.
        pub forward_address: String,
        /// Targets that are in use or ejected.
        pub targets: Vec<TargetUse>,
        /// Free capacity by service.
        #[serde(rename = "rooms")]
        pub capacities: Vec<ServiceCapacity>,
        /// Incarnations from which messages were received within a lease time.
        #[serde(rename = "hears")]
        pub recent_peers: Vec<RecentPeer>,
        /// Demand by organisation; organisations without demand are left out.
        pub demands: Vec<OrgDemand>,
    }
}

message! {
    /// `MirrorDelta` holds the changes of a kind after a version.
    pub struct MirrorDelta {
        /// Kind of the objects.
        pub kind: String,
        /// Version up to which the changes are complete.
        pub version: u64,
        /// Version after which the changes are complete.
        pub after: u64,
        /// Changes, deletions included.
        pub changes: Vec<ObjectChange>,
    }
}

message! {
    /// `PeerMessage` is a message from one host to another.
    #[serde(rename_all = "snake_case")]
    pub enum PeerMessage {
        /// State of the sender; the acknowledgement carries the positions of the receiver's mirrors.
        Heartbeat(HostState),
        /// Message about loans of quota shares.
        Loan(LoanMessage),
        /// Requests the changes of a kind after a version.
        MirrorRequest {
            /// Kind of the objects.
            kind: String,
            /// Version after which changes are requested.
            after: u64,
        },
        /// Changes of a kind.
        MirrorDelta(MirrorDelta),
        /// Requests configuration documents by digest.
        DocumentRequest {
            /// Digests of the documents.
            digests: Vec<String>,
        },
        /// Configuration document.
        Document {
            /// Digest of the document's text.
            digest: String,
            /// Text of the document.
            text: String,
        },
    }
}

message! {
    /// `PeerEnvelope` carries one message from the dialling side.
    pub struct PeerEnvelope {
        /// Sequence number of the sender's incarnation for this receiver.
        pub sequence: u64,
        /// Hybrid logical time at which the message was sent.
        pub stamp: HybridStamp,
        /// Message.
        pub message: PeerMessage,
    }
}

message! {
    /// `LinkAck` acknowledges the messages received by the accepting side.
    pub struct LinkAck {
        /// Highest sequence number received.
        pub sequence: u64,
        /// Hybrid logical time at which the message was sent.
        pub stamp: HybridStamp,
        /// Positions of the receiver's mirrors; only in acknowledgements of heartbeats.
        pub mirrors: Vec<MirrorState>,
        /// Replies to a host to which the receiver does not keep a link.
        pub messages: Vec<PeerMessage>,
    }
}
