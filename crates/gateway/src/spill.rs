//! Spillover: how much of a region's traffic goes to targets of other regions.
//!
//! Regions have unequal capacity. The fraction of a region's objects that other regions serve follows
//! the ratio of demand to capacity. It changes slowly, so that objects stay where they are cached and
//! traffic does not shift in steps.

use fighall_core::{
    ids::{BootTime, RegionId},
    value,
};
use std::{collections::BTreeMap, time::Duration};

/// Utilization of a region's slots up to which it serves its own demand; the excess spills over. The
/// headroom allows for objects that are spread unevenly over targets.
const MAX_LOCAL_UTILIZATION: f64 = 0.55;
/// Largest growth of the spilled fraction per second: two such steps and a rounding stay well below the
/// shift that is allowed between two windows of 2 s.
const MAX_GROWTH_PER_SECOND: f64 = 0.035;
/// Largest change per second that takes traffic back or moves it between other regions. Demand rises and
/// falls within tens of seconds, and overload costs callers more than the longer round trip does.
const MAX_SHIFT_PER_SECOND: f64 = 0.01;
/// Step to which spilled fractions are rounded, so that the hosts of a region agree on them.
const FRACTION_STEP: f64 = 1.0 / 32.0;
/// Utilization of the fleet's slots that is assumed before any demand was measured.
const ASSUMED_UTILIZATION: f64 = 0.45;

value! {
    /// `RegionCapacity` is the capacity of a region for one service, and its demand.
    #[derive(Copy, Default)]
    pub struct RegionCapacity {
        /// Slots of the targets that accept requests.
        pub slots: f64,
        /// Requests of the region's callers in flight; absent until measured.
        pub demand: Option<f64>,
    }
}

/// `SpillControl` holds, for one service, the fraction of the traffic of this host's region that each
/// other region serves.
#[derive(Debug, Default)]
pub struct SpillControl {
    fractions: Option<BTreeMap<RegionId, f64>>,
    updated_at: BootTime,
}

impl SpillControl {
    /// Moves the spilled fractions towards those that demand and capacity call for; the first call sets
    /// them at once. The change per second is bounded, whether traffic moves from this host's region or
    /// between other regions.
    pub fn update(
        &mut self,
        now: BootTime,
        own_region: &str,
        capacities: &BTreeMap<RegionId, RegionCapacity>,
    ) {
        let wanted = wanted_fractions(own_region, capacities);
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let Some(fractions) = &mut self.fractions else {
            self.fractions = Some(wanted);
            return;
        };
        for region in wanted.keys() {
            fractions.entry(region.clone()).or_default();
        }
        let wanted_for = |region: &str| wanted.get(region).copied().unwrap_or(0.0);
        let change: f64 = fractions
            .iter()
            .map(|(region, fraction)| (wanted_for(region) - fraction).abs())
            .sum();
        let spilled: f64 = fractions.values().sum();
        let grows = wanted.values().sum::<f64>() > spilled;
        let max_change = if grows {
            MAX_GROWTH_PER_SECOND
        } else {
            MAX_SHIFT_PER_SECOND
        };
        let max_change = max_change * elapsed.min(Duration::from_secs(1)).as_secs_f64();
        let scale = if change > max_change {
            max_change / change
        } else {
            1.0
        };
        for (region, fraction) in fractions.iter_mut() {
            *fraction += (wanted_for(region) - *fraction) * scale;
        }
    }

    /// Gets the weight of one slot at each region's targets; it is 1 in this host's region.
    pub fn weights(
        &self,
        own_region: &str,
        capacities: &BTreeMap<RegionId, RegionCapacity>,
    ) -> BTreeMap<RegionId, f64> {
        let own_slots = capacities
            .get(own_region)
            .map_or(0.0, |capacity| capacity.slots);
        let mut rounded = BTreeMap::new();
        for (region, fraction) in self.fractions.iter().flatten() {
            rounded.insert(region, (fraction / FRACTION_STEP).round() * FRACTION_STEP);
        }
        let total_fraction: f64 = rounded.values().sum();
        let local_fraction = (1.0 - total_fraction).max(1.0 - MAX_SPILL_FRACTION);
        let mut weights = BTreeMap::new();
        for (region, capacity) in capacities {
            let fraction = rounded.get(region).copied().unwrap_or(0.0);
            let weight = if region == own_region || own_slots <= 0.0 {
                1.0
            } else if capacity.slots <= 0.0 {
                BACKUP_WEIGHT
            } else {
                // Targets of other regions still take over if all targets of the own region fail.
                (fraction / local_fraction * own_slots / capacity.slots).max(BACKUP_WEIGHT)
            };
            weights.insert(region.clone(), weight);
        }
        weights
    }
}

/// Weight of a slot in another region that is used only if none of the own region can be.
const BACKUP_WEIGHT: f64 = 0.000_1;
/// Largest fraction that is spilled while the own region has any slots.
const MAX_SPILL_FRACTION: f64 = 0.95;

// Gets the slots that other regions can spare beyond their own demand, at the fleet's mean utilization.
fn spare_slots(
    own_region: &str,
    capacities: &BTreeMap<RegionId, RegionCapacity>,
) -> BTreeMap<RegionId, f64> {
    let utilization = mean_utilization(capacities).max(MAX_LOCAL_UTILIZATION);
    let mut spare = BTreeMap::new();
    for (region, capacity) in capacities {
        if region == own_region {
            continue;
        }
        let unused = capacity.slots * utilization - estimated_demand(capacities, capacity);
        spare.insert(region.clone(), unused.max(0.0));
    }
    if spare.values().sum::<f64>() <= 0.0 {
        for (region, unused) in &mut spare {
            *unused = capacities
                .get(region)
                .map_or(0.0, |capacity| capacity.slots);
        }
    }
    spare
}

fn wanted_fractions(
    own_region: &str,
    capacities: &BTreeMap<RegionId, RegionCapacity>,
) -> BTreeMap<RegionId, f64> {
    let fraction = wanted_fraction(own_region, capacities);
    let spare = spare_slots(own_region, capacities);
    let total_spare: f64 = spare.values().sum();
    let mut fractions = BTreeMap::new();
    for (region, unused) in spare {
        let share = if total_spare > 0.0 {
            unused / total_spare
        } else {
            0.0
        };
        fractions.insert(region, fraction * share);
    }
    fractions
}

fn wanted_fraction(own_region: &str, capacities: &BTreeMap<RegionId, RegionCapacity>) -> f64 {
    let Some(capacity) = capacities.get(own_region) else {
        return 1.0;
    };
    let demand = estimated_demand(capacities, capacity);
    if demand <= 0.0 {
        return 0.0;
    }
    let utilization = mean_utilization(capacities).max(MAX_LOCAL_UTILIZATION);
    (1.0 - utilization * capacity.slots / demand).clamp(0.0, 1.0)
}

fn mean_utilization(capacities: &BTreeMap<RegionId, RegionCapacity>) -> f64 {
    let slots: f64 = capacities.values().map(|capacity| capacity.slots).sum();
    let total_demand: f64 = capacities
        .values()
        .map(|capacity| estimated_demand(capacities, capacity))
        .sum();
    if slots <= 0.0 {
        0.0
    } else {
        total_demand / slots
    }
}

// Without a measurement, demand is assumed to be spread evenly over the regions.
fn estimated_demand(
    capacities: &BTreeMap<RegionId, RegionCapacity>,
    capacity: &RegionCapacity,
) -> f64 {
    let slots: f64 = capacities.values().map(|capacity| capacity.slots).sum();
    let regions = u32::try_from(capacities.len().max(1)).unwrap_or(u32::MAX);
    let assumed = slots * ASSUMED_UTILIZATION / f64::from(regions);
    capacity.demand.unwrap_or(assumed)
}
