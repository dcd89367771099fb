//! Fleet-wide rate limits of organisations.
//!
//! Every host keeps a replica of each organisation's token bucket and subtracts the admissions of
//! all hosts from it: its own at once, those of peers as their heartbeats report them. For each peer
//! that it does not hear, a host gives up an equal share of the rate. When the bucket is nearly empty,
//! a host keeps to a fair share in proportion to its demand, so that hosts that decide at the same
//! time do not overdraw the bucket together.

use crate::message::{OrgUse, single};
use fighall_core::{
    ids::{BootTime, OrgId},
    value,
};
use std::{collections::BTreeMap, time::Duration};

/// Fraction of the burst below which hosts keep to their fair shares: more than callers at several
/// times their rate are admitted between two heartbeats.
const LOW_PART: f64 = 0.4;
/// Fraction of the burst by which concurrent admissions, whose reports are still in transit, may
/// overdraw the bucket.
const DEBT_PART: f64 = 0.3;
/// Unreported admissions, as a time at an equal share of the rate, at which they are reported at
/// once. The unreported admissions of all hosts then stay below the tolerance of quotas.
const UNTOLD_TIME: Duration = Duration::from_millis(600);
/// Number of unreported admissions below which the report waits for the next heartbeat.
const UNTOLD_LEAST: u64 = 3;
/// Fraction of the burst that all hosts together may admit right after their start, when they do not
/// know what was admitted before. It stays within the tolerance of quotas.
const START_PART: f64 = 0.3;
/// Time over which one sample of the demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(250);
/// Weight of a new sample in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.4;
/// Time after a host's start in which it does not know the demand at its peers yet: several
/// heartbeats.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Bounds of `Retry-After` for a refused caller, in seconds.
const RETRY_AFTER: (f64, f64) = (0.1, 2.0);

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
    fair: f64,
    refilled_at: BootTime,
    admitted: u64,
    told: u64,
    // Refunded tokens. The other hosts count them as used, so only this host may use them.
    returned: f64,
    asked: u32,
    asked_since: BootTime,
    demand: f64,
    others_demand: f64,
}

/// `FleetLimiter` holds this host's replicas of the token buckets of all organisations.
#[derive(Debug)]
pub struct FleetLimiter {
    buckets: BTreeMap<OrgId, OrgBucket>,
    hosts: u32,
    heard: u32,
    started_at: BootTime,
}

impl FleetLimiter {
    /// Creates a limiter for a host that starts now. Its buckets start empty, because the earlier
    /// use is not known, and fill from `now` on.
    pub fn new(now: BootTime) -> Self {
        Self {
            buckets: BTreeMap::new(),
            hosts: 1,
            heard: 1,
            started_at: now,
        }
    }

    /// Sets the number of hosts of the fleet and how many of them are heard; both include this host.
    /// When fewer are heard than before, the share of the tokens that the silent ones may use is dropped.
    pub fn set_fleet(&mut self, hosts: usize, heard: usize) {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let heard = u32::try_from(heard.max(1)).unwrap_or(u32::MAX).min(hosts);
        if heard < self.heard {
            let kept = f64::from(heard) / f64::from(self.heard);
            for bucket in self.buckets.values_mut() {
                if bucket.tokens > 0.0 {
                    bucket.tokens *= kept;
                }
            }
        }
        self.hosts = hosts;
        self.heard = heard;
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
        let (part, equal) = self.parts();
        let settled = now.saturating_sub(self.started_at) >= SETTLE_TIME;
        let bucket = self.open(organisation, limit);
        bucket.note_asked(now);
        let share = if settled { bucket.share(equal) } else { equal };
        bucket.refill(now, limit, part, share);
        let low = limit.burst * LOW_PART;
        if bucket.returned >= 1.0 {
            bucket.returned -= 1.0;
            return Ok(());
        }
        let free = bucket.tokens >= low.max(1.0);
        let fair = bucket.fair >= 1.0 && bucket.tokens >= 1.0 - limit.burst * DEBT_PART;
        if !free && !fair {
            let wait = (1.0 - bucket.fair).max(0.1) / (limit.rate * part * share).max(0.01);
            let wait = wait.clamp(RETRY_AFTER.0, RETRY_AFTER.1);
            return Err(Duration::from_secs_f64(wait));
        }
        bucket.tokens -= 1.0;
        bucket.fair = (bucket.fair - 1.0).max(0.0);
        bucket.admitted += 1;
        Ok(())
    }

    /// Refunds the token of a request that did not run.
    pub fn give_back(&mut self, now: BootTime, organisation: &str, limit: &OrgLimit) {
        let (part, equal) = self.parts();
        let bucket = self.open(organisation, limit);
        bucket.returned += 1.0;
        let share = bucket.share(equal);
        bucket.refill(now, limit, part, share);
    }

    /// Subtracts the requests that a peer has admitted since its last heartbeat, also for an
    /// organisation that this host has not served yet.
    pub fn note_peer(
        &mut self,
        now: BootTime,
        organisation: &str,
        limit: &OrgLimit,
        admitted: u64,
    ) {
        if admitted == 0 {
            return;
        }
        let (part, equal) = self.parts();
        let admitted = u32::try_from(admitted).unwrap_or(u32::MAX);
        let bucket = self.open(organisation, limit);
        bucket.refill(now, limit, part, equal);
        bucket.tokens -= f64::from(admitted);
    }

    // Returns the fraction of hosts that are heard, and the equal share of one host.
    fn parts(&self) -> (f64, f64) {
        let hosts = f64::from(self.hosts);
        (f64::from(self.heard) / hosts, 1.0 / hosts)
    }

    fn open(&mut self, organisation: &str, limit: &OrgLimit) -> &mut OrgBucket {
        let fair = limit.burst * START_PART / f64::from(self.hosts);
        let started_at = self.started_at;
        let bucket = self.buckets.entry(organisation.to_owned());
        bucket.or_insert_with(|| OrgBucket::new(started_at, fair))
    }

    /// Sets the demand of an organisation at all other hosts, in requests per second.
    pub fn set_others_demand(&mut self, organisation: &str, demand: f64) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.others_demand = demand;
        }
    }

    /// Lists the admissions and the demand of all organisations at this host, for peers.
    pub fn uses(&self) -> Vec<OrgUse> {
        let mut uses = Vec::new();
        for (organisation, bucket) in &self.buckets {
            uses.push(OrgUse {
                organisation: organisation.clone(),
                admitted: bucket.admitted,
                demand: single(bucket.demand),
            });
        }
        uses
    }

    /// Describes the state of an organisation's bucket for logs; empty without a bucket.
    pub fn describe(&self, organisation: &str) -> String {
        let Some(bucket) = self.buckets.get(organisation) else {
            return String::new();
        };
        format!(
            "tokens {:.1}, fair share {:.1}, demand {:.1}/s at this host and {:.1}/s at others, {} of {} hosts heard",
            bucket.tokens, bucket.fair, bucket.demand, bucket.others_demand, self.heard, self.hosts,
        )
    }

    /// Tells whether the unreported admissions should be reported before the next heartbeat. This is
    /// not needed while the bucket is so low that hosts keep to their fair shares.
    pub fn is_pressed(&self, limit: impl Fn(&str) -> Option<OrgLimit>) -> bool {
        self.buckets.iter().any(|(organisation, bucket)| {
            let Some(limit) = limit(organisation) else {
                return false;
            };
            let untold = bucket.admitted - bucket.told;
            let part = limit.rate / f64::from(self.hosts) * UNTOLD_TIME.as_secs_f64();
            let many = f64::from(u32::try_from(untold).unwrap_or(u32::MAX)) >= part;
            many && untold >= UNTOLD_LEAST && bucket.tokens > limit.burst * LOW_PART
        })
    }

    /// Marks all admissions so far as reported to peers.
    pub fn note_told(&mut self) {
        for bucket in self.buckets.values_mut() {
            bucket.told = bucket.admitted;
        }
    }
}

impl OrgBucket {
    fn new(now: BootTime, fair: f64) -> Self {
        Self {
            fair,
            refilled_at: now,
            asked_since: now,
            ..Self::default()
        }
    }

    fn refill(&mut self, now: BootTime, limit: &OrgLimit, part: f64, share: f64) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let elapsed = elapsed.min(Duration::from_secs(60)).as_secs_f64();
        self.refilled_at = now;
        let rate = limit.rate * part;
        self.tokens = (self.tokens + elapsed * rate).min(limit.burst.max(1.0));
        self.tokens = self.tokens.max(-limit.burst);
        // If the refunded requests had never been counted, the bucket would hold at most its burst. All
        // hosts together therefore keep no more refunds than what is missing to the burst.
        let room = (limit.burst - self.tokens).max(0.0) * share;
        self.returned = self.returned.min(room);
        let most = (limit.burst * LOW_PART * share).max(1.0);
        self.fair = (self.fair + elapsed * rate * share).min(most);
    }

    fn share(&self, equal: f64) -> f64 {
        let all = self.demand + self.others_demand;
        if all <= 0.0 {
            return equal;
        }
        (self.demand / all).max(equal * 0.2)
    }

    fn note_asked(&mut self, now: BootTime) {
        self.asked += 1;
        let elapsed = now.saturating_sub(self.asked_since);
        if elapsed < DEMAND_WINDOW {
            return;
        }
        let sample = f64::from(self.asked) / elapsed.as_secs_f64();
        self.demand += (sample - self.demand) * DEMAND_WEIGHT;
        self.asked = 0;
        self.asked_since = now;
    }
}
