//! A randomized fault soak.
//!
//! The real gateway program runs as several processes on this machine; the store and the targets are
//! stand-ins, reached through relays that delay, hold back, reset and silence. Faults follow from a
//! seed. The promises are checked from what callers and targets see.

#![forbid(unsafe_code)]

pub mod caller;
pub mod check;
pub mod fault;
pub mod host;
pub mod ledger;
pub mod prober;
pub mod refusals;
pub mod run;
pub mod versions;
pub mod world;
