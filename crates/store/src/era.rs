//! Eras of the store.
//!
//! A store that is restored from an older copy starts a new era and reuses revisions of the previous era.
//! Versions hold the era in their upper bits, so that every version of a later era is greater than those of
//! earlier eras, also when hosts compare versions with each other.
//!
//! ```
//! use fighall_store::era::{era_of, revision_of, version};
//!
//! let before = version(1, 900);
//! let after = version(2, 880);
//! assert!(after > before);
//! assert_eq!((era_of(after), revision_of(after)), (2, 880));
//! ```

use fighall_core::ids::Version;

/// Number of an era; 0 for a store that does not report eras.
pub type StoreEra = u64;

/// Number of low bits of a version that hold the revision.
const REVISION_BITS: u32 = 44;

/// Combines an era and a revision into a version.
pub fn version(era: StoreEra, revision: u64) -> Version {
    (era << REVISION_BITS) | revision_of(revision)
}

/// Returns the era of a version.
pub fn era_of(version: Version) -> StoreEra {
    version >> REVISION_BITS
}

/// Returns the store's revision of a version.
pub fn revision_of(version: Version) -> u64 {
    version & ((1 << REVISION_BITS) - 1)
}
