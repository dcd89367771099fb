//! What a target's stand-in has seen, by its own count.

use fighall_core::message;
use std::collections::BTreeMap;

message! {
    /// `TargetRecord` is what one target has seen.
    #[derive(Default)]
    pub struct TargetRecord {
        /// Requests that ran, by the test's mark.
        pub runs: BTreeMap<String, u32>,
        /// Requests that started.
        pub started: u64,
        /// Requests that ended with a whole answer.
        pub answered: u64,
        /// Requests that were cancelled.
        pub cancelled: u64,
        /// Requests shed with the "not run" mark.
        pub shed: u64,
        /// Requests at once, now.
        pub in_flight: u32,
        /// Most requests at once.
        pub max_in_flight: u32,
        /// Connections opened.
        pub connections: u64,
        /// Probes.
        pub probes: u64,
        /// Whether anything that looks like a key arrived.
        pub saw_key: bool,
        /// Requests without a deadline.
        pub without_deadline: u64,
        /// When the latest request started, in microseconds since boot.
        pub last_start_us: u64,
        /// Starts by organisation, in microseconds since boot.
        pub starts: BTreeMap<String, Vec<u64>>,
    }
}

impl TargetRecord {
    /// Gets the number of marked requests that ran more than once.
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }
}
