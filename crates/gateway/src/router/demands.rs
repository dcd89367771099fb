//! Demand for services at this host, in its availability zone and by region.

use super::RequestRouter;
use crate::demand;
use fighall_core::ids::{BootTime, RegionId, ServiceId};
use std::collections::BTreeMap;

impl RequestRouter {
    /// Gets this host's average number of requests in flight by service, for peers. The value is
    /// absent while the average of a service is not reliable yet.
    pub fn own_demands(&self, now: BootTime) -> BTreeMap<ServiceId, Option<f64>> {
        let mut demands = BTreeMap::new();
        for (service, demand) in &self.demands {
            demands.insert(service.clone(), demand.average(now));
        }
        demands
    }

    /// Estimates the requests in flight at all hosts of this host's zone, by service. The value is absent
    /// while none of them has measured its own.
    pub fn zone_demands(&self, now: BootTime) -> BTreeMap<ServiceId, Option<f64>> {
        let mut hosts: BTreeMap<ServiceId, Vec<Option<f64>>> = BTreeMap::new();
        for (service, demand) in self.own_demands(now) {
            hosts.entry(service).or_default().push(demand);
        }
        for (service, demand) in self.fleet.local_demands(now) {
            hosts.entry(service.clone()).or_default().push(demand);
        }
        let mut demands = BTreeMap::new();
        for (service, hosts) in hosts {
            demands.insert(service, demand::estimate_demand(&hosts));
        }
        demands
    }

    // Estimates the requests in flight for a service by region. A region of which no zone has a measurement
    // is left out.
    pub(super) fn region_demands(&self, now: BootTime, service: &str) -> BTreeMap<RegionId, f64> {
        let mut regions = self.fleet.zone_demands(now, service);
        if let Some(demand) = self.zone_demands(now).get(service) {
            let own_region = regions.entry(self.own_host.region.clone()).or_default();
            own_region.push(*demand);
        }
        let mut demands = BTreeMap::new();
        for (region, zones) in regions {
            if let Some(demand) = demand::estimate_demand(&zones) {
                demands.insert(region, demand);
            }
        }
        demands
    }
}
