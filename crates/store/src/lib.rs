//! Client of the platform's object store.
//!
//! The store holds versioned text objects, grouped by kind. Versions come from a single counter for the
//! whole store, so that a watch can resume after any version. The mapping of calls to HTTP is confined to
//! [`mapping`]; supporting another object API requires changes to that module only.
//!
//! ```no_run
//! use fighall_store::client::{ClientOptions, StoreClient, WriteOutcome};
//!
//! async fn claim(store: &StoreClient) -> fighall_store::errors::Result<bool> {
//!     let outcome = store.create("claims", "order-7", "{\"owner\":\"a1\"}").await?;
//!     Ok(matches!(outcome, WriteOutcome::Written { .. }))
//! }
//!
//! let options = ClientOptions::with_address("127.0.0.1:7700".to_owned());
//! let store = StoreClient::new(options).unwrap();
//! # let _ = claim(&store);
//! ```

#![forbid(unsafe_code)]

pub mod budget;
pub mod client;
pub mod entries;
pub mod era;
pub mod errors;
pub mod mapping;
pub mod mirror;
pub mod object;
pub mod path;
pub mod stats;
pub mod watch;
