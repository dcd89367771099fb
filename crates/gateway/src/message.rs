//! Messages between hosts, encoded as CBOR, one per datagram. Field names are short on the wire because
//! these messages make up a large part of all traffic other than callers' requests.

use crate::crash::{CrashId, RequestDigest};
use fighall_core::{
    ids::{HostId, Incarnation, OrgId, RegionId, ServiceId, TargetId, Version, ZoneId},
    message, tag,
};
use fighall_store::object::{ObjectChange, StoreObject};
use std::collections::BTreeMap;

/// Digest of settings: equal for equal values.
pub type SettingsDigest = u64;

message! {
    /// `PeerMessage` is the content of one datagram.
    pub enum PeerMessage {
        /// Heartbeat, between hosts of an availability zone, and with the store watchers of a region.
        #[serde(rename = "b")]
        Heartbeat(PeerHeartbeat),
        /// Digest of an availability zone, sent to the others and forwarded within them.
        #[serde(rename = "d")]
        Digest(ZoneDigest),
        /// Store changes, from a store watcher to its region.
        #[serde(rename = "c")]
        Changes(KindChanges),
    }
}

tag! {
    /// `FollowedKind` is a kind of store objects that a gateway keeps copies of.
    pub enum FollowedKind {
        /// Traffic policy.
        Policy,
        /// Targets with their addresses and states.
        Targets,
        /// Evacuated availability zones.
        Evacuations,
        /// Registered hosts.
        Hosts,
    }
}

message! {
    /// `KindChanges` are consecutive changes of one kind, forwarded by a host that watches the store.
    pub struct KindChanges {
        /// Kind of the changed objects.
        #[serde(rename = "k")]
        pub kind: FollowedKind,
        /// Store version after which they start: no change between it and `version` is left out.
        #[serde(rename = "p")]
        pub previous: Version,
        /// Store version up to which they are complete; it may be above that of the last change.
        #[serde(rename = "v")]
        pub version: Version,
        /// Changes in the order in which the store returned them.
        #[serde(rename = "c")]
        pub changes: Vec<ObjectChange>,
        /// Whether the receiver forwards them to the other hosts of its availability zone.
        #[serde(rename = "f", default)]
        pub to_forward: bool,
    }
}

message! {
    /// `KindCopy` is a host's copy of all objects of a kind, for another host.
    pub struct KindCopy {
        /// Kind of the objects.
        #[serde(rename = "k")]
        pub kind: FollowedKind,
        /// Store version up to which no change is missing.
        #[serde(rename = "v")]
        pub version: Version,
        /// Objects as the store holds them, those that cannot be decoded left out.
        #[serde(rename = "o")]
        pub objects: Vec<StoreObject>,
    }
}

message! {
    /// `HeartbeatEcho` refers to the latest heartbeat that came from the receiver, so that the receiver can
    /// convert the sender's ages to its own clock.
    #[derive(Copy)]
    pub struct HeartbeatEcho {
        /// Incarnation of the receiver that sent that heartbeat; after a restart its clock may differ.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Time at which the receiver sent it, by the receiver's clock, in microseconds.
        #[serde(rename = "t")]
        pub sent_us: u64,
        /// Time from its arrival until now, by the sender's clock, in microseconds.
        #[serde(rename = "d")]
        pub held_us: u64,
    }
}

message! {
    /// `CopyStatus` holds the versions and ages of a host's copies of store objects.
    #[derive(Copy, Default)]
    pub struct CopyStatus {
        /// Store version of the latest change of the traffic policy.
        #[serde(rename = "p")]
        pub policy: Version,
        /// Number that the author gave the policy in force; 0 if there is none.
        #[serde(rename = "n", default)]
        pub policy_number: u64,
        /// Age of the latest confirmation of the policy, in microseconds; none before the first one.
        #[serde(rename = "a")]
        pub policy_age_us: Option<u64>,
        /// Time since the store last responded to a call of this host, in microseconds; none before the
        /// first response.
        #[serde(rename = "o")]
        pub store_age_us: Option<u64>,
        /// Whether a store call of this host failed lately and none has succeeded since.
        #[serde(rename = "w", default)]
        pub store_unreachable: bool,
        /// Store version of the latest change of the targets.
        #[serde(rename = "s")]
        pub targets: Version,
        /// Store version of the latest change of the evacuations.
        #[serde(rename = "z")]
        pub evacuations: Version,
        /// Digest of the settings in force that hosts share.
        #[serde(rename = "x", default)]
        pub settings: SettingsDigest,
    }
}

impl CopyStatus {
    /// Gets the version of the latest change of a kind; 0 for hosts, which have none here.
    pub fn version_of(&self, kind: FollowedKind) -> Version {
        match kind {
            FollowedKind::Policy => self.policy,
            FollowedKind::Targets => self.targets,
            FollowedKind::Evacuations => self.evacuations,
            FollowedKind::Hosts => 0,
        }
    }
}

message! {
    /// `ZoneVersions` summarises what the live hosts of an availability zone have in force.
    #[derive(Default)]
    pub struct ZoneVersions {
        /// Number of live hosts.
        #[serde(rename = "n")]
        pub hosts: u32,
        /// Lowest number of the policy in force; 0 if a host has none.
        #[serde(rename = "p")]
        pub policy: u64,
        /// Number of hosts with a lower policy number than the highest one that the relay is aware of.
        #[serde(rename = "b")]
        pub hosts_behind: u32,
        /// Lowest store version of the targets.
        #[serde(rename = "s")]
        pub targets: Version,
        /// Lowest store version of the evacuations.
        #[serde(rename = "z")]
        pub evacuations: Version,
        /// Number of hosts by the digest of their settings.
        #[serde(rename = "x")]
        pub settings: BTreeMap<SettingsDigest, u32>,
    }
}

message! {
    /// `OrgUsage` is an organisation's usage of its rate at one host or in one availability zone.
    pub struct OrgUsage {
        /// Name of the organisation.
        #[serde(rename = "o")]
        pub organisation: OrgId,
        /// Requests admitted since the start of the process that counts them.
        #[serde(rename = "n")]
        pub admitted: u64,
        /// Requests per second, whether admitted or not, as a moving average.
        #[serde(rename = "q")]
        pub demand: f32,
        /// Requests admitted within the last one, two, three... intervals of
        /// [`RECENT_INTERVAL`](crate::admissions::RECENT_INTERVAL), for receivers without an earlier value
        /// of `admitted`. Later intervals without admissions are left out; empty when all receivers have a
        /// value.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        pub recent: Vec<u64>,
    }
}

message! {
    /// `LimitClaim` is what a host, or an availability zone, reports of the rate limit that a
    /// target names, and its claim on it.
    pub struct LimitClaim {
        /// Name of the target.
        #[serde(rename = "n")]
        pub target: TargetId,
        /// Start time of its process, which identifies its incarnation.
        #[serde(rename = "b")]
        pub started_ms: Option<u64>,
        /// Requests per second that the target accepts from all hosts together; none if the limit ended.
        #[serde(rename = "r")]
        pub rate: Option<f64>,
        /// Time since the response that this is known from, in milliseconds.
        #[serde(rename = "a")]
        pub age_ms: u64,
        /// Number of live holders.
        #[serde(rename = "h")]
        pub live_holders: u32,
        /// Requests per second that live holders would send without the limit.
        #[serde(rename = "q")]
        pub demand: f32,
        /// Fraction of the limit that all holders take.
        #[serde(rename = "f")]
        pub fraction: f32,
        /// Fraction that is reserved for holders that are not live.
        #[serde(rename = "s")]
        pub reserved: f32,
    }
}

message! {
    /// `CrashReport` is what a host, or an availability zone, reports of a request that targets crash under.
    pub struct CrashReport {
        /// Digest of the request.
        #[serde(rename = "d")]
        pub digest: RequestDigest,
        /// Crashes of targets that were running it.
        #[serde(rename = "c")]
        pub crashes: Vec<CrashId>,
        /// Time since the request was blocked, in milliseconds; none if it is not.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        pub blocked_ms: Option<u64>,
        /// Time since a target responded to it, in milliseconds; none if none has since the crashes.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        pub cleared_ms: Option<u64>,
    }
}

message! {
    /// `PeerHeartbeat` is sent by each host several times a second to every other host of its availability zone
    /// and to the store watchers of its region, and by these to every host of their region. What digests
    /// report (usages, demands, limits, crashes) is left out towards other availability zones.
    pub struct PeerHeartbeat {
        /// Name of the sender.
        #[serde(rename = "h")]
        pub host: HostId,
        /// Incarnation of the sender.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Time of sending, by the sender's clock, in microseconds.
        #[serde(rename = "t")]
        pub sent_us: u64,
        /// Echo of the receiver's latest heartbeat; none before the first one.
        #[serde(rename = "e")]
        pub echo: Option<HeartbeatEcho>,
        /// Whether the sender serves callers.
        #[serde(rename = "r")]
        pub ready: bool,
        /// Whether the sender is stopping.
        #[serde(rename = "l")]
        pub leaving: bool,
        /// Whether the sender reaches no target.
        #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
        pub targets_unreachable: bool,
        /// State of the sender's copies.
        #[serde(rename = "c")]
        pub copies: CopyStatus,
        /// Usage of the organisations whose admissions changed lately.
        #[serde(rename = "u")]
        pub usages: Vec<OrgUsage>,
        /// Average number of requests in flight, by service; none if it is not measured yet.
        #[serde(rename = "d")]
        pub demands: BTreeMap<ServiceId, Option<f32>>,
        /// Rate limits that targets name, and the sender's claims on them.
        #[serde(rename = "m", default)]
        pub limits: Vec<LimitClaim>,
        /// Requests that targets crash under, as observed by the sender, and all that are blocked.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        pub crashes: Vec<CrashReport>,
    }
}

message! {
    /// `HostStatus` is the state of one host in a digest.
    pub struct HostStatus {
        /// Name of the host.
        #[serde(rename = "h")]
        pub host: HostId,
        /// Incarnation of the host.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Time since the relay last received a heartbeat from it, in milliseconds; 0 for the relay itself.
        #[serde(rename = "a")]
        pub age_ms: u64,
        /// Whether it serves callers.
        #[serde(rename = "r")]
        pub ready: bool,
        /// Whether it is stopping.
        #[serde(rename = "l")]
        pub leaving: bool,
        /// Whether a store call of it failed lately and none has succeeded since.
        #[serde(rename = "w", default)]
        pub store_unreachable: bool,
        /// Whether it reaches no target.
        #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
        pub targets_unreachable: bool,
    }
}

message! {
    /// `ZoneDigest` summarises an availability zone for the others; the zone's relay sends it.
    pub struct ZoneDigest {
        /// Region of the zone.
        #[serde(rename = "g")]
        pub region: RegionId,
        /// Summarised availability zone.
        #[serde(rename = "z")]
        pub zone: ZoneId,
        /// Name of the relay.
        #[serde(rename = "h")]
        pub relay: HostId,
        /// Incarnation of the relay.
        #[serde(rename = "i")]
        pub incarnation: Incarnation,
        /// Time of sending, by the relay's clock, in microseconds.
        #[serde(rename = "t")]
        pub sent_us: u64,
        /// Whether a host of the receiving zone has forwarded it.
        #[serde(rename = "f")]
        pub forwarded: bool,
        /// Live hosts of the zone, including the relay.
        #[serde(rename = "n")]
        pub hosts: Vec<HostStatus>,
        /// State of the relay's copies.
        #[serde(rename = "c")]
        pub copies: CopyStatus,
        /// Usage of the organisations whose admissions in the zone changed lately, counted since the relay's
        /// start.
        #[serde(rename = "u")]
        pub usages: Vec<OrgUsage>,
        /// Average number of requests in flight at the zone's hosts, by service; none if it is not measured yet.
        #[serde(rename = "d")]
        pub demands: BTreeMap<ServiceId, Option<f32>>,
        /// Rate limits that targets name, and the claims of the zone's hosts on them.
        #[serde(rename = "m", default)]
        pub limits: Vec<LimitClaim>,
        /// Requests that targets crash under, as observed in the zone, and all that are blocked.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        pub crashes: Vec<CrashReport>,
        /// What the zone's hosts have in force.
        #[serde(rename = "v", default)]
        pub versions: ZoneVersions,
    }
}

/// Converts to the single precision that messages use for demands.
#[allow(clippy::cast_possible_truncation)]
pub(crate) fn to_f32(value: f64) -> f32 {
    value as f32
}
