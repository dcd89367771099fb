//! Requests that a connection has carried.

use std::{
    collections::BTreeSet,
    hash::{BuildHasher, RandomState},
};

/// Largest number of requests on one connection, which bounds the memory for their hashes to about 8 KB.
const MAX_REQUESTS: u64 = 512;

/// `CarriedRequests` is the set of requests that were sent on one connection, by the hash of their identifiers. Two
/// identifiers with the same hash count as one.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    hasher: RandomState,
    hashes: BTreeSet<u64>,
    exchange_count: u64,
}

impl CarriedRequests {
    /// Adds a request. Returns whether one with its identifier was sent on the connection before.
    pub fn add(&mut self, request: &str) -> bool {
        self.exchange_count += 1;
        !self.hashes.insert(self.hasher.hash_one(request))
    }

    /// Tells whether a request with this identifier was sent on the connection.
    pub fn contains(&self, request: &str) -> bool {
        self.hashes.contains(&self.hasher.hash_one(request))
    }

    /// Tells whether the connection may carry no further requests.
    pub fn is_full(&self) -> bool {
        self.exchange_count >= MAX_REQUESTS
    }

    /// Gets the number of requests that were sent, repeated ones included.
    pub fn exchange_count(&self) -> u64 {
        self.exchange_count
    }
}
