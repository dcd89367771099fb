//! A gateway: an entry host that sends requests directly to targets of any region.
//!
//! The decision modules ([`placement`], [`spill`], [`limit`], [`ration`], [`retry`], [`split`],
//! [`roster`], [`fleet`]) take the time as an argument and do no I/O. [`node::GatewayNode`] connects
//! them to sockets, the store and peers. The functions of a [`dialect::WireDialect`] encode and decode
//! the wire formats of callers, targets and the store.

#![forbid(unsafe_code)]

pub mod admissions;
pub mod attempt_report;
pub mod behind;
pub mod copies;
pub mod crash;
pub mod daemon;
pub mod datagram;
pub mod decision;
pub mod demand;
pub mod dialect;
pub mod directory;
pub mod errors;
pub mod fleet;
pub mod follow;
pub mod health;
pub mod limit;
pub mod limit_metrics;
pub mod load;
pub mod message;
pub mod metrics;
pub mod millis;
pub mod names;
pub mod native;
pub mod node;
pub mod peers;
pub mod placement;
pub mod placement_log;
pub mod policy;
pub mod policy_copy;
pub mod pressure;
pub mod proxy;
pub mod ration;
pub mod reach;
pub mod reach_probe;
pub mod refusal;
pub mod registry;
pub mod reload;
mod request;
pub mod response_body;
pub mod retry;
pub mod reuse;
pub mod rollout;
pub mod rollout_log;
pub mod rollout_metrics;
pub mod roster;
pub mod router;
pub mod sender;
pub mod settings;
pub mod settings_status;
pub mod spill;
pub mod split;
pub mod target_limit;
pub mod target_pause;
pub mod target_share;
pub mod turn_report;
pub mod validation;
pub mod work;
