//! Demand of an organisation at this host, and the share of the rate that follows from it.

use fighall_core::ids::BootTime;
use std::{collections::VecDeque, time::Duration};

/// Time over which one sample of the demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Weight of a new sample in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// Age of the demand that a host counts for its own share beyond that of the others' reports: the longest time
/// that a report takes on its way through the relays.
const DEMAND_LAG: Duration = Duration::from_millis(800);
/// Fraction of an equal share that a host without demand keeps.
const MIN_SHARE: f64 = 0.2;

/// `DemandMeter` averages the requests per second of an organisation at this host.
#[derive(Debug, Default)]
pub(super) struct DemandMeter {
    requests: u32,
    started_at: BootTime,
    pub(super) average: f64,
}

impl DemandMeter {
    /// Creates a meter that counts from `now` on.
    pub(super) fn new(now: BootTime) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Counts a request of the organisation.
    pub(super) fn count_request(&mut self, now: BootTime) {
        self.requests += 1;
        let elapsed = now.saturating_sub(self.started_at);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let sample = f64::from(self.requests) / elapsed.as_secs_f64();
        self.average += (sample - self.average) * DEMAND_WEIGHT;
        self.requests = 0;
        self.started_at = now;
    }
}

/// `UsageSample` holds a host's counts for an organisation at some time.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsageSample {
    pub(super) at: BootTime,
    pub(super) admitted: u64,
    pub(super) demand: f64,
    pub(super) peer_demand: f64,
}

/// `UsageHistory` holds the latest samples, as far back as the oldest report of another host requires.
#[derive(Debug, Default)]
pub(super) struct UsageHistory {
    samples: VecDeque<UsageSample>,
    // The samples at the time up to which all other hosts have reported, and `DEMAND_LAG` before it; none
    // before the first one.
    reported: Option<UsageSample>,
    earlier: Option<UsageSample>,
}

impl UsageHistory {
    /// Adds a sample, when all other hosts have reported up to `reported_at`.
    pub(super) fn record(&mut self, sample: UsageSample, reported_at: BootTime) {
        self.samples.push_back(sample);
        let earlier_at = reported_at.saturating_sub(DEMAND_LAG);
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at <= earlier_at)
        {
            self.samples.pop_front();
        }
        self.earlier = self.samples.front().copied();
        let mut reported = self.samples.iter().rev();
        let reported = reported.find(|sample| sample.at <= reported_at);
        self.reported = reported.copied().or(self.earlier);
    }

    /// Gets the number of admissions up to the last report of all other hosts.
    pub(super) fn reported_admissions(&self) -> u64 {
        self.reported.map_or(0, |sample| sample.admitted)
    }

    /// Gets the fraction of the rate that this host may use. Its demand counts as of an earlier time than that of
    /// the others, whose reports take as long, if the demand of all has risen since: the shares then add up to less
    /// than one.
    pub(super) fn own_share(&self, equal_share: f64, is_settled: bool) -> f64 {
        let samples = self.reported.zip(self.earlier);
        let Some((reported, earlier)) = samples.filter(|_| is_settled) else {
            return equal_share;
        };
        if earlier.demand + earlier.peer_demand <= 0.0 {
            return equal_share;
        }
        let has_risen =
            reported.demand + reported.peer_demand >= earlier.demand + earlier.peer_demand;
        let demand = if has_risen {
            earlier.demand
        } else {
            reported.demand
        };
        let total_demand = demand + reported.peer_demand;
        if total_demand <= 0.0 {
            return equal_share;
        }
        (demand / total_demand).max(equal_share * MIN_SHARE)
    }
}
