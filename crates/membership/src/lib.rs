//! Leases on member ids in the platform's store.

#![forbid(unsafe_code)]
