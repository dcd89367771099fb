//! Identifiers, clocks, events, settings and findings shared by all crates of fighall.

#![forbid(unsafe_code)]

pub mod clock;
pub mod document;
pub mod event;
pub mod field;
pub mod finding;
pub mod ids;
pub mod log;
pub mod macros;
pub mod rendezvous;
pub mod ring;
pub mod secret;
