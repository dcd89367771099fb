//! Stand-ins of the platform and of targets, load and scripted scenarios.

#![forbid(unsafe_code)]

pub mod behaviour;
pub mod caller;
pub mod cluster;
pub mod faults;
pub mod load;
pub mod loopback;
pub mod malformed_heads;
pub mod network;
pub mod platform;
pub mod record;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod server;
pub mod target;
