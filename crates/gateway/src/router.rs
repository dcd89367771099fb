//! Routing decisions: admission, traffic splits, retries and the target of each attempt, with the
//! state that they depend on. No I/O; the current time is an argument.

pub mod demands;
pub mod limits;
pub mod outcomes;
pub mod reaches;
pub mod retries;

use crate::{
    crash::CrashLedger,
    decision::{OwnHost, PlacementQuery, PlacementRefusal, TargetPlacement},
    demand::ServiceDemand,
    fleet::FleetTable,
    limit::{FleetLimiter, OrgLimit},
    placement::{self, CONSIDERED_TARGETS, PlacementOption, WeightedTarget, WorkEstimate},
    policy::{OrgPolicy, RoutePolicy, ServicePolicy, TrafficPolicy},
    reach::TargetReach,
    refusal,
    retry::{HostCounts, RetryBudget},
    roster::{RosterRecord, TargetRoster},
    settings::GatewayBounds,
    spill::{RegionCapacity, SpillControl},
    split::RoundRobin,
    work::WorkHistory,
};
use fighall_core::ids::{BootTime, RegionId, ServiceId, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Round trips assumed before any was measured: within an availability zone, within a region,
/// between regions.
const DEFAULT_ROUND_TRIPS: (Duration, Duration, Duration) = (
    Duration::from_millis(1),
    Duration::from_millis(3),
    Duration::from_millis(60),
);
/// `Retry-After` when no target may take the request, for example while all of them are ejected.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Latency of a target that is assumed before any was measured.
const DEFAULT_TARGET_LATENCY: Duration = Duration::from_millis(200);

/// `RequestRouter` makes the routing decisions of this host and holds their state.
#[derive(Debug)]
pub struct RequestRouter {
    /// Identity and location of this host.
    pub own_host: OwnHost,
    /// Limits of the deployment, from the settings.
    pub bounds: GatewayBounds,
    /// Listed targets of all services.
    pub roster: TargetRoster,
    /// Other hosts of the fleet.
    pub fleet: FleetTable,
    /// Rate limits of organisations.
    pub limiter: FleetLimiter,
    /// Requests that are suspected of crashing targets.
    pub crashes: CrashLedger,
    /// Whether this host reaches targets.
    pub reach: TargetReach,
    /// Time at which this host's process ends; absent until it is asked to stop.
    pub ends_at: Option<BootTime>,
    started_at: BootTime,
    retry_budgets: BTreeMap<ServiceId, RetryBudget>,
    host_counts: HostCounts,
    round_robins: BTreeMap<String, RoundRobin>,
    work_history: WorkHistory,
    spills: BTreeMap<ServiceId, SpillControl>,
    region_weights: BTreeMap<ServiceId, BTreeMap<RegionId, f64>>,
    demands: BTreeMap<ServiceId, ServiceDemand>,
    // Shortest connect time into each region, as an estimate of the round trip.
    round_trips: BTreeMap<RegionId, Duration>,
}

impl RequestRouter {
    /// Creates a router without targets and peers for a host that starts now.
    pub fn new(
        now: BootTime,
        own_host: OwnHost,
        bounds: GatewayBounds,
        roster: TargetRoster,
    ) -> Self {
        Self {
            fleet: FleetTable::new(&own_host.region, &own_host.zone, own_host.incarnation)
                .with_start(now),
            own_host,
            bounds,
            roster,
            limiter: FleetLimiter::new(now),
            crashes: CrashLedger::default(),
            reach: TargetReach::default(),
            ends_at: None,
            started_at: now,
            retry_budgets: BTreeMap::new(),
            host_counts: HostCounts::default(),
            round_robins: BTreeMap::new(),
            work_history: WorkHistory::default(),
            spills: BTreeMap::new(),
            region_weights: BTreeMap::new(),
            demands: BTreeMap::new(),
            round_trips: BTreeMap::new(),
        }
    }

    /// Picks the service for the next request of a route, by the weights of its split.
    pub fn pick_service(&mut self, route: &RoutePolicy) -> Option<ServiceId> {
        let round_robin = self.round_robins.entry(route.name.clone()).or_default();
        Some(round_robin.next_part(&route.parts)?.service.clone())
    }

    /// Admits a request of an organisation if the organisation is within its fleet-wide rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry.
    pub fn admit(&mut self, now: BootTime, organisation: &OrgPolicy) -> Result<(), Duration> {
        let Some(limit) = org_limit(organisation) else {
            return Ok(());
        };
        self.limiter.admit(now, &organisation.name, &limit)
    }

    /// Refunds the rate limit token of a request that did not run.
    pub fn refund(&mut self, now: BootTime, organisation: &OrgPolicy) {
        if let Some(limit) = org_limit(organisation) {
            self.limiter.refund(now, &organisation.name, &limit);
        }
    }

    /// Counts a caller's request for a service as in flight until [`RequestRouter::end_request`], and
    /// towards the service's retry budget.
    pub fn start_request(&mut self, now: BootTime, service: &str) {
        self.count_towards_retries(now, service);
        self.demands
            .entry(service.to_owned())
            .or_default()
            .start(now);
    }

    /// Counts a caller's request for a service as ended.
    pub fn end_request(&mut self, service: &str) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.end();
        }
    }

    /// Picks the target of a request's next attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and when the caller may retry.
    pub fn place(
        &mut self,
        now: BootTime,
        query: &PlacementQuery,
        service: &ServicePolicy,
    ) -> Result<TargetPlacement, PlacementRefusal> {
        if !refusal::finishes_in_time(now, self.ends_at, query.limits.timeout) {
            return Err(PlacementRefusal::Ending);
        }
        let work = self
            .work_history
            .estimate(&query.route, query.limits.objective);
        let mut excluded = query.tried.clone();
        let mut token_wait = Duration::MAX;
        loop {
            let best = self.best_target(now, query, &work, &excluded);
            let placement = best.map_err(|refusal| refusal.with_target_wait(token_wait))?;
            if placement.limit.is_some() {
                let wait = self.limit_wait(now, &placement.target);
                if wait != Some(Duration::ZERO) {
                    token_wait = token_wait.min(wait.unwrap_or(Duration::MAX));
                    excluded.push(placement.target);
                    continue;
                }
            }
            if placement.warming_up && !self.take_warmup_token(now, service, &placement.target) {
                excluded.push(placement.target);
                continue;
            }
            // A request with a free slot is always admitted: a cold cache fills only by serving requests.
            let admitted = refusal::admit(
                placement.wait,
                placement.expected_latency,
                &query.limits,
                &query.priority,
            );
            if let Err(retry_after) = admitted {
                let refusal = PlacementRefusal::Busy {
                    retry_after,
                    expected: placement.expected_latency,
                };
                return Err(refusal.with_target_wait(token_wait));
            }
            self.take_limit_token(&placement.target);
            let hosts = u32::try_from(self.fleet.host_count()).unwrap_or(u32::MAX);
            let max_connections = (service.max_connections / hosts).max(1);
            return Ok(TargetPlacement {
                max_connections,
                ..placement
            });
        }
    }

    fn best_target(
        &self,
        now: BootTime,
        query: &PlacementQuery,
        work: &WorkEstimate,
        excluded: &[TargetId],
    ) -> Result<TargetPlacement, PlacementRefusal> {
        let candidates = self.candidates(now, query, excluded);
        let weighted: Vec<_> = candidates
            .iter()
            .map(|record| WeightedTarget {
                name: record.entry.name.clone(),
                weight: self.weight(&query.service, record),
            })
            .collect();
        let ranked = placement::rank(&query.object, &weighted, CONSIDERED_TARGETS);
        let mut options = Vec::with_capacity(ranked.len());
        for (position, index) in ranked.iter().enumerate() {
            let record = candidates[*index];
            let handled = query.sticky
                && self
                    .work_history
                    .has_handled(now, &record.entry.name, &query.object);
            options.push(PlacementOption {
                wait: record
                    .load
                    .expected_wait(now, record.entry.slots, DEFAULT_TARGET_LATENCY),
                round_trip: self.round_trip(record),
                // The first in the ranking is the same at all hosts, which keeps the object cached there.
                warm: handled || (query.sticky && position == 0),
                failure_rate: record.health.failure_rate(),
            });
        }
        let Some(chosen) = placement::choose(&options, work) else {
            return Err(PlacementRefusal::NoTarget {
                retry_after: NO_TARGET_RETRY_AFTER,
            }
            .with_target_wait(self.pause_wait(now, query)));
        };
        let record = candidates[ranked[chosen]];
        let option = &options[chosen];
        Ok(TargetPlacement {
            target: record.entry.name.clone(),
            address: record.entry.address,
            region: record.region.clone(),
            max_connections: 1,
            expected_latency: option.expected_latency(work),
            wait: option.wait,
            round_trip: option.round_trip,
            warm: self
                .work_history
                .has_handled(now, &record.entry.name, &query.object),
            work: *work,
            warming_up: record.is_warming_up(now),
            limit: record.limiter.rate(),
            hash_rank: chosen,
        })
    }

    fn candidates(
        &self,
        now: BootTime,
        query: &PlacementQuery,
        excluded: &[TargetId],
    ) -> Vec<&RosterRecord> {
        let mut candidates = Vec::new();
        for record in self.roster.of_service(&query.service) {
            let available = self.is_available(now, query, record)
                && !record.pause.is_active(now)
                && !excluded.contains(&record.entry.name);
            if available {
                candidates.push(record);
            }
        }
        candidates
    }

    fn is_available(&self, now: BootTime, query: &PlacementQuery, record: &RosterRecord) -> bool {
        let allowed = query
            .allowed_regions
            .as_ref()
            .is_none_or(|allowed_regions| allowed_regions.contains(&record.region));
        allowed && self.roster.accepts_requests(now, record) && !record.health.is_ejected(now)
    }

    // Gets the time until the first of the targets that pause accepts requests again; [`Duration::MAX`] if
    // none pauses.
    fn pause_wait(&self, now: BootTime, query: &PlacementQuery) -> Duration {
        let mut wait = Duration::MAX;
        for record in self.roster.of_service(&query.service) {
            if record.pause.is_active(now) && self.is_available(now, query, record) {
                wait = wait.min(record.pause.time_left(now));
            }
        }
        wait
    }

    fn weight(&self, service: &str, record: &RosterRecord) -> f64 {
        let weights = self.region_weights.get(service);
        let weight = weights.and_then(|weights| weights.get(&record.region));
        weight.copied().unwrap_or(1.0) * f64::from(record.entry.slots.max(1))
    }

    fn round_trip(&self, record: &RosterRecord) -> Duration {
        if record.entry.zone == self.own_host.zone {
            return DEFAULT_ROUND_TRIPS.0;
        }
        if record.region == self.own_host.region {
            return DEFAULT_ROUND_TRIPS.1;
        }
        let measured = self.round_trips.get(&record.region).copied();
        measured.unwrap_or(DEFAULT_ROUND_TRIPS.2)
    }

    /// Updates what depends on the time: averages, spillover and expired entries. Returns the names
    /// of the targets that were dropped.
    pub fn tick(&mut self, now: BootTime, policy: &TrafficPolicy) -> Vec<TargetId> {
        let expired = self.roster.expire(now);
        self.fleet.expire(now);
        self.record_host_count(now);
        self.crashes.expire(now);
        for demand in self.demands.values_mut() {
            demand.sample();
        }
        self.limiter
            .set_host_counts(self.fleet.host_count(), self.fleet.live_count(now));
        let demands = self.fleet.org_demands(now);
        for organisation in policy.organisations.keys() {
            let peer_demand = demands.get(organisation).copied().unwrap_or(0.0);
            self.limiter.set_peer_demand(organisation, peer_demand);
        }
        let reported_at = self.fleet.reported_at(now);
        self.limiter.set_reported_at(now, reported_at);
        for service in policy.services.keys() {
            self.update_spill(now, service);
        }
        self.prune(now, policy);
        expired
    }

    fn update_spill(&mut self, now: BootTime, service: &str) {
        let mut capacities: BTreeMap<RegionId, RegionCapacity> = BTreeMap::new();
        for record in self.roster.of_service(service) {
            let capacity = capacities.entry(record.region.clone()).or_default();
            if self.roster.accepts_requests(now, record) && !record.health.is_ejected(now) {
                capacity.slots += f64::from(record.entry.slots);
            }
        }
        let demands = self.region_demands(now, service);
        // Right after the start the demand is not measured yet, and the averages are near zero.
        let measured = demands.values().sum::<f64>() >= 1.0;
        for (region, demand) in demands.into_iter().filter(|_| measured) {
            capacities.entry(region).or_default().demand = Some(demand);
        }
        let spill = self.spills.entry(service.to_owned()).or_default();
        if !self.demands.contains_key(service) {
            // Without requests there is no traffic to shift gradually: start from the wanted fractions.
            *spill = SpillControl::default();
        }
        spill.update(now, &self.own_host.region, &capacities);
        let weights = spill.weights(&self.own_host.region, &capacities);
        self.region_weights.insert(service.to_owned(), weights);
    }

    fn prune(&mut self, now: BootTime, policy: &TrafficPolicy) {
        let mut routes: BTreeSet<&str> = BTreeSet::new();
        for route in policy.routes.values().flatten() {
            routes.insert(&route.name);
        }
        self.round_robins
            .retain(|route, _| routes.contains(route.as_str()));
        let roster = &self.roster;
        let listed = |target: &str| roster.get(target).is_some();
        self.work_history
            .prune(now, listed, |route| routes.contains(route));
    }
}

/// Gets the rate limit of an organisation, if it has one.
pub fn org_limit(organisation: &OrgPolicy) -> Option<OrgLimit> {
    Some(OrgLimit {
        rate: organisation.rate?,
        burst: organisation.burst,
    })
}
