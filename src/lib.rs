//! Umbrella crate of fighall, a global traffic steering system.
//!
//! It gathers the coordination parts that others can embed, beside the daemon:
//!
//! - [`quota`]: limits shared out over hosts, with loans, never exceeded in sum;
//! - [`membership`]: leases on member ids and the rule by which they are handed on;
//! - [`platform`]: a client of an object store with settled writes, watches and mirrors;
//! - [`route`]: placement, fair queues, retries and look-up tables.
//!
//! `cargo run --example shared_limit` shows two hosts that share a limit.

#![forbid(unsafe_code)]

pub use fighall_config as config;
pub use fighall_core as core;
pub use fighall_entry as entry;
pub use fighall_kernel as kernel;
pub use fighall_membership as membership;
pub use fighall_net as net;
pub use fighall_peer as peer;
pub use fighall_quota as quota;
pub use fighall_route as route;
pub use fighall_store as platform;
