//! Routing decisions: matching, client blocks, placement, fair queues, retries and health.
//!
//! Every decision is a plain structure with the time as an argument; the daemon's tasks call them.

#![forbid(unsafe_code)]

pub mod blocks;
pub mod board;
pub mod fair;
pub mod health;
pub mod lookup;
pub mod matcher;
pub mod placement;
pub mod ramp;
pub mod region;
pub mod retry;
