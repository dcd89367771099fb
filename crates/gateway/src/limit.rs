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

use crate::message::{OrgUsage, to_f32};
use fighall_core::{
    ids::{BootTime, OrgId},
    value,
};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Fraction of the burst below which hosts keep to their fair shares: more than callers at several
/// times their rate are admitted between two heartbeats.
const LOW_WATERMARK: f64 = 0.4;
/// Fraction of the burst by which concurrent admissions, whose reports are still in transit, may
/// overdraw the bucket.
const MAX_OVERDRAFT: f64 = 0.3;
/// Time at the rate by which admissions that were reported late may exceed the burst and are still made up
/// for. More is forgotten, so that a wrong count does not keep callers out for long.
const MAX_DEBT_TIME: Duration = Duration::from_secs(3);
/// Unreported admissions, as a time at an equal share of the rate, at which they are reported at
/// once. The unreported admissions of all hosts then stay below the tolerance of quotas.
const UNREPORTED_TIME: Duration = Duration::from_millis(600);
/// Number of unreported admissions below which the report waits for the next heartbeat.
const MIN_UNREPORTED: u64 = 3;
/// Fraction of the burst that all hosts together may admit right after their start, when they do not
/// know what was admitted before. It stays within the tolerance of quotas.
const INITIAL_FRACTION: f64 = 0.3;
/// Age of the demand that a host counts for its own share beyond that of the others' reports: the longest time
/// that a report takes on its way through the relays.
const DEMAND_LAG: Duration = Duration::from_millis(800);
/// Factor by which the hosts together may use more than the common tokens while reports are in transit.
const COMMON_FACTOR: f64 = 6.0;
/// Common tokens that each host may use meanwhile in any case, as long as the bucket is fuller than
/// `HIGH_WATERMARK` of the burst: requests of an organisation within its rate come in small groups.
const MIN_COMMON_TOKENS: f64 = 4.0;
const HIGH_WATERMARK: f64 = 0.75;
/// Fraction of an equal share that a host without demand keeps.
const MIN_SHARE: f64 = 0.2;
/// Age of the oldest report of another host from which on hosts keep to their fair shares: 1.5 intervals of
/// reports.
const USAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time over which one sample of the demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Weight of a new sample in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.4;
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

#[derive(Debug, Default)]
struct OrgBucket {
    tokens: f64,
    fair_tokens: f64,
    refilled_at: BootTime,
    admitted: u64,
    reported: u64,
    // Refunded tokens. The other hosts count them as used, so only this host may use them.
    refunded: f64,
    sampled_requests: u32,
    sample_started_at: BootTime,
    demand: f64,
    peer_demand: f64,
    samples: VecDeque<BucketSample>,
    // The samples at the time up to which all other hosts have reported, and `DEMAND_LAG` before it; none
    // before the first one.
    reported_sample: Option<BucketSample>,
    earlier_sample: Option<BucketSample>,
}

/// `BucketSample` is what a host knew of an organisation at some time.
#[derive(Debug, Clone, Copy)]
struct BucketSample {
    at: BootTime,
    admitted: u64,
    demand: f64,
    peer_demand: f64,
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
        bucket.count_request(now);
        let own_share = bucket.own_share(equal_share, is_settled);
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
        let own_share = bucket.own_share(equal_share, is_settled);
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
        let own_share = bucket.own_share(equal_share, is_settled);
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
        bucket.or_insert_with(|| OrgBucket {
            peer_demand: peer_demand.unwrap_or_default(),
            ..OrgBucket::new(started_at, fair_tokens)
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
                demand: to_f32(bucket.demand),
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
            bucket.demand,
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

impl OrgBucket {
    fn new(now: BootTime, fair_tokens: f64) -> Self {
        Self {
            fair_tokens,
            refilled_at: now,
            sample_started_at: now,
            ..Self::default()
        }
    }

    fn refill(
        &mut self,
        now: BootTime,
        limit: &OrgLimit,
        live_fraction: f64,
        own_share: f64,
        equal_share: f64,
    ) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let elapsed = elapsed.min(Duration::from_secs(60)).as_secs_f64();
        self.refilled_at = now;
        let rate = limit.rate * live_fraction;
        self.tokens = (self.tokens + elapsed * rate).min(limit.burst.max(1.0));
        let max_debt = limit.burst + limit.rate * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = self.tokens.max(-max_debt);
        // If the refunded requests had never been counted, the bucket would hold at most its burst. All
        // hosts together therefore keep no more refunds than what is missing to the burst.
        let max_refunded = (limit.burst - self.tokens).max(0.0) * own_share;
        self.refunded = self.refunded.min(max_refunded);
        // A short drop of the share does not discard tokens saved at an equal share.
        let max_fair_tokens = max_fair_tokens(limit, own_share.max(equal_share));
        self.fair_tokens = (self.fair_tokens + elapsed * rate * own_share).min(max_fair_tokens);
    }

    // Uses a token of the fair share. `draw` is a random number from 0 to 1. If the share is too small to hold a
    // token, the fraction that it holds is the probability of admission: rounded up to one token at each of
    // hundreds of hosts, shares would exceed the limit many times.
    fn use_fair_token(&mut self, limit: &OrgLimit, share: f64, draw: f64) -> bool {
        if self.fair_tokens >= 1.0 {
            self.fair_tokens -= 1.0;
            return true;
        }
        if max_fair_tokens(limit, share) >= 1.0 {
            return false;
        }
        let chance = self.fair_tokens;
        self.fair_tokens = 0.0;
        draw < chance
    }

    // Gets the fraction of the rate that this host may use. Its demand counts as of an earlier time than that of
    // the others, whose reports take as long, if the demand of all has risen since: the shares then add up to less
    // than one.
    fn own_share(&self, equal_share: f64, is_settled: bool) -> f64 {
        let samples = self.reported_sample.zip(self.earlier_sample);
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

    // Tells whether the admissions that the other hosts may not know of leave something of this host's `part` of
    // the tokens above the low watermark, as they were before these admissions.
    fn may_use_common_tokens(&self, limit: &OrgLimit, part: f64) -> bool {
        let known = self.reported_sample.map_or(0, |sample| sample.admitted);
        let unknown = u32::try_from(self.admitted - known).unwrap_or(u32::MAX);
        let unknown = f64::from(unknown);
        let min_tokens = if self.tokens >= limit.burst * HIGH_WATERMARK {
            MIN_COMMON_TOKENS
        } else {
            1.0
        };
        let common_tokens = self.tokens - limit.burst * LOW_WATERMARK + unknown;
        unknown + 1.0 <= (common_tokens * part * COMMON_FACTOR).max(min_tokens)
    }

    fn record_sample(&mut self, now: BootTime, reported_at: BootTime) {
        self.samples.push_back(BucketSample {
            at: now,
            admitted: self.admitted,
            demand: self.demand,
            peer_demand: self.peer_demand,
        });
        let earlier_at = reported_at.saturating_sub(DEMAND_LAG);
        while self
            .samples
            .get(1)
            .is_some_and(|next| next.at <= earlier_at)
        {
            self.samples.pop_front();
        }
        self.earlier_sample = self.samples.front().copied();
        let mut reported = self.samples.iter().rev();
        let reported = reported.find(|sample| sample.at <= reported_at);
        self.reported_sample = reported.copied().or(self.earlier_sample);
        let known = self.reported_sample.map_or(0, |sample| sample.admitted);
        let unknown = u32::try_from(self.admitted - known).unwrap_or(u32::MAX);
        self.fair_tokens = self.fair_tokens.max(-f64::from(unknown));
    }

    fn count_request(&mut self, now: BootTime) {
        self.sampled_requests += 1;
        let elapsed = now.saturating_sub(self.sample_started_at);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let sample = f64::from(self.sampled_requests) / elapsed.as_secs_f64();
        self.demand += (sample - self.demand) * DEMAND_WEIGHT;
        self.sampled_requests = 0;
        self.sample_started_at = now;
    }
}

fn max_fair_tokens(limit: &OrgLimit, own_share: f64) -> f64 {
    limit.burst * LOW_WATERMARK * own_share
}

fn count_to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
