//! Leases on member ids in the platform's store.
//!
//! A member id carries base shares of every quota, so two holders of one id would exceed the
//! limits. An id is therefore reassigned only with evidence that its previous holder is gone, and a
//! holder that learns of its successor stops at once. See [`table`] for the rule.
//!
//! ```
//! use fighall_membership::{
//!     lease::{MemberKey, MemberLease},
//!     table::{HolderEvidence, MemberTable, TableOptions},
//! };
//!
//! let mut table = MemberTable::new(TableOptions::default(), "lima", 3);
//! // A lease that is renewed is never reassigned.
//! let lease = MemberLease::new("a1", 7, "127.0.0.1:1");
//! table.observe(&MemberKey::new("lima", 0), 1, Some(&lease));
//! let gone = |_: u32, _: &MemberLease| HolderEvidence {
//!     unlisted_or_replaced: true,
//!     unheard_by_peers: true,
//! };
//! // Ids that were never held are claimed first.
//! assert_eq!(table.find_claimable("b1", &gone).unwrap().member, 1);
//! ```

#![forbid(unsafe_code)]

pub mod lease;
pub mod table;
