//! The daemon of every entry host.

#![forbid(unsafe_code)]
