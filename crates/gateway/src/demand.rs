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
    in_flight: u32,
    samples: u32,
    average: f64,
    started_at: Option<BootTime>,
}

impl ServiceDemand {
    /// Counts a request as in flight.
    pub fn start(&mut self, now: BootTime) {
        self.in_flight += 1;
        self.started_at.get_or_insert(now);
    }

    /// Counts a request as ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes a sample. The first samples have equal weights, so that the average is not biased towards
    /// zero.
    pub fn sample(&mut self) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.average += (f64::from(self.in_flight) - self.average) * weight;
    }

    /// Gets the average number of requests in flight; absent until it was measured for long enough.
    pub fn average(&self, now: BootTime) -> Option<f64> {
        let started_at = self.started_at?;
        let is_reliable = now.saturating_sub(started_at) >= MEASURE_TIME;
        is_reliable.then_some(self.average)
    }
}

/// Estimates the demand of a zone from that of its hosts, or of a region from that of its zones. Parts
/// without a measurement are assumed to have the mean demand of the others; the result is absent if no
/// part has a measurement.
pub fn estimate_demand(parts: &[Option<f64>]) -> Option<f64> {
    let (mut total, mut measured_parts, mut part_count) = (0.0, 0_u32, 0_u32);
    for demand in parts {
        part_count += 1;
        if let Some(demand) = demand {
            total += demand;
            measured_parts += 1;
        }
    }
    (measured_parts > 0).then(|| total * f64::from(part_count) / f64::from(measured_parts))
}
