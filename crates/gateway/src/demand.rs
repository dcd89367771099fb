//! Requests of callers in flight for one service, averaged over seconds.

use fighall_core::ids::BootTime;
use std::time::Duration;

/// Weight of a sample, taken several times a second.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Time from the first request until the average counts: requests in flight build up for as long as a
/// slow request takes, and too low a demand would keep work at targets that cannot take it.
const MEASURE_TIME: Duration = Duration::from_secs(4);

/// `ServiceDemand` counts the requests that begin and end at this host.
#[derive(Debug, Default, Clone, Copy)]
pub struct ServiceDemand {
    count: u32,
    samples: u32,
    average: f64,
    started_at: Option<BootTime>,
}

impl ServiceDemand {
    /// Counts a request that begins.
    pub fn start(&mut self, now: BootTime) {
        self.count += 1;
        self.started_at.get_or_insert(now);
    }

    /// Counts a request that ends.
    pub fn end(&mut self) {
        self.count = self.count.saturating_sub(1);
    }

    /// Takes a sample. The first ones weigh alike, so that the average does not begin at zero.
    pub fn sample(&mut self) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.average += (f64::from(self.count) - self.average) * weight;
    }

    /// Gets the average; none while it is not known yet.
    pub fn measured(&self, now: BootTime) -> Option<f64> {
        let started_at = self.started_at?;
        let known = now.saturating_sub(started_at) >= MEASURE_TIME;
        known.then_some(self.average)
    }
}

/// Estimates the demand of a region from that of its hosts: those that have not measured theirs yet
/// count like the others. None where no host has.
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
