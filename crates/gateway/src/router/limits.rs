//! Rate limits of single targets: what this host learns of those that targets name, its claims on them, and
//! the tokens of requests to limited targets and to those that are warming up.

use super::RequestRouter;
use crate::{
    fleet::holders::LimitedTarget,
    message::{LimitClaim, to_f32},
    policy::ServicePolicy,
    ration::WarmupLimit,
    roster::RosterRecord,
    target_limit::{LimitChange, LimitReport},
    target_share::{
        HolderClaims, TargetShare, equal_fraction, fair_fraction, initial_demand, next_fraction,
    },
};
use fighall_core::ids::{BootTime, HostId, TargetId};
use std::{collections::BTreeSet, time::Duration};

/// Time for which a host that does not hold a limit reports what it has just learned of it.
const NEWS_TIME: Duration = Duration::from_secs(2);
/// Allowance for the transfer of a claim, by which what it tells is taken to be older: what a host hears
/// of its own observation must not look like a later one.
const TRANSFER_MARGIN: Duration = Duration::from_millis(100);

/// Changes of what is known about the limits of targets.
pub type LimitChanges = Vec<(TargetId, LimitChange)>;

impl RequestRouter {
    /// Records what a target's response to a request sent at `sent_at` says about the target's rate limit.
    /// `success` is false for error responses.
    pub fn record_limit(
        &mut self,
        now: BootTime,
        sent_at: BootTime,
        target: &str,
        report: &LimitReport,
        success: bool,
    ) -> Option<LimitChange> {
        let record = self.roster.get_mut(target)?;
        let limiter = &mut record.limiter;
        let change = limiter.record_report(now, sent_at, report, success);
        if matches!(change, Some(LimitChange::Named(_))) {
            self.start_share(now, target);
        }
        change
    }

    /// Applies what another host or zone reports of limits. Claims on targets that this host does not list
    /// are skipped.
    pub fn apply_limit_claims(&mut self, now: BootTime, claims: &[LimitClaim]) -> LimitChanges {
        let mut changes = Vec::new();
        for claim in claims {
            let Some(record) = self.roster.get_mut(&claim.target) else {
                continue;
            };
            // The claim comes from another host, so its values are checked like those of responses.
            let is_valid = claim
                .rate
                .is_none_or(|rate| rate.is_finite() && rate >= 0.0);
            if record.entry.started_ms != claim.started_ms || !is_valid {
                continue;
            }
            let age = Duration::from_millis(claim.age_ms).saturating_add(TRANSFER_MARGIN);
            let change = record.limiter.record_observation(now, claim.rate, age);
            let Some(change) = change else {
                continue;
            };
            if matches!(change, LimitChange::Named(_)) {
                self.start_share(now, &claim.target);
            }
            changes.push((claim.target.clone(), change));
        }
        changes
    }

    /// Moves this host's shares of limits towards what demand calls for. Returns the limits that expired.
    pub fn update_limits(&mut self, now: BootTime) -> LimitChanges {
        let mut changes = Vec::new();
        for limited in self.limited_targets() {
            let holders = self.holders(&limited);
            let is_holder = holders.contains(&self.own_host.host);
            let claims = self.other_claims(now, &holders, &limited);
            let is_any_live = self.fleet.is_any_live(now, &holders);
            let Some(record) = self.roster.get_mut(&limited.target) else {
                continue;
            };
            let share = &mut record.limiter.share;
            if is_holder {
                let wanted = next_fraction(share.fraction(), share.demand(now), &claims);
                share.move_fraction(now, limited.rate, wanted, holders.len());
                continue;
            }
            share.clear(now);
            if let Some(change) = record.limiter.expire(now, is_any_live) {
                changes.push((limited.target, change));
            }
        }
        changes
    }

    /// Lists this host's claims, for the other hosts of its zone.
    pub fn own_limit_claims(&self, now: BootTime) -> Vec<LimitClaim> {
        self.limit_claims(now, |record, holders, _| {
            if holders.contains(&self.own_host.host) {
                Some(own_claim(now, record))
            } else {
                None
            }
        })
    }

    /// Lists the claims of all hosts of this host's zone, for the other zones.
    pub fn zone_limit_claims(&self, now: BootTime) -> Vec<LimitClaim> {
        self.limit_claims(now, |record, holders, limited| {
            let mut sum = self.fleet.local_limit_claims(now, holders, limited);
            if holders.contains(&self.own_host.host) {
                sum.add(&own_claim(now, record));
            }
            (sum.fraction > 0.0).then_some(sum)
        })
    }

    // Lists claims by target. `claims` gets the sum to report, if there are holders to report for.
    fn limit_claims(
        &self,
        now: BootTime,
        claims: impl Fn(&RosterRecord, &BTreeSet<HostId>, &LimitedTarget) -> Option<HolderClaims>,
    ) -> Vec<LimitClaim> {
        let mut reported = Vec::new();
        for record in self.roster.records() {
            let limiter = &record.limiter;
            let sum = limited_target(record).and_then(|limited| {
                let holders = self.holders(&limited);
                claims(record, &holders, &limited)
            });
            let is_news = limiter.rate().is_some() && limiter.age(now) < NEWS_TIME;
            if sum.is_none() && !is_news && !limiter.ended_lately(now) {
                continue;
            }
            let sum = sum.unwrap_or_default();
            reported.push(LimitClaim {
                target: record.entry.name.clone(),
                started_ms: record.entry.started_ms,
                rate: limiter.rate(),
                age_ms: u64::try_from(limiter.age(now).as_millis()).unwrap_or(u64::MAX),
                live_holders: sum.live_holders,
                demand: to_f32(sum.demand),
                fraction: to_f32(sum.fraction),
                reserved: to_f32(sum.reserved),
            });
        }
        reported
    }

    /// Gets the time until this host may send another request to a target that names a limit, and counts
    /// the request as demand. None if it holds no share of the limit.
    pub(super) fn limit_wait(&mut self, now: BootTime, target: &str) -> Option<Duration> {
        let limiter = &mut self.roster.get_mut(target)?.limiter;
        let Some(rate) = limiter.rate() else {
            return Some(Duration::ZERO);
        };
        limiter.share.count_demand(now);
        limiter.share.wait(now, rate)
    }

    /// Takes the token of a request to a target that names a limit.
    pub(super) fn take_limit_token(&mut self, target: &str) {
        let record = self.roster.get_mut(target);
        let Some(record) = record.filter(|record| record.limiter.rate().is_some()) else {
            return;
        };
        record.limiter.share.take();
    }

    /// Takes a token of a target that is warming up. Returns false if this host has none.
    pub(super) fn take_warmup_token(
        &mut self,
        now: BootTime,
        service: &ServicePolicy,
        target: &str,
    ) -> bool {
        let limit = WarmupLimit {
            rate: service.warmup_rate,
            max_per_second: service.warmup_rate * self.bounds.warmup_overage
                + self.bounds.warmup_slack,
        };
        let hosts = self.fleet.host_names(&self.own_host.host);
        let Some(record) = self.roster.get_mut(target) else {
            return false;
        };
        let host = &self.own_host.host;
        record
            .warmup_limiter
            .take(now, &limit, target, host, &hosts)
    }

    // Gives this host its first share: an equal one at most, since the others may not know the limit yet.
    fn start_share(&mut self, now: BootTime, target: &str) {
        let Some(limited) = self.roster.get(target).and_then(limited_target) else {
            return;
        };
        let holders = self.holders(&limited);
        let fraction = if holders.contains(&self.own_host.host) {
            let claims = self.other_claims(now, &holders, &limited);
            let equal = equal_fraction(holders.len());
            fair_fraction(initial_demand(), &claims).min(equal)
        } else {
            0.0
        };
        if let Some(record) = self.roster.get_mut(target) {
            record.limiter.share = TargetShare::new(now, limited.rate, fraction, holders.len());
        }
    }

    fn limited_targets(&self) -> Vec<LimitedTarget> {
        self.roster.records().filter_map(limited_target).collect()
    }

    fn holders(&self, limited: &LimitedTarget) -> BTreeSet<HostId> {
        self.fleet.limit_holders(&self.own_host.host, limited)
    }

    fn other_claims(
        &self,
        now: BootTime,
        holders: &BTreeSet<HostId>,
        limited: &LimitedTarget,
    ) -> HolderClaims {
        let mut claims = self.fleet.local_limit_claims(now, holders, limited);
        claims.add(&self.fleet.remote_limit_claims(now, holders, limited));
        claims
    }
}

fn own_claim(now: BootTime, record: &RosterRecord) -> HolderClaims {
    HolderClaims {
        live_holders: 1,
        demand: record.limiter.share.demand(now),
        fraction: record.limiter.share.fraction(),
        reserved: 0.0,
    }
}

fn limited_target(record: &RosterRecord) -> Option<LimitedTarget> {
    Some(LimitedTarget {
        target: record.entry.name.clone(),
        started_ms: record.entry.started_ms,
        region: record.region.clone(),
        rate: record.limiter.rate()?,
    })
}
