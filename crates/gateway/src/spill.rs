//! How much of a region's traffic goes to targets of other regions.
//!
//! Regions hold unequal room. The part of a region's objects that other regions serve follows the
//! region's demand against its room, slowly, so that objects stay where their caches are warm and
//! traffic does not shift in steps.

use fighall_core::{
    ids::{BootTime, RegionId},
    value,
};
use std::{collections::BTreeMap, time::Duration};

/// Part of a region's slots that its own demand may use before the rest goes elsewhere. It leaves
/// room for objects that are spread unevenly over targets.
const HOME_USE: f64 = 0.55;
/// Largest growth of the spilled part in a second: two such steps and a rounding stay well below the
/// shift that is allowed between two windows of 2 s.
const GROWTH_STEP: f64 = 0.035;
/// Largest change in a second that takes traffic back, or moves it between other regions. Demand comes
/// and goes within tens of seconds, and overload costs callers more than the longer way does.
const RETURN_STEP: f64 = 0.01;
/// Steps to which the spilled part is rounded, so that hosts of a region agree on it.
const PART_GRAIN: f64 = 1.0 / 32.0;
/// Part of the fleet's slots that is assumed to be in demand before any was measured.
const ASSUMED_USE: f64 = 0.45;

value! {
    /// `RegionRoom` is what one region has and needs of a service.
    #[derive(Copy, Default)]
    pub struct RegionRoom {
        /// Slots of its targets that take work.
        pub slots: f64,
        /// Requests of its callers in flight; none while not measured.
        pub demand: Option<f64>,
    }
}

/// `SpillControl` holds the parts of one service's traffic from the own region that each other region
/// serves.
#[derive(Debug, Default)]
pub struct SpillControl {
    parts: Option<BTreeMap<RegionId, f64>>,
    updated_at: BootTime,
}

impl SpillControl {
    /// Moves the spilled parts towards what demand and room ask for. What moves between regions in a
    /// second is bounded, whether it comes from the own region or from another one.
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

    /// Gets the weight of one slot of each region's targets; the own region's is 1.
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
                // A far target still backs up the near ones where all of them fail.
                (part / home * near / room.slots).max(BACKUP_WEIGHT)
            };
            weights.insert(region.clone(), weight);
        }
        weights
    }
}

/// Weight of a far slot that is used only when near ones are not.
const BACKUP_WEIGHT: f64 = 0.000_1;
/// Largest part that is spilled while the own region has any room.
const LARGEST_PART: f64 = 0.95;

// The room that other regions have beyond their own demand, at the fleet's mean use.
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

// Without measurements callers are taken to be spread evenly over the regions.
fn demand(rooms: &BTreeMap<RegionId, RegionRoom>, room: &RegionRoom) -> f64 {
    let slots: f64 = rooms.values().map(|room| room.slots).sum();
    let regions = u32::try_from(rooms.len().max(1)).unwrap_or(u32::MAX);
    let assumed = slots * ASSUMED_USE / f64::from(regions);
    room.demand.unwrap_or(assumed)
}
