//! Local replica of the objects of one kind, which hosts also replicate among themselves.
//!
//! Conflicts are resolved by the object's version alone, so that changes may arrive from any source and in
//! any order, and older ones have no effect. Deletions are kept as tombstones: objects without a value.

use crate::object::{ObjectChange, ObjectList};
use fighall_core::{
    ids::{BootTime, Version},
    message,
};
use std::{collections::BTreeMap, time::Duration};

/// Number of tombstones above which only the newest half of that number is kept.
const TOMBSTONE_LIMIT: usize = 4_096;

message! {
    /// `MirrorState` is the position of a mirror, as exchanged between hosts.
    #[derive(Eq)]
    pub struct MirrorState {
        /// Kind of objects.
        pub kind: String,
        /// Version up to which changes have been applied.
        pub version: Version,
        /// Age of the latest confirmation by the store, in milliseconds; `None` before the first one.
        pub age_ms: Option<u64>,
    }
}

/// `KindMirror` is a local replica of the objects of one kind.
#[derive(Debug)]
pub struct KindMirror {
    kind: String,
    version: Version,
    confirmed_at: Option<BootTime>,
    objects: BTreeMap<String, ObjectChange>,
}

impl KindMirror {
    /// Creates an empty replica.
    pub fn new(kind: &str) -> Self {
        Self {
            kind: kind.to_owned(),
            version: 0,
            confirmed_at: None,
            objects: BTreeMap::new(),
        }
    }

    /// Returns the kind.
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Returns the version up to which changes have been applied.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Applies a list; objects missing from it count as deleted, unless it is truncated. Returns the changes
    /// that had an effect.
    pub fn apply_list(&mut self, list: &ObjectList) -> Vec<ObjectChange> {
        // A list older than the replica, for example of a restored store, has no effect.
        if list.version < self.version {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for object in &list.objects {
            changes.push(ObjectChange {
                name: object.name.clone(),
                version: object.version,
                value: Some(object.value.clone()),
            });
        }
        for (name, existing) in &self.objects {
            let listed = list.objects.iter().any(|object| object.name == *name);
            if existing.value.is_some() && !listed && !list.truncated {
                changes.push(ObjectChange {
                    name: name.clone(),
                    version: list.version,
                    value: None,
                });
            }
        }
        self.apply(&changes, list.version)
    }

    /// Applies changes that are complete up to `version`. Returns those that had an effect.
    pub fn apply(&mut self, changes: &[ObjectChange], version: Version) -> Vec<ObjectChange> {
        let mut applied = Vec::new();
        for change in changes {
            let existing = self.objects.get(&change.name);
            if existing.is_some_and(|existing| existing.version >= change.version) {
                continue;
            }
            self.objects.insert(change.name.clone(), change.clone());
            applied.push(change.clone());
        }
        self.version = self.version.max(version);
        self.prune_tombstones();
        applied
    }

    /// Records that the replica holds every write accepted before `at`. Ignored if `version` is lower than
    /// the replica's version, except for the first confirmation.
    pub fn confirm(&mut self, version: Version, at: BootTime) {
        if version >= self.version || self.confirmed_at.is_none() {
            self.version = self.version.max(version);
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Returns the time of the latest confirmation; the replica holds every write accepted before it.
    pub fn confirmed_at(&self) -> Option<BootTime> {
        self.confirmed_at
    }

    /// Returns the age of the latest confirmation; `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Returns the position of the mirror.
    pub fn state(&self, now: BootTime) -> MirrorState {
        let age = self.age(now);
        let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        MirrorState {
            kind: self.kind.clone(),
            version: self.version,
            age_ms,
        }
    }

    /// Returns the changes after a version, including deletions.
    pub fn changes_after(&self, version: Version) -> Vec<ObjectChange> {
        let newer = self
            .objects
            .values()
            .filter(|object| object.version > version);
        newer.cloned().collect()
    }

    /// Returns the value of an object; `None` if it is unknown or deleted.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.objects.get(name)?.value.as_deref()
    }

    /// Iterates over the names and values of all objects that are not deleted.
    pub fn values(&self) -> impl Iterator<Item = (&String, &String)> {
        let objects = self.objects.iter();
        objects.filter_map(|(name, object)| Some((name, object.value.as_ref()?)))
    }

    fn prune_tombstones(&mut self) {
        let deleted = self
            .objects
            .values()
            .filter(|object| object.value.is_none());
        let mut versions: Vec<_> = deleted.map(|object| object.version).collect();
        if versions.len() <= TOMBSTONE_LIMIT {
            return;
        }
        versions.sort_unstable();
        let oldest_kept = versions[versions.len() - TOMBSTONE_LIMIT / 2];
        self.objects
            .retain(|_, object| object.value.is_some() || object.version >= oldest_kept);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::object::StoreObject;

    fn change(name: &str, version: Version, value: Option<&str>) -> ObjectChange {
        ObjectChange {
            name: name.to_owned(),
            version,
            value: value.map(str::to_owned),
        }
    }

    #[test]
    fn older_changes_have_no_effect() {
        let mut mirror = KindMirror::new("keys");
        assert_eq!(mirror.apply(&[change("a", 5, Some("new"))], 5).len(), 1);
        assert!(mirror.apply(&[change("a", 4, Some("old"))], 4).is_empty());
        assert_eq!(mirror.value("a"), Some("new"));
        let list = ObjectList {
            version: 3,
            ..ObjectList::default()
        };
        assert!(mirror.apply_list(&list).is_empty());
        assert_eq!(mirror.value("a"), Some("new"));
    }

    #[test]
    fn objects_missing_from_a_list_are_deleted() {
        let mut mirror = KindMirror::new("keys");
        mirror.apply(&[change("a", 5, Some("x")), change("b", 6, Some("y"))], 6);
        let list = ObjectList {
            version: 9,
            objects: vec![StoreObject {
                name: "b".to_owned(),
                version: 6,
                value: "y".to_owned(),
            }],
            ..ObjectList::default()
        };
        assert_eq!(mirror.apply_list(&list), [change("a", 9, None)]);
        assert_eq!(mirror.changes_after(6), [change("a", 9, None)]);
    }

    #[test]
    fn objects_missing_from_a_truncated_list_are_kept() {
        let mut mirror = KindMirror::new("keys");
        mirror.apply(&[change("a", 5, Some("x"))], 5);
        let list = ObjectList {
            version: 9,
            truncated: true,
            ..ObjectList::default()
        };
        assert!(mirror.apply_list(&list).is_empty());
        assert_eq!(mirror.value("a"), Some("x"));
    }

    #[test]
    fn confirmation_of_an_older_version_is_ignored() {
        let mut mirror = KindMirror::new("keys");
        mirror.confirm(5, Duration::from_secs(1));
        mirror.apply(&[change("a", 7, Some("x"))], 7);
        mirror.confirm(6, Duration::from_secs(9));
        assert_eq!(
            mirror.age(Duration::from_secs(10)),
            Some(Duration::from_secs(9))
        );
    }
}
