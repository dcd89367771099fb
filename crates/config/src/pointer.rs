//! The pointer object: the one object whose conditional update accepts a configuration.

use fighall_core::{ids::Generation, message};

/// Name of the pointer object within its kind.
pub const POINTER_NAME: &str = "current";
/// Publications that the pointer remembers.
pub const HISTORY_LIMIT: usize = 50;

message! {
    /// `ConfigPointer` names the documents of the configuration in force.
    #[derive(Default)]
    pub struct ConfigPointer {
        /// Generation, one more than the last.
        pub generation: Generation,
        /// Identifier of the publication, unique.
        pub publication: String,
        /// Documents in force, by label.
        pub entries: Vec<PointerEntry>,
        /// Latest publications, the newest first.
        pub history: Vec<HistoryRow>,
    }
}

message! {
    /// `PointerEntry` names one document.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct PointerEntry {
        /// Label, such as `service/quote-desk`.
        pub label: String,
        /// Digest of the document's text in the store.
        pub digest: String,
    }
}

message! {
    /// `HistoryRow` is one accepted publication.
    pub struct HistoryRow {
        /// Generation.
        pub generation: Generation,
        /// Identifier of the publication.
        pub publication: String,
        /// Wall-clock milliseconds at the publication.
        pub published_at: u64,
        /// Who published.
        pub author: String,
        /// Labels that changed.
        pub changed: Vec<String>,
    }
}

impl ConfigPointer {
    /// Gets the digest of a label.
    pub fn digest_of(&self, label: &str) -> Option<&str> {
        let entry = self.entries.iter().find(|entry| entry.label == label)?;
        Some(&entry.digest)
    }

    /// Lists the labels that differ from `other`.
    pub fn changed_from(&self, other: &ConfigPointer) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in &self.entries {
            if other.digest_of(&entry.label) != Some(entry.digest.as_str()) {
                changed.push(entry.label.clone());
            }
        }
        for entry in &other.entries {
            if self.digest_of(&entry.label).is_none() {
                changed.push(entry.label.clone());
            }
        }
        changed.sort();
        changed
    }
}
