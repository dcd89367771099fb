//! Target selection with cache affinity.
//!
//! Weighted rendezvous hashing (the logarithmic method of Schindelhauer and Schomaker, 2005) maps
//! the requests of an object to the same few targets, so that their caches are warm. Of these the
//! target with the lowest expected latency is chosen: a busy target is passed over only if its wait
//! exceeds the extra work at a target with a cold cache.

use fighall_core::{ids::TargetId, value};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of targets considered for one request. Each further one caches another copy of the object,
/// which displaces other objects.
pub const CONSIDERED_TARGETS: usize = 2;
/// Expected cost of a failed attempt besides its work: the round trip and the wait of the retry.
const FAILURE_COST: Duration = Duration::from_millis(150);

value! {
    /// `WeightedTarget` is a candidate target of the hashing.
    pub struct WeightedTarget {
        /// Name of the target, which is hashed.
        pub name: TargetId,
        /// Weight in the hashing. A target with a weight of zero or less is left out.
        pub weight: f64,
    }
}

/// Gets the indexes of the `count` highest candidates in weighted rendezvous hashing of a key, in
/// order. A candidate is the highest with a probability of its weight over the sum of all weights;
/// changing one weight moves as few keys
/// as possible.
pub fn rank(key: &str, candidates: &[WeightedTarget], count: usize) -> Vec<usize> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut scored = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.weight <= 0.0 {
            continue;
        }
        let hash = xxh3_64_with_seed(candidate.name.as_bytes(), seed);
        scored.push((-unit_interval(hash).ln() / candidate.weight, index));
    }
    let order = |left: &(f64, usize), right: &(f64, usize)| left.0.total_cmp(&right.0);
    if count < scored.len() {
        scored.select_nth_unstable_by(count, order);
        scored.truncate(count);
    }
    scored.sort_unstable_by(order);
    scored.into_iter().map(|(_, index)| index).collect()
}

// Maps the upper 52 bits of a hash to the open interval (0, 1).
fn unit_interval(hash: u64) -> f64 {
    f64::from_bits(0x3FF0_0000_0000_0000 | (hash >> 12)) - 1.0 + f64::EPSILON / 2.0
}

value! {
    /// `WorkEstimate` is the expected processing time of a route's requests at a target.
    #[derive(Copy)]
    pub struct WorkEstimate {
        /// Processing time if the object is cached.
        pub warm: Duration,
        /// Processing time if the object is not cached.
        pub cold: Duration,
    }
}

value! {
    /// `PlacementOption` is a target considered for a request.
    pub struct PlacementOption {
        /// Expected wait for a slot.
        pub wait: Duration,
        /// Round trip to the target.
        pub round_trip: Duration,
        /// Whether the target is expected to have the request's object in its cache.
        pub warm: bool,
        /// Recent failure rate of the target, from 0 to 1.
        pub failure_rate: f64,
    }
}

impl PlacementOption {
    /// Gets the expected latency, without the cost of failures.
    pub fn expected_latency(&self, work: &WorkEstimate) -> Duration {
        let work = if self.warm { work.warm } else { work.cold };
        self.wait + self.round_trip + work
    }

    fn cost(&self, work: &WorkEstimate) -> Duration {
        let failure_cost = (work.cold + FAILURE_COST).mul_f64(self.failure_rate);
        self.expected_latency(work) + failure_cost
    }
}

/// Picks the option with the lowest expected cost; the first one in a tie.
pub fn choose(options: &[PlacementOption], work: &WorkEstimate) -> Option<usize> {
    let mut lowest_cost: Option<(usize, Duration)> = None;
    for (index, option) in options.iter().enumerate() {
        let cost = option.cost(work);
        if lowest_cost.is_none_or(|(_, lowest)| cost < lowest) {
            lowest_cost = Some((index, cost));
        }
    }
    lowest_cost.map(|(index, _)| index)
}
