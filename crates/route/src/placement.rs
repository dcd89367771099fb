//! Choice of the target within a region: the less loaded of two random candidates (Mitzenmacher,
//! 2001), in the same zone when they are equal.

use crate::{
    board::{TargetBoard, TargetRecord},
    ramp::allowed,
};
use fastrand::Rng;
use fighall_core::{
    event::RunnerUp,
    ids::{BootTime, RegionId, TargetId, ZoneId},
    tag, value,
};

tag! {
    /// `PlacementPolicy` is how a target is picked among the candidates.
    pub enum PlacementPolicy {
        /// The less loaded of two random candidates.
        TwoChoices,
        /// A random candidate; the baseline of measurements.
        Random,
        /// The least loaded of all candidates.
        LeastLoaded,
    }
}

value! {
    /// `PlacementQuery` is what a target is wanted for.
    pub struct PlacementQuery<'a> {
        /// Service.
        pub service: &'a str,
        /// Region in which a target is wanted.
        pub region: &'a RegionId,
        /// Zone of this host.
        pub zone: &'a ZoneId,
        /// Targets that were tried already.
        pub tried: &'a [TargetId],
        /// Policy.
        pub policy: PlacementPolicy,
        /// Whether a target that looks unhealthy is better than none.
        pub last_resort: bool,
    }
}

value! {
    /// `CandidateView` is a target with the reason why it cannot be picked, if there is one.
    pub struct CandidateView {
        /// Target.
        pub target: TargetId,
        /// Requests known at the target.
        pub busy: u32,
        /// Slots of the target.
        pub slots: u32,
        /// Whether it is in the host's own zone.
        pub same_zone: bool,
        /// Why it cannot be picked.
        pub obstacle: Option<String>,
    }
}

value! {
    /// `TargetPlacement` is the target that was picked.
    pub struct TargetPlacement {
        /// Target.
        pub target: TargetId,
        /// Why.
        pub reason: String,
        /// Candidates that lost.
        pub runners_up: Vec<RunnerUp>,
    }
}

value! {
    /// `SlotRoom` is this host's share of a target's slots.
    #[derive(Copy)]
    pub struct SlotRoom {
        /// Slots held.
        pub held: u32,
        /// Slots free.
        pub free: u32,
    }
}

/// Most runners-up that a placement names.
const RUNNERS_UP_LIMIT: usize = 3;

/// Picks a target. `room` tells this host's share of a target's slots. As a last resort, when
/// every target looks unhealthy, health is left out of account: what is known may be old or wrong.
pub fn place(
    board: &mut TargetBoard,
    now: BootTime,
    query: &PlacementQuery<'_>,
    rng: &mut Rng,
    room: impl Fn(&TargetId) -> SlotRoom,
) -> Option<TargetPlacement> {
    let eligible = eligible_targets(board, now, query, &room);
    if eligible.is_empty() {
        return None;
    }
    let (first, second) = draw_pair(&eligible, query.policy, rng);
    let winner = better(board, now, query, first, second);
    let loser = if winner == first { second } else { first };
    let mut runners_up = Vec::new();
    if loser != winner {
        runners_up.push(RunnerUp {
            name: loser.clone(),
            reason: "more loaded of the two drawn".to_owned(),
        });
    }
    for name in &eligible {
        if name != winner && name != loser && runners_up.len() < RUNNERS_UP_LIMIT {
            runners_up.push(RunnerUp {
                name: name.clone(),
                reason: "not drawn".to_owned(),
            });
        }
    }
    let reason = match query.policy {
        PlacementPolicy::TwoChoices => "less loaded of two drawn at random",
        PlacementPolicy::Random => "drawn at random",
        PlacementPolicy::LeastLoaded => "least loaded",
    };
    Some(TargetPlacement {
        target: winner.clone(),
        reason: reason.to_owned(),
        runners_up,
    })
}

fn eligible_targets(
    board: &mut TargetBoard,
    now: BootTime,
    query: &PlacementQuery<'_>,
    room: &impl Fn(&TargetId) -> SlotRoom,
) -> Vec<TargetId> {
    let names = board.targets_of(query.service).to_vec();
    let mut eligible = Vec::with_capacity(names.len());
    let mut unhealthy = Vec::new();
    let mut any_healthy = false;
    for name in names {
        let Some(record) = board.get_mut(&name) else {
            continue;
        };
        if record.target.region != *query.region || record.absence.is_some() {
            continue;
        }
        let ejected = record.health.is_ejected(now);
        any_healthy |= !ejected;
        if query.tried.contains(&name) || !has_room(record, now, room(&name)) {
            continue;
        }
        if ejected {
            unhealthy.push(name);
        } else {
            eligible.push(name);
        }
    }
    if any_healthy || !query.last_resort {
        return eligible;
    }
    unhealthy
}

fn has_room(record: &mut TargetRecord, now: BootTime, room: SlotRoom) -> bool {
    if room.free == 0 {
        return false;
    }
    let part = record.ramp.part(now);
    part >= 1.0 || room.held - room.free < allowed(room.held, part)
}

fn draw_pair<'e>(
    eligible: &'e [TargetId],
    policy: PlacementPolicy,
    rng: &mut Rng,
) -> (&'e TargetId, &'e TargetId) {
    let first = rng.usize(0..eligible.len());
    if eligible.len() == 1 || policy == PlacementPolicy::Random {
        return (&eligible[first], &eligible[first]);
    }
    let second = (first + rng.usize(1..eligible.len())) % eligible.len();
    (&eligible[first], &eligible[second])
}

fn better<'e>(
    board: &TargetBoard,
    now: BootTime,
    query: &PlacementQuery<'_>,
    first: &'e TargetId,
    second: &'e TargetId,
) -> &'e TargetId {
    let (Some(a), Some(b)) = (board.get(first), board.get(second)) else {
        return first;
    };
    let key = |record: &TargetRecord| {
        let load = u64::from(record.busy(now)) * 1_000 / u64::from(record.target.slots.max(1));
        (load, record.target.zone != *query.zone)
    };
    if key(b) < key(a) { second } else { first }
}

/// Lists every target of a service with what stands in its way, for explanations.
pub fn candidates(
    board: &TargetBoard,
    now: BootTime,
    query: &PlacementQuery<'_>,
    room: impl Fn(&TargetId) -> SlotRoom,
) -> Vec<CandidateView> {
    let mut views = Vec::new();
    for name in board.targets_of(query.service) {
        let Some(record) = board.get(name) else {
            continue;
        };
        let obstacle = if record.target.region != *query.region {
            Some(format!("is in region {}", record.target.region))
        } else if let Some(cause) = record.absence {
            Some(format!("gets no new work: {cause:?}").to_lowercase())
        } else if record.health.is_ejected(now) {
            Some("is ejected after failures".to_owned())
        } else if room(name).free == 0 {
            Some("no slot of it is free here".to_owned())
        } else {
            None
        };
        views.push(CandidateView {
            target: name.clone(),
            busy: record.busy(now),
            slots: record.target.slots,
            same_zone: record.target.zone == *query.zone,
            obstacle,
        });
    }
    views
}
