//! Links between entry hosts.

#![forbid(unsafe_code)]
