//! Load estimate of one target, from this host's own requests in flight and the total load that the target
//! reported with its latest response.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Time constant of the decay of a target's report: about the duration of a slow request.
const REPORT_DECAY: Duration = Duration::from_millis(1_000);
/// Weight of a new sample in the moving average of the target's latency.
const LATENCY_WEIGHT: f64 = 0.1;

value! {
    /// `LoadReport` is the load that a target reports with a response, over all callers.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Number of requests being processed.
        pub running: u32,
        /// Number of requests waiting in the target's queue.
        pub waiting: u32,
    }
}

/// `TargetLoad` estimates the load of one target.
#[derive(Debug, Default, Clone)]
pub struct TargetLoad {
    in_flight: u32,
    other_requests: f64,
    reported_at: BootTime,
    average_latency: Option<f64>,
}

impl TargetLoad {
    /// Gets the number of this host's requests in flight at the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request as in flight.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a request as ended.
    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the latency of a request at the target, without the round trip.
    pub fn record_latency(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let average = self.average_latency.unwrap_or(latency);
        self.average_latency = Some(average + (latency - average) * LATENCY_WEIGHT);
    }

    /// Applies a report that came with a response. Its request must still be counted as in flight, since
    /// the report includes it.
    pub fn record_report(&mut self, now: BootTime, report: LoadReport) {
        let own_requests = f64::from(self.in_flight);
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.other_requests = (total - own_requests).max(0.0);
        self.reported_at = now;
    }

    /// Estimates the number of requests at the target, from all hosts.
    pub fn estimated_requests(&self, now: BootTime) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let weight = (-age / REPORT_DECAY.as_secs_f64()).exp();
        f64::from(self.in_flight) + self.other_requests * weight
    }

    /// Estimates the wait of a further request for one of the target's `slots`. `default_latency` is
    /// assumed before any was measured.
    pub fn expected_wait(&self, now: BootTime, slots: u32, default_latency: Duration) -> Duration {
        let slots = f64::from(slots.max(1));
        let excess = self.estimated_requests(now) + 1.0 - slots;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        let latency = self
            .average_latency
            .unwrap_or(default_latency.as_secs_f64());
        Duration::from_secs_f64(excess / slots * latency)
    }
}
