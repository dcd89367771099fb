//! Applies store objects and their changes to this host's policy, target roster and fleet table. Objects
//! that cannot be decoded are skipped and logged.

mod removals;
mod source;

pub use source::ChangeSource;

use crate::{
    dialect::WireDialect,
    message::FollowedKind,
    metrics::GatewayMetrics,
    names,
    policy_copy::PolicyCopy,
    registry::HostEntry,
    roster::{RESTORE_GRACE, TargetEntry},
    router::RequestRouter,
};
use fighall_core::ids::{BootTime, Version};
use fighall_kernel::{errors::Result as KernelResult, kernel::MicroKernel};
use fighall_net::headers;
use fighall_store::object::{ObjectChange, StoreObject};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    fmt,
    rc::Rc,
    time::Duration,
};

/// Number of objects with a recorded version above which old records are discarded; they take some
/// megabytes.
const MAX_TRACKED_OBJECTS: usize = 20_000;
/// Number of store versions by which a change may be late and still be recognised as outdated.
const TRACKED_VERSION_SPAN: Version = 10_000;

/// `StoreCopies` applies objects of all followed kinds and records their versions.
pub struct StoreCopies {
    dialect: Rc<WireDialect>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    // Version of the latest change of each kind.
    latest: RefCell<BTreeMap<FollowedKind, Version>>,
    evacuated_zones: RefCell<BTreeSet<String>>,
    // When the store was last restored from an older copy.
    restored_at: Cell<Option<BootTime>>,
    // Objects in force as the store holds them, for other hosts.
    objects: RefCell<BTreeMap<(FollowedKind, String), StoreObject>>,
    // Version of each object's last applied change, including deletions.
    applied: RefCell<BTreeMap<(FollowedKind, String), Version>>,
}

impl fmt::Debug for StoreCopies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreCopies")
            .field("latest", &self.latest)
            .finish_non_exhaustive()
    }
}

impl StoreCopies {
    /// Creates empty copies.
    ///
    /// # Errors
    ///
    /// Returns an error if a required service is not registered.
    pub fn new(kernel: &MicroKernel) -> KernelResult<Self> {
        Ok(Self {
            dialect: kernel.find(names::DIALECT)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
            latest: RefCell::new(BTreeMap::new()),
            evacuated_zones: RefCell::new(BTreeSet::new()),
            restored_at: Cell::new(None),
            objects: RefCell::new(BTreeMap::new()),
            applied: RefCell::new(BTreeMap::new()),
        })
    }

    /// Gets the version of the latest change of a kind.
    pub fn latest(&self, kind: FollowedKind) -> Version {
        self.latest.borrow().get(&kind).copied().unwrap_or(0)
    }

    /// Notes that the store was restored from an older copy: objects missing from its lists may have been
    /// lost, and their writers will write them again shortly.
    pub fn note_restored(&self, now: BootTime) {
        self.restored_at.set(Some(now));
        self.router.borrow_mut().roster.record_restore(now);
    }

    fn is_recently_restored(&self, now: BootTime) -> bool {
        let restored_at = self.restored_at.get();
        restored_at.is_some_and(|at| now.saturating_sub(at) < RESTORE_GRACE)
    }

    /// Applies a change unless a newer one of the same object has been applied.
    pub fn apply_change(
        &self,
        kind: FollowedKind,
        now: BootTime,
        change: ObjectChange,
        source: ChangeSource,
    ) {
        let ObjectChange {
            name,
            version,
            value,
        } = change;
        match value {
            Some(value) => {
                let object = StoreObject {
                    name,
                    version,
                    value,
                };
                self.apply_object(kind, now, &object, source);
            }
            None if self.record_if_newer(kind, &name, version) => {
                self.remove_object(kind, now, &name);
            }
            None => {}
        }
    }

    /// Tells whether `version` of an object, or a later one, has been applied.
    pub fn has_applied(&self, kind: FollowedKind, name: &str, version: Version) -> bool {
        let applied = self.applied.borrow();
        let applied_version = applied.get(&(kind, name.to_owned()));
        applied_version.is_some_and(|applied_version| *applied_version >= version)
    }

    // Changes arrive from the store and from store watchers in any order, so an object is applied only if
    // it is not older than the one applied before. Records its version.
    fn record_if_newer(&self, kind: FollowedKind, name: &str, version: Version) -> bool {
        self.raise_latest(kind, version);
        let mut applied = self.applied.borrow_mut();
        if applied.len() > MAX_TRACKED_OBJECTS {
            let latest = self.latest(kind);
            applied.retain(|_, applied_version| *applied_version + TRACKED_VERSION_SPAN > latest);
        }
        let applied_version = applied.entry((kind, name.to_owned())).or_default();
        if version < *applied_version {
            return false;
        }
        *applied_version = version;
        true
    }

    /// Lists the objects of a kind in force as the store holds them.
    pub fn objects(&self, kind: FollowedKind) -> Vec<StoreObject> {
        let objects = self.objects.borrow();
        let of_kind = objects.iter().filter(|((known, _), _)| *known == kind);
        of_kind.map(|(_, object)| object.clone()).collect()
    }

    fn raise_latest(&self, kind: FollowedKind, version: Version) {
        let mut latest = self.latest.borrow_mut();
        let latest_version = latest.entry(kind).or_default();
        *latest_version = version.max(*latest_version);
    }

    /// Applies an object unless a newer version of it has been applied.
    pub fn apply_object(
        &self,
        kind: FollowedKind,
        now: BootTime,
        object: &StoreObject,
        source: ChangeSource,
    ) {
        if !self.record_if_newer(kind, &object.name, object.version) {
            return;
        }
        let is_usable = match kind {
            FollowedKind::Policy => self.apply_policy(now, object, source),
            FollowedKind::Targets => self.apply_target(now, object),
            FollowedKind::Evacuations => {
                self.evacuated_zones
                    .borrow_mut()
                    .insert(object.name.clone());
                self.set_evacuations(now);
                true
            }
            FollowedKind::Hosts => {
                self.apply_host(object);
                false
            }
        };
        let key = (kind, object.name.clone());
        if is_usable {
            self.objects.borrow_mut().insert(key, object.clone());
        } else {
            self.objects.borrow_mut().remove(&key);
        }
    }

    fn apply_host(&self, object: &StoreObject) {
        match HostEntry::decode(&object.value) {
            Some(entry) => {
                let mut router = self.router.borrow_mut();
                if entry.host != router.own_host.host {
                    router.fleet.register(entry);
                }
            }
            None => {
                warn!(self.logger, "host entry skipped: not decodable"; "name" => &object.name);
            }
        }
    }

    fn remove_object(&self, kind: FollowedKind, now: BootTime, name: &str) {
        if kind != FollowedKind::Policy {
            self.objects.borrow_mut().remove(&(kind, name.to_owned()));
        }
        match kind {
            FollowedKind::Policy => {
                warn!(
                    self.logger,
                    "policy deleted from the store; keeping the last one"
                );
            }
            FollowedKind::Targets => {
                info!(self.logger, "target unlisted"; "target" => name,
                    "latest" => self.latest(kind));
                self.router.borrow_mut().roster.mark_unlisted(now, name);
            }
            FollowedKind::Evacuations => {
                self.evacuated_zones.borrow_mut().remove(name);
                self.set_evacuations(now);
            }
            FollowedKind::Hosts => {
                info!(self.logger, "host unregistered"; "peer" => name);
                self.router.borrow_mut().fleet.unregister(name);
            }
        }
    }

    // Returns whether the object is a policy, in force or older.
    fn apply_policy(&self, now: BootTime, object: &StoreObject, source: ChangeSource) -> bool {
        if object.name != (self.dialect.policy_object)().1 {
            return false;
        }
        let policy = match (self.dialect.read_policy)(&object.value) {
            Ok(policy) => policy,
            Err(error) => {
                self.policy.borrow_mut().note_undecodable();
                warn!(self.logger, "policy not taken; the last one stays";
                    "version" => object.version, "source" => source.to_string(), "error" => error);
                return false;
            }
        };
        let version = policy.version;
        let age = self.policy.borrow().age(now);
        let in_force = self.policy.borrow_mut().apply(policy);
        if in_force {
            self.metrics
                .policy_version
                .set(i64::try_from(version).unwrap_or(i64::MAX));
        }
        info!(self.logger, "policy received"; "policy" => version,
            "store_version" => object.version, "in_force" => in_force,
            "source" => source.to_string(), "previous_age_ms" => age.map(|age| age.as_millis()));
        true
    }

    // Each request names the target that may run it in a header.
    fn read_target(&self, object: &StoreObject) -> Result<TargetEntry, String> {
        if !headers::is_sendable(&object.name) {
            return Err("the name cannot be sent in a header".to_owned());
        }
        (self.dialect.read_target)(&object.name, &object.value)
    }

    // Returns whether the object describes a usable target.
    fn apply_target(&self, now: BootTime, object: &StoreObject) -> bool {
        let entry = match self.read_target(object) {
            Ok(entry) => entry,
            Err(error) => {
                warn!(self.logger, "target entry skipped"; "target" => &object.name,
                    "error" => error);
                // The object no longer describes a usable target.
                self.router
                    .borrow_mut()
                    .roster
                    .mark_unlisted(now, &object.name);
                return false;
            }
        };
        info!(self.logger, "target listed"; "target" => &entry.name,
            "service" => &entry.service, "zone" => &entry.zone,
            "address" => entry.address.to_string(), "leaving" => entry.leaving,
            "cold_ms" => entry.warmup_left.as_millis(), "version" => object.version);
        let mut router = self.router.borrow_mut();
        router.roster.upsert(now, entry);
        let count = i64::try_from(router.roster.len()).unwrap_or(i64::MAX);
        self.metrics.targets.set(count);
        true
    }

    fn set_evacuations(&self, now: BootTime) {
        let zones = self.evacuated_zones.borrow().clone();
        info!(self.logger, "evacuated zones"; "zones" => format!("{zones:?}"));
        let policy = self.policy.borrow().policy();
        let cold_for = |service: &str| {
            let policy = policy.as_ref();
            let service = policy.and_then(|policy| policy.services.get(service));
            service.map_or(Duration::ZERO, |service| service.warmup)
        };
        self.router
            .borrow_mut()
            .roster
            .set_evacuated(now, zones, cold_for);
    }
}
