//! Learned processing times of routes, and the objects that each target has handled recently.

use crate::placement::WorkEstimate;
use fighall_core::ids::{BootTime, TargetId};
use std::{collections::BTreeMap, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an object is assumed to stay in the cache of a target that handled it.
const CACHE_RETENTION: Duration = Duration::from_secs(20);
/// Weight of a new sample in the moving averages of processing times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Processing times of a route that are assumed before any was measured, as fractions of its latency
/// objective: for a cache hit and for a cache miss.
const ASSUMED_WORK_FRACTIONS: (f64, f64) = (0.4, 1.0);

#[derive(Debug, Clone, Copy)]
struct MeasuredWork {
    warm: f64,
    cold: f64,
}

/// `WorkHistory` holds the processing times by route and the cached objects by target.
#[derive(Debug, Default)]
pub struct WorkHistory {
    work_by_route: BTreeMap<String, MeasuredWork>,
    handled_objects: BTreeMap<TargetId, BTreeMap<u64, BootTime>>,
}

impl WorkHistory {
    /// Estimates the processing time of a route's requests; `objective` scales the assumed values before
    /// any measurement.
    pub fn estimate(&self, route: &str, objective: Duration) -> WorkEstimate {
        let assumed = |fraction: f64| objective.as_secs_f64() * fraction;
        let measured = self.work_by_route.get(route).copied();
        let measured = measured.unwrap_or(MeasuredWork {
            warm: assumed(ASSUMED_WORK_FRACTIONS.0),
            cold: assumed(ASSUMED_WORK_FRACTIONS.1),
        });
        WorkEstimate {
            warm: Duration::from_secs_f64(measured.warm),
            cold: Duration::from_secs_f64(measured.cold.max(measured.warm)),
        }
    }

    /// Records the processing time of a request, for which `expected` was estimated.
    ///
    /// The time alone decides whether it was a cache hit, by the nearer of the two averages on a
    /// logarithmic scale: requests of other hosts may have cached an object that is new to this one, and a
    /// target may have evicted an object that this host's history shows as cached.
    pub fn record_work(&mut self, route: &str, expected: &WorkEstimate, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let work = self.work_by_route.entry(route.to_owned());
        let work = work.or_insert(MeasuredWork {
            warm: expected.warm.as_secs_f64(),
            cold: expected.cold.as_secs_f64(),
        });
        let cache_hit = elapsed * elapsed < work.warm * work.cold;
        let measured = if cache_hit {
            &mut work.warm
        } else {
            &mut work.cold
        };
        *measured += (elapsed - *measured) * SAMPLE_WEIGHT;
    }

    /// Tells whether a target handled an object recently enough to have it cached.
    pub fn has_handled(&self, now: BootTime, target: &str, object: &str) -> bool {
        let objects = self.handled_objects.get(target);
        let handled_at = objects.and_then(|objects| objects.get(&xxh3_64(object.as_bytes())));
        handled_at.is_some_and(|handled_at| now.saturating_sub(*handled_at) < CACHE_RETENTION)
    }

    /// Records that a target handled an object.
    pub fn record_handled(&mut self, now: BootTime, target: &str, object: &str) {
        let objects = self.handled_objects.entry(target.to_owned()).or_default();
        objects.insert(xxh3_64(object.as_bytes()), now);
    }

    /// Drops the objects of a target whose process may have restarted.
    pub fn clear_target(&mut self, target: &str) {
        self.handled_objects.remove(target);
    }

    /// Drops expired objects, and the state of targets and routes that no longer exist.
    pub fn prune(
        &mut self,
        now: BootTime,
        is_listed: impl Fn(&str) -> bool,
        route_exists: impl Fn(&str) -> bool,
    ) {
        self.handled_objects.retain(|target, objects| {
            objects.retain(|_, handled_at| now.saturating_sub(*handled_at) < CACHE_RETENTION);
            !objects.is_empty() && is_listed(target)
        });
        self.work_by_route.retain(|route, _| route_exists(route));
    }
}
