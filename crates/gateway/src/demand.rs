//! Demand of callers for a service: the average number of their requests in flight.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// Weight of a new sample in the moving average. Samples are taken several times per second.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time from the first request until the average is used: the number in flight grows for as long as a
/// slow request takes, and a demand that is too low would keep requests at targets without capacity.
const MEASURE_TIME: Duration = Duration::from_secs(4);

/// `ServiceDemand` measures the demand for one service at this host.
#[derive(Debug, Default, Clone, Copy)]
pub struct ServiceDemand {
    count: u32,
    samples: u32,
    average: f64,
    started_at: Option<BootTime>,
}

impl ServiceDemand {
    /// Counts a request as in flight.
    pub fn start(&mut self, now: BootTime) {
        self.count += 1;
        self.started_at.get_or_insert(now);
    }

    /// Counts a request as ended.
    pub fn end(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Takes a sample. The first samples have equal weights, so that the average is not biased towards
    /// zero.
    pub fn sample(&mut self) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.average += (f64::from(self.count) - self.average) * weight;
    }

    /// Gets the average number of requests in flight; absent until it was measured for long enough.
    pub fn measured(&self, now: BootTime) -> Option<f64> {
        let started_at = self.started_at?;
        let known = now.saturating_sub(started_at) >= MEASURE_TIME;
        known.then_some(self.average)
    }
}

/// Estimates the demand of a region from that of its hosts. Hosts without a measurement are assumed to
/// have the mean demand of the others; the result is absent if no host has a measurement.
pub fn of_region(hosts: impl Iterator<Item = Option<f64>>) -> Option<f64> {
    let (mut sum, mut measured, mut all) = (0.0, 0_u32, 0_u32);
    for demand in hosts {
        all += 1;
        if let Some(demand) = demand {
            sum += demand;
            measured += 1;
        }
    }
    (measured > 0).then(|| sum * f64::from(all) / f64::from(measured))
}
