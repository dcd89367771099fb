//! Removal of objects that a complete list lacks.

use super::StoreCopies;
use crate::message::FollowedKind;
use fighall_core::ids::{BootTime, Version};
use fighall_store::object::ObjectChange;
use std::collections::BTreeSet;

impl StoreCopies {
    /// Drops the objects that are missing from a complete list of `version`, except those applied at a
    /// later version. Returns the removals of targets or evacuations; none while the store may have lost them.
    pub fn retain_listed(
        &self,
        kind: FollowedKind,
        now: BootTime,
        version: Version,
        mut names: BTreeSet<String>,
    ) -> Vec<ObjectChange> {
        for ((applied_kind, name), applied_version) in self.applied.borrow().iter() {
            if *applied_kind == kind && *applied_version > version {
                names.insert(name.clone());
            }
        }
        match kind {
            FollowedKind::Policy => Vec::new(),
            FollowedKind::Targets => {
                let missing = self.router.borrow_mut().roster.retain_listed(now, &names);
                if self.is_recently_restored(now) {
                    return Vec::new();
                }
                self.record_removals(kind, missing)
            }
            FollowedKind::Evacuations if self.is_recently_restored(now) => Vec::new(),
            FollowedKind::Evacuations => {
                let zones = self.evacuated_zones.take();
                let (listed, missing): (BTreeSet<_>, BTreeSet<_>) =
                    zones.into_iter().partition(|zone| names.contains(zone));
                *self.evacuated_zones.borrow_mut() = listed;
                self.set_evacuations(now);
                self.record_removals(kind, missing)
            }
            FollowedKind::Hosts => {
                let mut router = self.router.borrow_mut();
                router.fleet.retain_listed(now, |host| names.contains(host));
                Vec::new()
            }
        }
    }

    // Records the removal of objects that a list lacks. Each gets the first version at which it can have happened, which
    // is no later than the one that hosts have that received the change itself.
    fn record_removals(
        &self,
        kind: FollowedKind,
        names: impl IntoIterator<Item = String>,
    ) -> Vec<ObjectChange> {
        let mut removals = Vec::new();
        for name in names {
            self.objects.borrow_mut().remove(&(kind, name.clone()));
            let applied = self.applied.borrow().get(&(kind, name.clone())).copied();
            let version = applied.unwrap_or(0) + 1;
            self.record_if_newer(kind, &name, version);
            removals.push(ObjectChange {
                name,
                version,
                value: None,
            });
        }
        removals
    }
}
