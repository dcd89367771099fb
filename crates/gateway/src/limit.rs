//! Fleet-wide rate limits of organisations.
//!
//! Every host keeps a replica of each organisation's token bucket and subtracts the admissions of all
//! hosts from it: its own at once, those of peers as their heartbeats report them. For each peer that is
//! not live, a host gives up an equal share of the rate. When the bucket is nearly empty, a host keeps to
//! a fair share in proportion to its demand, so that hosts that decide at the same time do not overdraw
//! the bucket together.
//!
//! Shares and the admissions from a full bucket follow from what all hosts knew of each other when the one
//! that has been silent longest last reported. While reports are missing, for whatever reason, no host's share
//! grows, and the shares of all still add up to one.

mod bucket;
mod demand;

use crate::message::{OrgUsage, to_f32};
use bucket::{LOW_WATERMARK, OrgBucket};
use fighall_core::{
    ids::{BootTime, OrgId},
    value,
};
use std::{collections::BTreeMap, time::Duration};

/// Fraction of the burst by which concurrent admissions, whose reports are still in transit, may
/// overdraw the bucket.
const MAX_OVERDRAFT: f64 = 0.3;
/// Unreported admissions, as a time at an equal share of the rate, at which they are reported at
/// once. The unreported admissions of all hosts then stay below the tolerance of quotas.
const UNREPORTED_TIME: Duration = Duration::from_millis(600);
/// Number of unreported admissions below which the report waits for the next heartbeat.
const MIN_UNREPORTED: u64 = 3;
/// Fraction of the burst that all hosts together may admit right after their start, when they do not
/// know what was admitted before. It stays within the tolerance of quotas.
const INITIAL_FRACTION: f64 = 0.3;
/// Age of the oldest report of another host from which on hosts keep to their fair shares: 1.5 intervals of
/// reports.
const USAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after a host's start in which it has not received the demand at all of its peers yet: several
/// heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Bounds of `Retry-After` for a refused caller, in seconds.
const RETRY_AFTER_SECONDS: (f64, f64) = (0.1, 2.0);

value! {
    /// `OrgLimit` is the fleet-wide rate limit of an organisation.
    #[derive(Copy)]
    pub struct OrgLimit {
        /// Requests per second.
        pub rate: f64,
        /// Capacity of the token bucket in requests.
        pub burst: f64,
    }
}

/// `FleetLimiter` holds this host's replicas of the token buckets of all organisations.
#[derive(Debug)]
pub struct FleetLimiter {
    buckets: BTreeMap<OrgId, OrgBucket>,
    // Demand at the other hosts for organisations without a bucket here.
    peer_demands: BTreeMap<OrgId, f64>,
    host_count: u32,
    live_count: u32,
    is_usage_complete: bool,
    started_at: BootTime,
    rng: fastrand::Rng,
}

impl FleetLimiter {
    /// Creates a limiter for a host that starts now. Its buckets start empty, because the earlier usage is
    /// not known, and fill from `now` on.
    pub fn new(now: BootTime) -> Self {
        Self {
            buckets: BTreeMap::new(),
            peer_demands: BTreeMap::new(),
            host_count: 1,
            live_count: 1,
            is_usage_complete: true,
            started_at: now,
            rng: fastrand::Rng::new(),
        }
    }

    /// Sets the seed of the random decisions.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.rng = fastrand::Rng::with_seed(seed);
        self
    }

    /// Sets the number of hosts of the fleet and how many of them are live; both include this host. When
    /// fewer are live than before, the share of the tokens that the dead hosts may use is dropped.
    pub fn set_host_counts(&mut self, host_count: usize, live_count: usize) {
        let host_count = u32::try_from(host_count.max(1)).unwrap_or(u32::MAX);
        let live_count = u32::try_from(live_count.max(1))
            .unwrap_or(u32::MAX)
            .min(host_count);
        if live_count < self.live_count {
            let kept_fraction = f64::from(live_count) / f64::from(self.live_count);
            for bucket in self.buckets.values_mut() {
                if bucket.tokens > 0.0 {
                    bucket.tokens *= kept_fraction;
                }
            }
        }
        self.host_count = host_count;
        self.live_count = live_count;
    }

    /// Sets the time up to which all live hosts have reported their admissions and demand, as far as this host
    /// knows, and records the state of all organisations.
    pub fn set_reported_at(&mut self, now: BootTime, reported_at: BootTime) {
        self.is_usage_complete = now.saturating_sub(reported_at) < USAGE_TIMEOUT;
        for bucket in self.buckets.values_mut() {
            bucket.record_sample(now, reported_at);
        }
    }

    /// Admits a request of an organisation.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry when the organisation exceeds its rate and
    /// burst.
    pub fn admit(
        &mut self,
        now: BootTime,
        organisation: &str,
        limit: &OrgLimit,
    ) -> Result<(), Duration> {
        let (live_fraction, equal_share) = self.shares();
        let draw = self.rng.f64();
        let is_settled = self.is_settled(now);
        let is_usage_complete = self.is_usage_complete;
        let bucket = self.bucket_mut(organisation, limit);
        bucket.demand.count_request(now);
        let own_share = bucket.history.own_share(equal_share, is_settled);
        bucket.refill(now, limit, live_fraction, own_share, equal_share);
        let low_tokens = limit.burst * LOW_WATERMARK;
        if bucket.refunded >= 1.0 {
            bucket.refunded -= 1.0;
            return Ok(());
        }
        let above_low = is_usage_complete
            && bucket.tokens >= low_tokens.max(1.0)
            && bucket.may_use_common_tokens(limit, (own_share + equal_share) / 2.0);
        let has_tokens = bucket.tokens >= 1.0 - limit.burst * MAX_OVERDRAFT;
        let is_admitted = above_low
            || has_tokens && bucket.use_fair_token(limit, own_share.max(equal_share), draw);
        if !is_admitted {
            let wait_seconds = (1.0 - bucket.fair_tokens).max(0.1)
                / (limit.rate * live_fraction * own_share).max(0.01);
            let wait_seconds = wait_seconds.clamp(RETRY_AFTER_SECONDS.0, RETRY_AFTER_SECONDS.1);
            return Err(Duration::from_secs_f64(wait_seconds));
        }
        bucket.tokens -= 1.0;
        if above_low {
            // Until its report has reached the other hosts, a common token is also taken from the fair share.
            bucket.fair_tokens = (bucket.fair_tokens - 1.0).max(-limit.burst);
        }
        bucket.admitted += 1;
        Ok(())
    }

    /// Refunds the token of a request that did not run.
    pub fn refund(&mut self, now: BootTime, organisation: &str, limit: &OrgLimit) {
        let (live_fraction, equal_share) = self.shares();
        let is_settled = self.is_settled(now);
        let bucket = self.bucket_mut(organisation, limit);
        bucket.refunded += 1.0;
        let own_share = bucket.history.own_share(equal_share, is_settled);
        bucket.refill(now, limit, live_fraction, own_share, equal_share);
    }

    /// Subtracts the requests that a peer has admitted since its last heartbeat, also for an
    /// organisation that this host has not served yet.
    pub fn count_peer_admissions(
        &mut self,
        now: BootTime,
        organisation: &str,
        limit: &OrgLimit,
        admitted: u64,
    ) {
        if admitted == 0 {
            return;
        }
        let (live_fraction, equal_share) = self.shares();
        let is_settled = self.is_settled(now);
        let admitted = u32::try_from(admitted).unwrap_or(u32::MAX);
        let bucket = self.bucket_mut(organisation, limit);
        let own_share = bucket.history.own_share(equal_share, is_settled);
        bucket.refill(now, limit, live_fraction, own_share, equal_share);
        bucket.tokens -= f64::from(admitted);
    }

    // Returns the fraction of hosts that are live, and the equal share of one host.
    fn shares(&self) -> (f64, f64) {
        let host_count = f64::from(self.host_count);
        (f64::from(self.live_count) / host_count, 1.0 / host_count)
    }

    fn is_settled(&self, now: BootTime) -> bool {
        now.saturating_sub(self.started_at) >= SETTLE_TIME
    }

    fn bucket_mut(&mut self, organisation: &str, limit: &OrgLimit) -> &mut OrgBucket {
        let fair_tokens = limit.burst * INITIAL_FRACTION / f64::from(self.host_count);
        let started_at = self.started_at;
        let peer_demand = self.peer_demands.remove(organisation);
        let bucket = self.buckets.entry(organisation.to_owned());
        bucket.or_insert_with(|| {
            let mut bucket = OrgBucket::new(started_at, fair_tokens);
            bucket.peer_demand = peer_demand.unwrap_or_default();
            bucket
        })
    }

    /// Sets the demand of an organisation at all other hosts, in requests per second.
    pub fn set_peer_demand(&mut self, organisation: &str, demand: f64) {
        match self.buckets.get_mut(organisation) {
            Some(bucket) => bucket.peer_demand = demand,
            None => {
                self.peer_demands.insert(organisation.to_owned(), demand);
            }
        }
    }

    /// Lists the admissions and the demand of all organisations at this host, for peers.
    pub fn usage(&self) -> Vec<OrgUsage> {
        let mut usage = Vec::new();
        for (organisation, bucket) in &self.buckets {
            usage.push(OrgUsage {
                organisation: organisation.clone(),
                admitted: bucket.admitted,
                demand: to_f32(bucket.demand.average),
                recent: Vec::new(),
            });
        }
        usage
    }

    /// Describes the state of an organisation's bucket for logs; empty without a bucket.
    pub fn describe(&self, organisation: &str) -> String {
        let Some(bucket) = self.buckets.get(organisation) else {
            return String::new();
        };
        format!(
            "tokens {:.1}, fair share {:.1}, demand {:.1}/s at this host and {:.1}/s at others, {} of {} hosts heard",
            bucket.tokens,
            bucket.fair_tokens,
            bucket.demand.average,
            bucket.peer_demand,
            self.live_count,
            self.host_count,
        )
    }

    /// Tells whether the unreported admissions should be reported before the next heartbeat. This is
    /// not needed while the bucket is so low that hosts keep to their fair shares.
    pub fn needs_report(&self, limit: impl Fn(&str) -> Option<OrgLimit>) -> bool {
        self.buckets.iter().any(|(organisation, bucket)| {
            let Some(limit) = limit(organisation) else {
                return false;
            };
            let unreported = bucket.admitted - bucket.reported;
            self.is_report_due(&limit, unreported, 1) && bucket.tokens > limit.burst * LOW_WATERMARK
        })
    }

    /// Tells whether `unreported` admissions of `hosts` hosts are so many that other hosts have to know of
    /// them at once.
    pub fn is_report_due(&self, limit: &OrgLimit, unreported: u64, hosts: usize) -> bool {
        let share = count_to_f64(hosts) / f64::from(self.host_count);
        let threshold = limit.rate * share * UNREPORTED_TIME.as_secs_f64();
        unreported >= MIN_UNREPORTED
            && f64::from(u32::try_from(unreported).unwrap_or(u32::MAX)) >= threshold
    }

    /// Marks all admissions so far as reported to peers.
    pub fn mark_reported(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.reported = bucket.admitted;
        }
    }
}

fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
