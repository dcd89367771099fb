//! The daemon of every entry host.
//!
//! [`node::EntryNode`] registers the services with the micro-kernel and runs them; each module
//! below holds one of them. Services find each other by the names in [`names`].

#![forbid(unsafe_code)]

pub mod authority;
pub mod bases;
pub mod bodies;
pub mod claims;
pub mod configuration;
pub mod errors;
pub mod exchange;
pub mod forward;
pub mod identity;
pub mod lookups;
pub mod members;
pub mod metrics;
pub mod mirrors;
pub mod names;
pub mod node;
pub mod operator;
pub mod pacing;
pub(crate) mod places;
pub mod probes;
pub mod problem;
pub mod proxy;
pub mod quotas;
pub mod request;
pub mod router;
pub mod settings;
pub mod slots;
pub mod status;
pub mod targets;
