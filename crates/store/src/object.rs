//! Objects of the store and their changes.

use crate::era::{self, StoreEra};
use fighall_core::{ids::Version, message};

/// Size limit of a value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Names of the object kinds that fighall stores.
pub mod kinds {
    /// Configuration documents, named by their digest.
    pub const DOCUMENTS: &str = "documents";
    /// Pointer to the active configuration, and its history.
    pub const POINTERS: &str = "pointers";
    /// API keys, named by their digest.
    pub const KEYS: &str = "keys";
    /// Membership leases, named by member ID.
    pub const MEMBERS: &str = "members";
    /// The platform's list of live and leaving hosts and targets.
    pub const HOSTS: &str = "hosts";
    /// Operator commands: drains and moves.
    pub const COMMANDS: &str = "commands";
    /// Claims of idempotency keys.
    pub const CLAIMS: &str = "claims";
}

message! {
    /// `StoreObject` is one object with its version.
    pub struct StoreObject {
        /// Name within its kind.
        pub name: String,
        /// Version of the last write.
        pub version: Version,
        /// Value as text.
        pub value: String,
    }
}

message! {
    /// `ObjectList` holds all objects of a kind at one version of the store.
    #[derive(Default)]
    pub struct ObjectList {
        /// Version of the store at the time of the list.
        pub version: Version,
        /// Objects ordered by name.
        pub objects: Vec<StoreObject>,
        /// Whether the store has objects that are missing here.
        #[serde(skip)]
        pub truncated: bool,
        /// Errors in what the store returned, with their places.
        #[serde(skip)]
        pub findings: Vec<String>,
    }
}

message! {
    /// `ObjectChange` is a write or a deletion.
    pub struct ObjectChange {
        /// Name within its kind.
        pub name: String,
        /// Version of the change.
        pub version: Version,
        /// New value; absent for a deletion.
        pub value: Option<String>,
    }
}

message! {
    /// `ChangeBatch` is the result of a watch call: the changes after a version.
    #[derive(Default)]
    pub struct ChangeBatch {
        /// Version of the store up to which changes are included.
        pub version: Version,
        /// Whether the store has compacted part of the requested history, so that the kind must be listed again.
        pub compacted: bool,
        /// Changes ordered by version.
        pub changes: Vec<ObjectChange>,
        /// Errors in what the store returned, with their places.
        #[serde(skip)]
        pub findings: Vec<String>,
    }
}

impl StoreObject {
    pub(crate) fn in_era(mut self, era: StoreEra) -> Self {
        self.version = era::version(era, self.version);
        self
    }
}

impl ObjectList {
    pub(crate) fn in_era(mut self, era: StoreEra) -> Self {
        self.version = era::version(era, self.version);
        for object in &mut self.objects {
            object.version = era::version(era, object.version);
        }
        self
    }
}

impl ChangeBatch {
    pub(crate) fn in_era(mut self, era: StoreEra) -> Self {
        self.version = era::version(era, self.version);
        for change in &mut self.changes {
            change.version = era::version(era, change.version);
        }
        self
    }
}

message! {
    /// `WriteResponse` is the store's response to a write.
    pub struct WriteResponse {
        /// Version of the object after the write.
        pub version: Version,
    }
}
