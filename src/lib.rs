//! Umbrella crate of fighall, a global traffic steering system.

#![forbid(unsafe_code)]
