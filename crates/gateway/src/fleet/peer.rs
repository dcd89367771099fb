//! State of one other host and of one other availability zone, as last reported to this host.

use super::{LIVENESS_TIMEOUT, REMOTE_LIVENESS_TIMEOUT};
use crate::{
    message::{PeerHeartbeat, ZoneDigest},
    registry::HostEntry,
};
use fighall_core::ids::{BootTime, OrgId};
use std::{collections::BTreeMap, time::Duration};

/// `FleetPeer` is one other host.
#[derive(Debug)]
pub struct FleetPeer {
    /// Entry in the store.
    pub entry: HostEntry,
    /// Time at which its last heartbeat was received, by this host or by its zone's relay; none before the
    /// first one.
    pub last_seen_at: Option<BootTime>,
    /// Whether it reports that it serves callers.
    pub ready: bool,
    /// Whether it reports that it is stopping.
    pub leaving: bool,
    /// Whether it reports that its calls to the store fail.
    pub store_unreachable: bool,
    /// Whether it reports that it reaches no target.
    pub targets_unreachable: bool,
    /// Its latest heartbeat. Hosts of the own zone and the store watchers of the own region send them.
    pub heartbeat: Option<PeerHeartbeat>,
    /// Time at which that heartbeat was received.
    pub heartbeat_at: BootTime,
    // Whether its entry was missing from the latest complete list.
    pub(super) unlisted: bool,
    pub(super) liveness_timeout: Duration,
    pub(super) admitted_before: BTreeMap<OrgId, u64>,
    // Demand of each organisation, in requests per second, and when it was reported.
    pub(super) demands: BTreeMap<OrgId, (BootTime, f32)>,
}

impl FleetPeer {
    pub(super) fn new(entry: HostEntry, liveness_timeout: Duration) -> Self {
        Self {
            entry,
            last_seen_at: None,
            ready: false,
            leaving: false,
            store_unreachable: false,
            targets_unreachable: false,
            heartbeat: None,
            heartbeat_at: Duration::ZERO,
            unlisted: false,
            liveness_timeout,
            admitted_before: BTreeMap::new(),
            demands: BTreeMap::new(),
        }
    }

    /// Tells whether a heartbeat of the host was received within its liveness timeout.
    pub fn is_live(&self, now: BootTime) -> bool {
        self.last_seen_at
            .is_some_and(|last_seen_at| now.saturating_sub(last_seen_at) < self.liveness_timeout)
    }

    /// Tells whether a heartbeat came from the host itself lately.
    pub fn sends_heartbeats(&self, now: BootTime) -> bool {
        self.heartbeat.is_some() && now.saturating_sub(self.heartbeat_at) < LIVENESS_TIMEOUT
    }

    /// Tells whether the directory may send callers to the host.
    pub fn accepts_callers(&self, now: BootTime) -> bool {
        self.is_live(now) && self.ready && !self.leaving
    }
}

// Latest state of another availability zone, from its digests.
#[derive(Debug)]
pub(super) struct ZoneView {
    pub(super) digest: ZoneDigest,
    pub(super) received_at: BootTime,
    pub(super) admitted_before: BTreeMap<OrgId, u64>,
    pub(super) demands: BTreeMap<OrgId, f32>,
}

impl ZoneView {
    // Tells whether a digest of the zone was received within the liveness timeout.
    pub(super) fn is_live(&self, now: BootTime) -> bool {
        now.saturating_sub(self.received_at) < REMOTE_LIVENESS_TIMEOUT
    }
}
