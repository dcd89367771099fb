//! Learned processing times of routes, and the objects that each target has handled recently.

use crate::placement::WorkEstimate;
use fighall_core::ids::{BootTime, TargetId};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an object is assumed to stay in the cache of a target that handled it.
const WARM_TIME: Duration = Duration::from_secs(20);
/// Weight of a new sample in the moving averages of processing times.
const WORK_WEIGHT: f64 = 0.1;
/// Processing times of a route that are assumed before any was measured, as fractions of its latency
/// objective: for a cache hit and for a cache miss.
const ASSUMED_WORK: (f64, f64) = (0.4, 1.0);

#[derive(Debug, Clone, Copy)]
struct MeasuredWork {
    warm: f64,
    cold: f64,
}

/// `WorkMemory` holds the processing times by route and the cached objects by target.
#[derive(Debug, Default)]
pub struct WorkMemory {
    works: BTreeMap<String, MeasuredWork>,
    warm: BTreeMap<TargetId, BTreeMap<u64, BootTime>>,
}

impl WorkMemory {
    /// Estimates the processing time of a route's requests; `objective` scales the assumed values before
    /// any measurement.
    pub fn estimate(&self, route: &str, objective: Duration) -> WorkEstimate {
        let assumed = |part: f64| objective.as_secs_f64() * part;
        let measured = self.works.get(route).copied();
        let measured = measured.unwrap_or(MeasuredWork {
            warm: assumed(ASSUMED_WORK.0),
            cold: assumed(ASSUMED_WORK.1),
        });
        WorkEstimate {
            warm: Duration::from_secs_f64(measured.warm),
            cold: Duration::from_secs_f64(measured.cold.max(measured.warm)),
        }
    }

    /// Records the processing time of a request, for which `expected` was estimated.
    ///
    /// The time alone decides whether it was a cache hit, by the nearer of the two averages on a
    /// logarithmic scale: requests of other hosts may have cached an object that is new to this one, and
    /// a target may have evicted an object that this host knows.
    pub fn note_work(&mut self, route: &str, expected: &WorkEstimate, held: Duration) {
        let held = held.as_secs_f64();
        let work = self.works.entry(route.to_owned());
        let work = work.or_insert(MeasuredWork {
            warm: expected.warm.as_secs_f64(),
            cold: expected.cold.as_secs_f64(),
        });
        let warm = held * held < work.warm * work.cold;
        let measured = if warm { &mut work.warm } else { &mut work.cold };
        *measured += (held - *measured) * WORK_WEIGHT;
    }

    /// Tells whether a target handled an object recently enough to have it cached.
    pub fn is_warm(&self, now: BootTime, target: &str, object: &str) -> bool {
        let seen = self.warm.get(target);
        let seen = seen.and_then(|objects| objects.get(&xxh3_64(object.as_bytes())));
        seen.is_some_and(|seen| now.saturating_sub(*seen) < WARM_TIME)
    }

    /// Records that a target handled an object.
    pub fn note_warm(&mut self, now: BootTime, target: &str, object: &str) {
        let objects = self.warm.entry(target.to_owned()).or_default();
        objects.insert(xxh3_64(object.as_bytes()), now);
    }

    /// Drops the objects of a target whose process may have restarted.
    pub fn forget_target(&mut self, target: &str) {
        self.warm.remove(target);
    }

    /// Drops expired objects, and the state of targets and routes that no longer exist.
    pub fn forget(
        &mut self,
        now: BootTime,
        is_listed: impl Fn(&str) -> bool,
        is_route: impl Fn(&str) -> bool,
    ) {
        self.warm.retain(|target, objects| {
            objects.retain(|_, seen| now.saturating_sub(*seen) < WARM_TIME);
            !objects.is_empty() && is_listed(target)
        });
        self.works.retain(|route, _| is_route(route));
    }
}
