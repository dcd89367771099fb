//! Keys: which organisation a key's digest stands for, and withdrawal, which is final.

use fighall_core::{
    ids::{OrgId, Version},
    message,
    secret::KeyDigest,
    tag,
};
use std::collections::BTreeMap;

tag! {
    /// `KeyState` is whether a key works.
    pub enum KeyState {
        /// It works.
        Active,
        /// It was withdrawn, for good.
        Withdrawn,
    }
}

message! {
    /// `KeyEntry` is what is kept of a key. The key itself is nowhere.
    pub struct KeyEntry {
        /// Organisation it stands for.
        pub organisation: OrgId,
        /// Whether it works.
        pub state: KeyState,
        /// Wall-clock milliseconds at its issue.
        pub issued_at: u64,
        /// Operators' note.
        #[serde(default)]
        pub note: String,
    }
}

message! {
    /// `KeyChange` is a new or changed key as peers pass it on.
    pub struct KeyChange {
        /// Digest of the key.
        pub digest: KeyDigest,
        /// What is kept of it.
        pub entry: KeyEntry,
        /// Version of the change in the store.
        pub version: Version,
    }
}

/// `KeyTable` is the keys known to a host.
#[derive(Debug, Default)]
pub struct KeyTable {
    entries: BTreeMap<KeyDigest, KeyChange>,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a change. A withdrawn key stays withdrawn, and an older version changes nothing.
    /// Returns whether the change withdrew a key that worked.
    pub fn apply(&mut self, change: KeyChange) -> bool {
        let known = self.entries.get(&change.digest);
        if let Some(known) = known {
            let final_state = known.entry.state == KeyState::Withdrawn;
            if final_state || known.version >= change.version {
                return false;
            }
        }
        let withdrew = change.entry.state == KeyState::Withdrawn;
        self.entries.insert(change.digest.clone(), change);
        withdrew
    }

    /// Finds the organisation of a key that works.
    pub fn organisation(&self, digest: &str) -> Option<&OrgId> {
        let change = self.entries.get(digest)?;
        if change.entry.state == KeyState::Withdrawn {
            return None;
        }
        Some(&change.entry.organisation)
    }

    /// Gets the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn change(state: KeyState, version: Version) -> KeyChange {
        KeyChange {
            digest: "d".to_owned(),
            entry: KeyEntry {
                organisation: "o".to_owned(),
                state,
                issued_at: 0,
                note: String::new(),
            },
            version,
        }
    }

    #[test]
    fn withdrawal_is_final_and_old_versions_change_nothing() {
        let mut table = KeyTable::new();
        assert!(!table.apply(change(KeyState::Active, 5)));
        assert_eq!(table.organisation("d"), Some(&"o".to_owned()));
        assert!(table.apply(change(KeyState::Withdrawn, 6)));
        assert_eq!(table.organisation("d"), None);
        table.apply(change(KeyState::Active, 9));
        assert_eq!(table.organisation("d"), None);
    }
}
