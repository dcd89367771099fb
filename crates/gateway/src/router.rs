//! Routing decisions: admission, traffic splits, retries and the target of each attempt, with the
//! state that they depend on. No I/O; the current time is an argument.

pub mod outcomes;

use crate::{
    decision::{OwnHost, PlacementAsk, PlacementRefusal, TargetPlacement},
    demand::{self, ServiceDemand},
    fleet::FleetTable,
    limit::{FleetLimiter, OrgLimit},
    placement::{self, CONSIDERED, PlacementOption, WeighedTarget, WorkEstimate},
    policy::{OrgPolicy, RoutePolicy, ServicePolicy, TrafficPolicy},
    ration::RationOptions,
    refusal,
    retry::{RetryBudget, RetryOptions},
    roster::{RosterRecord, TargetRoster},
    settings::GatewayBounds,
    spill::{RegionRoom, SpillControl},
    split::SplitWheel,
    work::WorkMemory,
};
use fighall_core::ids::{BootTime, RegionId, ServiceId, TargetId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Round trips assumed before any was measured: within an availability zone, within a region,
/// between regions.
const ASSUMED_DISTANCE: (Duration, Duration, Duration) = (
    Duration::from_millis(1),
    Duration::from_millis(3),
    Duration::from_millis(60),
);
/// `Retry-After` when no target may take the request, for example while all of them are ejected.
const REST_RETRY: Duration = Duration::from_millis(300);
/// Fraction of the permitted retries that is used: targets count arrivals later than this host
/// does, and a restarted process has lost its own count.
const RETRY_USE: f64 = 0.8;
/// Latency of a target that is assumed before any was measured.
const ASSUMED_HOLD: Duration = Duration::from_millis(200);

/// `RequestRouter` makes the routing decisions of this host and holds their state.
#[derive(Debug)]
pub struct RequestRouter {
    /// Identity and location of this host.
    pub own: OwnHost,
    /// Limits of the deployment, from the settings.
    pub bounds: GatewayBounds,
    /// Listed targets of all services.
    pub roster: TargetRoster,
    /// Other hosts of the fleet.
    pub fleet: FleetTable,
    /// Rate limits of organisations.
    pub limiter: FleetLimiter,
    /// Time at which this host's process ends; absent until it is asked to stop.
    pub ends_at: Option<BootTime>,
    budgets: BTreeMap<ServiceId, RetryBudget>,
    wheels: BTreeMap<String, SplitWheel>,
    memory: WorkMemory,
    spills: BTreeMap<ServiceId, SpillControl>,
    weights: BTreeMap<ServiceId, BTreeMap<RegionId, f64>>,
    demands: BTreeMap<ServiceId, ServiceDemand>,
    // Shortest connect time into each region, as an estimate of the round trip.
    distances: BTreeMap<RegionId, Duration>,
}

impl RequestRouter {
    /// Creates a router without targets and peers for a host that starts now.
    pub fn new(now: BootTime, own: OwnHost, bounds: GatewayBounds, roster: TargetRoster) -> Self {
        Self {
            fleet: FleetTable::new(&own.region, own.incarnation),
            own,
            bounds,
            roster,
            limiter: FleetLimiter::new(now),
            ends_at: None,
            budgets: BTreeMap::new(),
            wheels: BTreeMap::new(),
            memory: WorkMemory::default(),
            spills: BTreeMap::new(),
            weights: BTreeMap::new(),
            demands: BTreeMap::new(),
            distances: BTreeMap::new(),
        }
    }

    /// Picks the service for the next request of a route, by the weights of its split.
    pub fn split(&mut self, route: &RoutePolicy) -> Option<ServiceId> {
        let wheel = self.wheels.entry(route.name.clone()).or_default();
        Some(wheel.next(&route.parts)?.service.clone())
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
    pub fn give_back(&mut self, now: BootTime, organisation: &OrgPolicy) {
        if let Some(limit) = org_limit(organisation) {
            self.limiter.give_back(now, &organisation.name, &limit);
        }
    }

    /// Counts a caller's request for a service as in flight until [`RequestRouter::leave`], and
    /// towards the service's retry budget.
    pub fn enter(&mut self, now: BootTime, service: &str) {
        let options = self.retry_options();
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.note_request(now, &options);
        self.demands
            .entry(service.to_owned())
            .or_default()
            .start(now);
    }

    /// Counts a caller's request for a service as ended.
    pub fn leave(&mut self, service: &str) {
        if let Some(demand) = self.demands.get_mut(service) {
            demand.end();
        }
    }

    /// Takes a retry from the budget of a service. Returns false when the budget is used up.
    pub fn take_repeat(&mut self, now: BootTime, service: &str) -> bool {
        let options = self.retry_options();
        let hosts = self.fleet.count();
        let budget = self.budgets.entry(service.to_owned()).or_default();
        budget.take(now, &options, hosts)
    }

    /// Picks the target of a request's next attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and when the caller may retry.
    pub fn place(
        &mut self,
        now: BootTime,
        ask: &PlacementAsk,
        service: &ServicePolicy,
    ) -> Result<TargetPlacement, PlacementRefusal> {
        let work = self.memory.estimate(&ask.route, ask.times.objective);
        let mut excluded = ask.tried.clone();
        loop {
            let found = self.best(now, ask, &work, &excluded)?;
            if !refusal::is_finished_in_time(now, self.ends_at, found.expected) {
                return Err(PlacementRefusal::Ending {
                    expected: found.expected,
                });
            }
            if found.cold && !self.take_ration(now, service, &found.target) {
                excluded.push(found.target);
                continue;
            }
            // A request with a free slot is always admitted: refusing it would leave a cold target cold.
            let admitted = refusal::admit(found.wait, found.expected, &ask.times, &ask.rank);
            if let Err(retry_after) = admitted {
                return Err(PlacementRefusal::Busy {
                    retry_after,
                    expected: found.expected,
                });
            }
            let hosts = u32::try_from(self.fleet.count()).unwrap_or(u32::MAX);
            let connections = (service.connections / hosts).max(1);
            return Ok(TargetPlacement {
                connections,
                ..found
            });
        }
    }

    fn best(
        &self,
        now: BootTime,
        ask: &PlacementAsk,
        work: &WorkEstimate,
        excluded: &[TargetId],
    ) -> Result<TargetPlacement, PlacementRefusal> {
        let candidates = self.candidates(now, ask, excluded);
        let weighed: Vec<_> = candidates
            .iter()
            .map(|record| WeighedTarget {
                name: record.entry.name.clone(),
                weight: self.weight(&ask.service, record),
            })
            .collect();
        let ranked = placement::rank(&ask.object, &weighed, CONSIDERED);
        let mut options = Vec::with_capacity(ranked.len());
        for (place, index) in ranked.iter().enumerate() {
            let record = candidates[*index];
            let known = ask.sticky && self.memory.is_warm(now, &record.entry.name, &ask.object);
            options.push(PlacementOption {
                wait: record.load.wait(now, record.entry.slots, ASSUMED_HOLD),
                distance: self.distance(record),
                // The first in the ranking is the same at all hosts, which keeps the object cached there.
                warm: known || (ask.sticky && place == 0),
                failure: record.health.failure_part(),
            });
        }
        let Some(chosen) = placement::choose(&options, work) else {
            return Err(PlacementRefusal::NoTarget {
                retry_after: REST_RETRY,
            });
        };
        let record = candidates[ranked[chosen]];
        let option = &options[chosen];
        Ok(TargetPlacement {
            target: record.entry.name.clone(),
            address: record.entry.address,
            region: record.region.clone(),
            connections: 1,
            expected: option.expected(work),
            wait: option.wait,
            distance: option.distance,
            warm: self.memory.is_warm(now, &record.entry.name, &ask.object),
            work: *work,
            cold: record.is_cold(now),
            place: chosen,
        })
    }

    fn candidates(
        &self,
        now: BootTime,
        ask: &PlacementAsk,
        excluded: &[TargetId],
    ) -> Vec<&RosterRecord> {
        let mut candidates = Vec::new();
        for record in self.roster.of_service(&ask.service) {
            let at_home = ask
                .homes
                .as_ref()
                .is_none_or(|homes| homes.contains(&record.region));
            let open = self.roster.takes_work(now, record) && !record.health.is_resting(now);
            if at_home && open && !excluded.contains(&record.entry.name) {
                candidates.push(record);
            }
        }
        candidates
    }

    fn weight(&self, service: &str, record: &RosterRecord) -> f64 {
        let weights = self.weights.get(service);
        let weight = weights.and_then(|weights| weights.get(&record.region));
        weight.copied().unwrap_or(1.0) * f64::from(record.entry.slots.max(1))
    }

    fn distance(&self, record: &RosterRecord) -> Duration {
        if record.entry.zone == self.own.zone {
            return ASSUMED_DISTANCE.0;
        }
        if record.region == self.own.region {
            return ASSUMED_DISTANCE.1;
        }
        let measured = self.distances.get(&record.region).copied();
        measured.unwrap_or(ASSUMED_DISTANCE.2)
    }

    fn take_ration(&mut self, now: BootTime, service: &ServicePolicy, target: &str) -> bool {
        let options = RationOptions {
            rate: service.warmup_rate,
            most: service.warmup_rate * self.bounds.warmup_overage + self.bounds.warmup_slack,
        };
        let hosts = self.fleet.names(&self.own.host);
        let Some(record) = self.roster.get_mut(target) else {
            return false;
        };
        let own = &self.own.host;
        record.ration.take(now, &options, target, own, &hosts)
    }

    /// Gets this host's average number of requests in flight by service, for peers. The value is
    /// absent while the average of a service is not reliable yet.
    pub fn demands(&self, now: BootTime) -> BTreeMap<ServiceId, Option<f64>> {
        let mut demands = BTreeMap::new();
        for (service, demand) in &self.demands {
            demands.insert(service.clone(), demand.measured(now));
        }
        demands
    }

    /// Estimates the requests in flight for a service at all hosts of this host's region; absent
    /// while none of them has measured its own.
    pub fn region_demand(&self, now: BootTime, service: &str) -> Option<f64> {
        let own = self.demands.get(service);
        let own = own.map(|demand| demand.measured(now));
        let near = self.fleet.near_demands(now, service);
        demand::of_region(near.chain(own))
    }

    /// Updates what depends on the time: averages, spillover and expired entries. Returns the names
    /// of the targets that were dropped.
    pub fn tick(&mut self, now: BootTime, policy: &TrafficPolicy) -> Vec<TargetId> {
        let expired = self.roster.expire(now);
        self.fleet.expire(now);
        for demand in self.demands.values_mut() {
            demand.sample();
        }
        self.limiter
            .set_fleet(self.fleet.count(), self.fleet.heard(now));
        let demands = self.fleet.org_demands(now);
        for organisation in policy.organisations.keys() {
            let others = demands.get(organisation).copied().unwrap_or(0.0);
            self.limiter.set_others_demand(organisation, others);
        }
        for service in policy.services.keys() {
            self.update_spill(now, service);
        }
        self.forget(now, policy);
        expired
    }

    fn update_spill(&mut self, now: BootTime, service: &str) {
        let mut rooms: BTreeMap<RegionId, RegionRoom> = BTreeMap::new();
        for record in self.roster.of_service(service) {
            let room = rooms.entry(record.region.clone()).or_default();
            if self.roster.takes_work(now, record) && !record.health.is_resting(now) {
                room.slots += f64::from(record.entry.slots);
            }
        }
        let mut demands = self.fleet.far_demands(now, service);
        if let Some(demand) = self.region_demand(now, service) {
            demands.insert(self.own.region.clone(), demand);
        }
        // Right after the start the demand is not measured yet, and the averages are near zero.
        let measured = demands.values().sum::<f64>() >= 1.0;
        for (region, demand) in demands.into_iter().filter(|_| measured) {
            rooms.entry(region).or_default().demand = Some(demand);
        }
        let spill = self.spills.entry(service.to_owned()).or_default();
        if !self.demands.contains_key(service) {
            // Without requests there is no traffic to shift gradually: start from the wanted fractions.
            *spill = SpillControl::default();
        }
        spill.update(now, &self.own.region, &rooms);
        let weights = spill.weights(&self.own.region, &rooms);
        self.weights.insert(service.to_owned(), weights);
    }

    fn forget(&mut self, now: BootTime, policy: &TrafficPolicy) {
        let mut routes: BTreeSet<&str> = BTreeSet::new();
        for route in policy.routes.values().flatten() {
            routes.insert(&route.name);
        }
        self.wheels
            .retain(|route, _| routes.contains(route.as_str()));
        let roster = &self.roster;
        let listed = |target: &str| roster.get(target).is_some();
        self.memory
            .forget(now, listed, |route| routes.contains(route));
    }

    fn retry_options(&self) -> RetryOptions {
        RetryOptions {
            ratio: self.bounds.retry_ratio * RETRY_USE,
            slack: self.bounds.retry_slack * RETRY_USE,
            window: self.bounds.retry_window,
        }
    }
}

/// Gets the rate limit of an organisation, if it has one.
pub fn org_limit(organisation: &OrgPolicy) -> Option<OrgLimit> {
    Some(OrgLimit {
        rate: organisation.rate?,
        burst: organisation.burst,
    })
}
