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
const HOME_USE: f64 = 0.55;
/// Largest growth of the spilled fraction per second: two such steps and a rounding stay well below the
/// shift that is allowed between two windows of 2 s.
const GROWTH_STEP: f64 = 0.035;
/// Largest change per second that takes traffic back or moves it between other regions. Demand rises and
/// falls within tens of seconds, and overload costs callers more than the longer round trip does.
const RETURN_STEP: f64 = 0.01;
/// Step to which spilled fractions are rounded, so that the hosts of a region agree on them.
const PART_GRAIN: f64 = 1.0 / 32.0;
/// Utilization of the fleet's slots that is assumed before any demand was measured.
const ASSUMED_USE: f64 = 0.45;

value! {
    /// `RegionRoom` is the capacity of a region for one service, and its demand.
    #[derive(Copy, Default)]
    pub struct RegionRoom {
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
    parts: Option<BTreeMap<RegionId, f64>>,
    updated_at: BootTime,
}

impl SpillControl {
    /// Moves the spilled fractions towards those that demand and capacity call for; the first call sets
    /// them at once. The change per second is bounded, whether traffic moves from this host's region or
    /// between other regions.
    pub fn update(&mut self, now: BootTime, own: &str, rooms: &BTreeMap<RegionId, RegionRoom>) {
        let wanted = wanted_parts(own, rooms);
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = now;
        let Some(parts) = &mut self.parts else {
            self.parts = Some(wanted);
            return;
        };
        for region in wanted.keys() {
            parts.entry(region.clone()).or_default();
        }
        let target = |region: &str| wanted.get(region).copied().unwrap_or(0.0);
        let change: f64 = parts
            .iter()
            .map(|(region, part)| (target(region) - part).abs())
            .sum();
        let spilled: f64 = parts.values().sum();
        let grows = wanted.values().sum::<f64>() > spilled;
        let step = if grows { GROWTH_STEP } else { RETURN_STEP };
        let step = step * elapsed.min(Duration::from_secs(1)).as_secs_f64();
        let scale = if change > step { step / change } else { 1.0 };
        for (region, part) in parts.iter_mut() {
            *part += (target(region) - *part) * scale;
        }
    }

    /// Gets the weight of one slot at each region's targets; it is 1 in this host's region.
    pub fn weights(
        &self,
        own: &str,
        rooms: &BTreeMap<RegionId, RegionRoom>,
    ) -> BTreeMap<RegionId, f64> {
        let near = rooms.get(own).map_or(0.0, |room| room.slots);
        let mut rounded = BTreeMap::new();
        for (region, part) in self.parts.iter().flatten() {
            rounded.insert(region, (part / PART_GRAIN).round() * PART_GRAIN);
        }
        let all: f64 = rounded.values().sum();
        let home = (1.0 - all).max(1.0 - LARGEST_PART);
        let mut weights = BTreeMap::new();
        for (region, room) in rooms {
            let part = rounded.get(region).copied().unwrap_or(0.0);
            let weight = if region == own || near <= 0.0 {
                1.0
            } else if room.slots <= 0.0 {
                BACKUP_WEIGHT
            } else {
                // Targets of other regions still take over if all targets of the own region fail.
                (part / home * near / room.slots).max(BACKUP_WEIGHT)
            };
            weights.insert(region.clone(), weight);
        }
        weights
    }
}

/// Weight of a slot in another region that is used only if none of the own region can be.
const BACKUP_WEIGHT: f64 = 0.000_1;
/// Largest fraction that is spilled while the own region has any slots.
const LARGEST_PART: f64 = 0.95;

// Gets the slots that other regions can spare beyond their own demand, at the fleet's mean utilization.
fn spare_rooms(own: &str, rooms: &BTreeMap<RegionId, RegionRoom>) -> BTreeMap<RegionId, f64> {
    let level = mean_use(rooms).max(HOME_USE);
    let mut spare = BTreeMap::new();
    for (region, room) in rooms {
        if region == own {
            continue;
        }
        let left = room.slots * level - demand(rooms, room);
        spare.insert(region.clone(), left.max(0.0));
    }
    if spare.values().sum::<f64>() <= 0.0 {
        for (region, left) in &mut spare {
            *left = rooms.get(region).map_or(0.0, |room| room.slots);
        }
    }
    spare
}

fn wanted_parts(own: &str, rooms: &BTreeMap<RegionId, RegionRoom>) -> BTreeMap<RegionId, f64> {
    let part = wanted_part(own, rooms);
    let spare = spare_rooms(own, rooms);
    let all: f64 = spare.values().sum();
    let mut parts = BTreeMap::new();
    for (region, left) in spare {
        let share = if all > 0.0 { left / all } else { 0.0 };
        parts.insert(region, part * share);
    }
    parts
}

fn wanted_part(own: &str, rooms: &BTreeMap<RegionId, RegionRoom>) -> f64 {
    let Some(room) = rooms.get(own) else {
        return 1.0;
    };
    let demand = demand(rooms, room);
    if demand <= 0.0 {
        return 0.0;
    }
    let level = mean_use(rooms).max(HOME_USE);
    (1.0 - level * room.slots / demand).clamp(0.0, 1.0)
}

fn mean_use(rooms: &BTreeMap<RegionId, RegionRoom>) -> f64 {
    let slots: f64 = rooms.values().map(|room| room.slots).sum();
    let all: f64 = rooms.values().map(|room| demand(rooms, room)).sum();
    if slots <= 0.0 { 0.0 } else { all / slots }
}

// Without a measurement, demand is assumed to be spread evenly over the regions.
fn demand(rooms: &BTreeMap<RegionId, RegionRoom>, room: &RegionRoom) -> f64 {
    let slots: f64 = rooms.values().map(|room| room.slots).sum();
    let regions = u32::try_from(rooms.len().max(1)).unwrap_or(u32::MAX);
    let assumed = slots * ASSUMED_USE / f64::from(regions);
    room.demand.unwrap_or(assumed)
}
