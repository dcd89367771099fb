//! Target selection within a region: the less loaded of two random candidates (Mitzenmacher, 2001),
//! and at equal load the one in this host's zone.

use crate::{
    ramp::concurrency_limit,
    target_table::{TargetRecord, TargetTable},
};
use fastrand::Rng;
use fighall_core::{
    event::RunnerUp,
    ids::{BootTime, RegionId, TargetId, ZoneId},
    rendezvous, tag, value,
};

tag! {
    /// `PlacementPolicy` is the rule by which a target is selected among the eligible ones.
    pub enum PlacementPolicy {
        /// Selects the less loaded of two random candidates.
        TwoChoices,
        /// Selects a random candidate; a baseline for benchmarks.
        Random,
        /// Selects the least loaded of all candidates.
        LeastLoaded,
    }
}

value! {
    /// `PlacementQuery` describes the target that a request needs.
    pub struct PlacementQuery<'a> {
        /// Service that the target belongs to.
        pub service: &'a str,
        /// Region that the target must be in.
        pub region: &'a RegionId,
        /// Zone of this host, preferred between equally loaded targets.
        pub zone: &'a ZoneId,
        /// Targets already tried for this request; they are not selected again.
        pub tried: &'a [TargetId],
        /// Selection rule.
        pub policy: PlacementPolicy,
        /// Affinity key: the request's path and query. Requests with the same key are kept on few
        /// targets. None without affinity.
        pub affinity: Option<&'a str>,
        /// Whether an ejected target may be selected when every target that takes new requests is
        /// ejected.
        pub allow_ejected: bool,
    }
}

value! {
    /// `CandidateView` is the state of one target in an explanation, with the reason why it cannot
    /// be selected, if there is one.
    pub struct CandidateView {
        /// Name of the target.
        pub target: TargetId,
        /// Estimated requests in flight at the target, from all hosts.
        pub in_flight: u32,
        /// Requests that the target serves at once.
        pub slots: u32,
        /// Whether the target is in this host's zone.
        pub same_zone: bool,
        /// Reason why the target cannot be selected; none if it can.
        pub exclusion_reason: Option<String>,
    }
}

value! {
    /// `TargetPlacement` is the selected target with the reason for its selection.
    pub struct TargetPlacement {
        /// Name of the target.
        pub target: TargetId,
        /// Reason that is recorded with the request's events.
        pub reason: String,
        /// Candidates that were considered and not selected.
        pub runners_up: Vec<RunnerUp>,
    }
}

value! {
    /// `SlotShare` is this host's share of a target's slots.
    #[derive(Copy)]
    pub struct SlotShare {
        /// Slots that this host holds now.
        pub held: u32,
        /// Held slots that are not in use.
        pub free: u32,
    }
}

/// Largest number of runners-up that a placement lists.
const MAX_RUNNERS_UP: usize = 3;

/// Selects a target. `slot_share` returns this host's share of a target's slots. If `allow_ejected`
/// is set and every target that takes new requests is ejected, health is ignored and a random
/// target is selected, because the health information may be outdated or wrong.
pub fn select_target(
    table: &mut TargetTable,
    now: BootTime,
    query: &PlacementQuery<'_>,
    rng: &mut Rng,
    slot_share: impl Fn(&TargetId) -> SlotShare,
) -> Option<TargetPlacement> {
    let targets = table.shared_targets_of(query.service);
    let mut sampled = sample_candidates(table, now, query, rng, &targets, &slot_share);
    if sampled.is_empty() && query.allow_ejected {
        let ejected = ejected_candidates(table, now, query, &targets, &slot_share);
        let index = (!ejected.is_empty()).then(|| rng.usize(0..ejected.len()));
        sampled.extend(index.and_then(|index| ejected.get(index).cloned()));
    }
    let mut candidates = sampled.into_iter();
    let mut selected = candidates.next()?;
    let mut runners_up = Vec::new();
    let affinity_applies = query.affinity.is_some() && is_lightly_loaded(table, now, &selected);
    for candidate in candidates {
        let better = !affinity_applies && is_preferred(table, now, query, &candidate, &selected);
        let rejected = if better {
            std::mem::replace(&mut selected, candidate)
        } else {
            candidate
        };
        if runners_up.len() < MAX_RUNNERS_UP {
            let reason = if affinity_applies {
                "not first by hash"
            } else {
                "more loaded of those drawn"
            };
            runners_up.push(RunnerUp {
                name: rejected,
                reason: reason.to_owned(),
            });
        }
    }
    let reason = match query.policy {
        _ if affinity_applies => "first by the path's hash",
        PlacementPolicy::TwoChoices => "less loaded of two drawn",
        PlacementPolicy::Random => "drawn at random",
        PlacementPolicy::LeastLoaded => "least loaded",
    };
    Some(TargetPlacement {
        target: selected,
        reason: reason.to_owned(),
        runners_up,
    })
}

// Samples as many targets that can take the request as the policy needs, and examines no more
// targets than necessary for that.
fn sample_candidates(
    table: &mut TargetTable,
    now: BootTime,
    query: &PlacementQuery<'_>,
    rng: &mut Rng,
    targets: &[TargetId],
    slot_share: &impl Fn(&TargetId) -> SlotShare,
) -> Vec<TargetId> {
    let sample_size = match query.policy {
        PlacementPolicy::Random => 1,
        PlacementPolicy::TwoChoices => 2,
        PlacementPolicy::LeastLoaded => targets.len(),
    };
    let mut order = candidate_order(query, targets);
    let mut sampled = Vec::with_capacity(sample_size);
    for position in 0..order.len() {
        if sampled.len() >= sample_size {
            break;
        }
        if query.affinity.is_none() {
            // One step of a Fisher-Yates shuffle: each remaining target is equally likely.
            let other = rng.usize(position..order.len());
            order.swap(position, other);
        }
        let name = &targets[order[position]];
        let Some(record) = table.get_mut(name) else {
            continue;
        };
        let usable = is_eligible(record, query) && !record.health.is_ejected(now);
        if usable && has_capacity(record, now, slot_share(name)) {
            sampled.push(name.clone());
        }
    }
    sampled
}

// With affinity, targets are tried in the order of their rendezvous weights for the path. Targets
// without a free slot are skipped, so a path that needs more than one target spreads over as many
// as it needs (consistent hashing with bounded loads; Mirrokni et al., 2018).
fn candidate_order(query: &PlacementQuery<'_>, targets: &[TargetId]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..targets.len()).collect();
    if let Some(path) = query.affinity {
        rendezvous::rank(path, &mut order, |index| targets[*index].clone());
    }
    order
}

// Below three quarters of its slots, a target takes all requests of the paths that rank it first.
fn is_lightly_loaded(table: &TargetTable, now: BootTime, name: &TargetId) -> bool {
    let record = table.get(name);
    record.is_some_and(|record| record.estimated_in_flight(now) * 4 < record.target.slots * 3)
}

// Ejected targets that could take the request; empty if any target that takes new requests is not
// ejected.
fn ejected_candidates(
    table: &mut TargetTable,
    now: BootTime,
    query: &PlacementQuery<'_>,
    targets: &[TargetId],
    slot_share: &impl Fn(&TargetId) -> SlotShare,
) -> Vec<TargetId> {
    let mut ejected = Vec::new();
    for name in targets {
        let Some(record) = table.get_mut(name) else {
            continue;
        };
        let unavailable = record.target.region != *query.region || record.drain.is_some();
        if unavailable {
            continue;
        }
        if !record.health.is_ejected(now) {
            return Vec::new();
        }
        if is_eligible(record, query) && has_capacity(record, now, slot_share(name)) {
            ejected.push(name.clone());
        }
    }
    ejected
}

fn is_eligible(record: &TargetRecord, query: &PlacementQuery<'_>) -> bool {
    record.target.region == *query.region
        && record.drain.is_none()
        && !query.tried.contains(&record.target.name)
}

// During slow start, only a fraction of the held slots may be in use.
fn has_capacity(record: &mut TargetRecord, now: BootTime, slot_share: SlotShare) -> bool {
    if slot_share.free == 0 {
        return false;
    }
    let fraction = record.ramp.share_fraction(now);
    fraction >= 1.0
        || slot_share.held - slot_share.free < concurrency_limit(slot_share.held, fraction)
}

fn is_preferred(
    table: &TargetTable,
    now: BootTime,
    query: &PlacementQuery<'_>,
    candidate: &TargetId,
    selected: &TargetId,
) -> bool {
    let load_key = |name: &TargetId| {
        let record = table.get(name)?;
        let load = u64::from(record.estimated_in_flight(now)) * 1_000
            / u64::from(record.target.slots.max(1));
        Some((load, record.target.zone != *query.zone))
    };
    load_key(candidate) < load_key(selected)
}

/// Lists every target of a service with the reason why it cannot be selected, if there is one. Used
/// for explanations to operators.
pub fn list_candidates(
    table: &TargetTable,
    now: BootTime,
    query: &PlacementQuery<'_>,
    slot_share: impl Fn(&TargetId) -> SlotShare,
) -> Vec<CandidateView> {
    let mut views = Vec::new();
    for name in table.targets_of(query.service) {
        let Some(record) = table.get(name) else {
            continue;
        };
        let exclusion_reason = if record.target.region != *query.region {
            Some(format!("is in region {}", record.target.region))
        } else if let Some(cause) = record.drain {
            Some(format!("gets no new work: {cause:?}").to_lowercase())
        } else if record.health.is_ejected(now) {
            Some("is ejected after failures".to_owned())
        } else if slot_share(name).free == 0 {
            Some("no slot of it is free here".to_owned())
        } else {
            None
        };
        views.push(CandidateView {
            target: name.clone(),
            in_flight: record.estimated_in_flight(now),
            slots: record.target.slots,
            same_zone: record.target.zone == *query.zone,
            exclusion_reason,
        });
    }
    views
}
