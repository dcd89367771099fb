//! Routing decisions: request matching, client blocks, target placement, fair queues, retries and
//! health.
//!
//! Every decision is a plain structure or function without I/O that takes the current time as an
//! argument; the tasks of the entry host call them.

#![forbid(unsafe_code)]

pub mod blocks;
pub mod fair_queue;
pub mod health;
pub mod lookup;
pub mod matcher;
pub mod placement;
pub mod ramp;
pub mod region;
pub mod retry;
pub mod target_table;
