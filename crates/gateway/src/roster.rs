//! Service discovery: the targets that the platform lists, each with its load, health and warm-up rate
//! limit. An entry that disappears without notice is kept for a grace period, since it may have expired
//! while the store was unavailable and may come back.

use crate::{
    health::TargetHealth, load::TargetLoad, millis, ration::WarmupLimiter,
    target_limit::TargetLimiter, target_pause::TargetPause,
};
use fighall_core::{
    ids::{BootTime, RegionId, ServiceId, TargetId, ZoneId},
    message,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Grace period of a missing entry, from the last sign of a store outage. According to the platform, the
/// entry of a live target that expired during an outage is back within about two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_200);
/// Grace period of an entry that disappears while the store is available: it covers errors in the list
/// and is well below the time limit of drains.
const MISSING_GRACE: Duration = Duration::from_millis(300);

/// Time after a restore of the store from an older copy within which its entries are not relied on:
/// targets rewrite what they had written since that copy.
pub const RESTORE_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which a departed target is remembered: copies from which the store is restored are seconds
/// old.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Time by which a reported warm-up remainder may be out of date when it arrives.
const WARMUP_MARGIN: Duration = Duration::from_millis(500);

message! {
    /// `TargetEntry` is the platform's entry of one target.
    pub struct TargetEntry {
        /// Name of the target.
        pub name: TargetId,
        /// Service that it serves.
        pub service: ServiceId,
        /// Address for requests.
        pub address: SocketAddr,
        /// Availability zone that it runs in.
        pub zone: ZoneId,
        /// Number of requests that it processes concurrently.
        pub slots: u32,
        /// Whether it is about to leave and accepts no new requests.
        pub leaving: bool,
        /// Remaining time of its warm-up; zero if not reported.
        #[serde(rename = "cold_ms", with = "millis")]
        pub warmup_left: Duration,
        /// Start time of its process in wall-clock milliseconds, which identifies its incarnation.
        #[serde(rename = "born")]
        pub started_ms: Option<u64>,
        /// Sequence number of the entry among those that the incarnation has written.
        #[serde(default)]
        pub sequence: u64,
    }
}

impl TargetEntry {
    // Tells whether the same incarnation has replaced the entry by `later`.
    fn is_replaced_by(&self, later: &Self) -> bool {
        self.started_ms.is_some()
            && self.started_ms == later.started_ms
            && self.sequence < later.sequence
    }
}

/// `RosterRecord` is one listed target with the state that this host keeps for it.
#[derive(Debug)]
pub struct RosterRecord {
    /// Latest entry of the target.
    pub entry: TargetEntry,
    /// Region of its availability zone; empty if the zone is unknown.
    pub region: RegionId,
    /// End of its warm-up.
    pub warmup_until: BootTime,
    /// Estimated load.
    pub load: TargetLoad,
    /// Failure rate and ejection.
    pub health: TargetHealth,
    /// Rate limit during its warm-up.
    pub warmup_limiter: WarmupLimiter,
    /// Rate limit that it names itself.
    pub limiter: TargetLimiter,
    /// Time for which it accepts no requests of this host.
    pub pause: TargetPause,
    // Whether a response announced that this incarnation is leaving. The entry in the store may be older.
    announced_leaving: bool,
    expires_at: Option<BootTime>,
    // Time until which the entry is not relied on.
    untrusted_until: BootTime,
}

impl RosterRecord {
    /// Tells whether the target is still warming up.
    pub fn is_warming_up(&self, now: BootTime) -> bool {
        now < self.warmup_until
    }

    /// Records that the target announced in a response that it is leaving. Returns whether this is
    /// new.
    pub fn record_leaving(&mut self) -> bool {
        let is_new = !self.is_leaving();
        self.announced_leaving = true;
        is_new
    }

    /// Tells whether the target is leaving, according to its entry or to one of its responses.
    pub fn is_leaving(&self) -> bool {
        self.entry.leaving || self.announced_leaving
    }

    /// Extends the warm-up of the target to `at`; never shortens it.
    pub fn extend_warmup(&mut self, at: BootTime) {
        self.warmup_until = self.warmup_until.max(at);
    }

    /// Records the remaining warm-up time that the target reported; zero means not reported.
    pub fn record_warmup(&mut self, now: BootTime, warmup_left: Duration) {
        if !warmup_left.is_zero() {
            let left = warmup_left.saturating_add(WARMUP_MARGIN);
            self.extend_warmup(now.saturating_add(left));
        }
    }
}

// Last entry of a target that has left.
#[derive(Debug)]
struct DepartedTarget {
    entry: TargetEntry,
    announced_leaving: bool,
    left_at: BootTime,
}

impl DepartedTarget {
    // Tells whether the incarnation that wrote `entry` has announced its departure.
    fn has_left(&self, entry: &TargetEntry) -> bool {
        let same_incarnation = self.entry.started_ms == entry.started_ms;
        let announced = self.announced_leaving && entry.started_ms.is_some();
        same_incarnation && (announced || self.entry.leaving && entry.is_replaced_by(&self.entry))
    }
}

/// `TargetRoster` holds all listed targets by name and by service.
#[derive(Debug, Default)]
pub struct TargetRoster {
    zone_regions: BTreeMap<ZoneId, RegionId>,
    records: BTreeMap<TargetId, RosterRecord>,
    service_targets: BTreeMap<ServiceId, BTreeSet<TargetId>>,
    evacuated_zones: BTreeSet<ZoneId>,
    outage_at: Option<BootTime>,
    restored_at: Option<BootTime>,
    departed: BTreeMap<TargetId, DepartedTarget>,
}

impl TargetRoster {
    /// Creates an empty roster. `zone_regions` are the regions of all availability zones.
    pub fn new(zone_regions: BTreeMap<ZoneId, RegionId>) -> Self {
        Self {
            zone_regions,
            ..Self::default()
        }
    }

    /// Adds or updates an entry. Returns whether it is of a new target or a new incarnation.
    pub fn upsert(&mut self, now: BootTime, entry: TargetEntry) -> bool {
        let warmup_left = entry.warmup_left;
        if let Some(known) = self.records.get_mut(&entry.name) {
            let same_incarnation = known.entry.started_ms == entry.started_ms
                && known.entry.address == entry.address
                && known.entry.service == entry.service;
            if entry.is_replaced_by(&known.entry) {
                return false;
            }
            if same_incarnation {
                known.expires_at = None;
                known.record_warmup(now, warmup_left);
                known.entry = entry;
                return false;
            }
            let name = entry.name.clone();
            self.remove(&name);
        }
        let departed = self.departed.get(&entry.name);
        let departed = departed.filter(|departed| departed.entry.started_ms == entry.started_ms);
        // A target that announced its departure does not come back.
        if departed.is_some_and(|departed| departed.has_left(&entry)) {
            return false;
        }
        let restored_until = self.restored_at.map(|at| at + RESTORE_GRACE);
        let untrusted_until = departed.and(restored_until).unwrap_or_default();
        let region = self
            .zone_regions
            .get(&entry.zone)
            .cloned()
            .unwrap_or_default();
        let names = self
            .service_targets
            .entry(entry.service.clone())
            .or_default();
        names.insert(entry.name.clone());
        let mut record = RosterRecord {
            region,
            warmup_until: Duration::ZERO,
            load: TargetLoad::default(),
            health: TargetHealth::default(),
            warmup_limiter: WarmupLimiter::default(),
            limiter: TargetLimiter::default(),
            pause: TargetPause::default(),
            announced_leaving: false,
            expires_at: None,
            untrusted_until,
            entry,
        };
        record.record_warmup(now, warmup_left);
        self.records.insert(record.entry.name.clone(), record);
        true
    }

    /// Records a sign that the store is unavailable.
    pub fn record_outage(&mut self, now: BootTime) {
        self.outage_at = Some(now);
    }

    /// Records that the store was restored from an older copy: missing entries may come back, and entries
    /// of departed targets are listed until they are deleted again.
    pub fn record_restore(&mut self, now: BootTime) {
        self.restored_at = Some(now);
        self.outage_at = Some(now);
    }

    /// Marks an entry as no longer listed: it is removed at once if the target is leaving, otherwise after
    /// its grace period.
    pub fn mark_unlisted(&mut self, now: BootTime, name: &str) {
        let outage_grace_end = self.outage_at.map(|outage_at| outage_at + OUTAGE_GRACE);
        let expires_at = (now + MISSING_GRACE).max(outage_grace_end.unwrap_or_default());
        let Some(record) = self.records.get_mut(name) else {
            return;
        };
        // An untrusted entry was never used, so it needs no grace period.
        if record.is_leaving() || now < record.untrusted_until {
            self.remove_departed(now, name);
            return;
        }
        record.expires_at.get_or_insert(expires_at);
    }

    /// Applies a complete list of the store: entries that are missing from it are no longer listed.
    pub fn retain_listed(&mut self, now: BootTime, listed: &BTreeSet<TargetId>) -> Vec<TargetId> {
        let missing: Vec<_> = self
            .records
            .keys()
            .filter(|name| !listed.contains(*name))
            .cloned()
            .collect();
        for name in &missing {
            self.mark_unlisted(now, name);
        }
        missing
    }

    /// Removes the entries whose grace period has passed. Returns their names.
    pub fn expire(&mut self, now: BootTime) -> Vec<TargetId> {
        let mut expired = Vec::new();
        for (name, record) in &self.records {
            if record
                .expires_at
                .is_some_and(|expires_at| now >= expires_at)
            {
                expired.push(name.clone());
            }
        }
        for name in &expired {
            self.remove_departed(now, name);
        }
        self.departed
            .retain(|_, departed| now.saturating_sub(departed.left_at) < DEPARTED_RETENTION);
        expired
    }

    /// Sets the evacuated availability zones. `warmup_of` gets the warm-up time by service for the targets
    /// of a zone that is no longer evacuated.
    pub fn set_evacuated(
        &mut self,
        now: BootTime,
        zones: BTreeSet<ZoneId>,
        warmup_of: impl Fn(&str) -> Duration,
    ) {
        let reopened: Vec<_> = self.evacuated_zones.difference(&zones).cloned().collect();
        for record in self.records.values_mut() {
            if reopened.contains(&record.entry.zone) {
                record.extend_warmup(now + warmup_of(&record.entry.service));
            }
        }
        self.evacuated_zones = zones;
    }

    /// Tells whether a target accepts new requests; its health and load are not considered.
    pub fn accepts_requests(&self, now: BootTime, record: &RosterRecord) -> bool {
        let expired = record
            .expires_at
            .is_some_and(|expires_at| now >= expires_at);
        let untrusted = now < record.untrusted_until;
        !expired
            && !untrusted
            && !record.is_leaving()
            && !self.evacuated_zones.contains(&record.entry.zone)
    }

    /// Gets the record of a target.
    pub fn get(&self, name: &str) -> Option<&RosterRecord> {
        self.records.get(name)
    }

    /// Gets the record of a target for changes.
    pub fn get_mut(&mut self, name: &str) -> Option<&mut RosterRecord> {
        self.records.get_mut(name)
    }

    /// Lists the records of a service's targets in the order of their names.
    pub fn of_service(&self, service: &str) -> Vec<&RosterRecord> {
        let Some(names) = self.service_targets.get(service) else {
            return Vec::new();
        };
        names
            .iter()
            .filter_map(|name| self.records.get(name))
            .collect()
    }

    /// Lists the records of all targets in the order of their names.
    pub fn records(&self) -> impl Iterator<Item = &RosterRecord> {
        self.records.values()
    }

    /// Gets the number of targets, including those in their grace period.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    // Removes a target and remembers its last entry.
    fn remove_departed(&mut self, now: BootTime, name: &str) {
        let Some(record) = self.remove(name) else {
            return;
        };
        let departed = DepartedTarget {
            announced_leaving: record.announced_leaving,
            entry: record.entry,
            left_at: now,
        };
        self.departed.insert(name.to_owned(), departed);
    }

    fn remove(&mut self, name: &str) -> Option<RosterRecord> {
        let record = self.records.remove(name)?;
        if let Some(names) = self.service_targets.get_mut(&record.entry.service) {
            names.remove(name);
        }
        Some(record)
    }
}
