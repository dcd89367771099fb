//! Demand that other hosts and availability zones report.

use super::FleetTable;
use fighall_core::ids::{BootTime, OrgId, RegionId, ServiceId};
use std::{collections::BTreeMap, time::Duration};

/// Time for which the demand of an organisation at a host counts after its last report: hosts report only
/// organisations whose requests they have admitted lately.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(3);

impl FleetTable {
    /// Sums the demand of each organisation at all other live hosts, in requests per second.
    pub fn org_demands(&self, now: BootTime) -> BTreeMap<OrgId, f64> {
        let mut demands = self.local_org_demands(now);
        for view in self.live_views(now) {
            for (organisation, demand) in &view.demands {
                *demands.entry(organisation.clone()).or_default() += f64::from(*demand);
            }
        }
        demands
    }

    /// Sums the demand of each organisation at the other live hosts of the own zone.
    pub fn local_org_demands(&self, now: BootTime) -> BTreeMap<OrgId, f64> {
        let mut demands: BTreeMap<OrgId, f64> = BTreeMap::new();
        for peer in self.live_local_peers(now) {
            for (organisation, (reported_at, demand)) in &peer.demands {
                if now.saturating_sub(*reported_at) >= DEMAND_TIMEOUT {
                    continue;
                }
                *demands.entry(organisation.clone()).or_default() += f64::from(*demand);
            }
        }
        demands
    }

    /// Lists the requests in flight by service at each other host of the own zone; `None` for a host without a
    /// measurement.
    pub fn local_demands(&self, now: BootTime) -> impl Iterator<Item = (&ServiceId, Option<f64>)> {
        let peers = self.live_local_peers(now);
        let heartbeats = peers.filter_map(|peer| peer.heartbeat.as_ref());
        let demands = heartbeats.flat_map(|heartbeat| &heartbeat.demands);
        demands.map(|(service, demand)| (service, demand.map(f64::from)))
    }

    /// Lists the requests in flight for a service in each other zone that serves it, by region; `None` for a
    /// zone without a measurement.
    pub fn zone_demands(
        &self,
        now: BootTime,
        service: &str,
    ) -> BTreeMap<RegionId, Vec<Option<f64>>> {
        let mut demands: BTreeMap<RegionId, Vec<Option<f64>>> = BTreeMap::new();
        for view in self.live_views(now) {
            if let Some(demand) = view.digest.demands.get(service) {
                let zones = demands.entry(view.digest.region.clone()).or_default();
                zones.push(demand.map(f64::from));
            }
        }
        demands
    }
}
