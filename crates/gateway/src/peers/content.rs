//! Content of the messages that this host sends to others.

use super::BeatService;
use crate::{
    crash::ReportScope,
    message::{
        CrashReport, HeartbeatEcho, HostStatus, LimitClaim, OrgUsage, PeerHeartbeat, ZoneDigest,
        to_f32,
    },
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, ServiceId},
};
use fighall_kernel::stage::LifeStage;
use std::{collections::BTreeMap, time::Duration};

/// `HeartbeatReport` is the part of a heartbeat that only hosts of the own zone receive.
#[derive(Clone, Debug, Default)]
pub(super) struct HeartbeatReport {
    usages: Vec<OrgUsage>,
    demands: BTreeMap<ServiceId, Option<f32>>,
    limits: Vec<LimitClaim>,
    crashes: Vec<CrashReport>,
}

impl BeatService {
    pub(super) fn new_report(&self, now: BootTime) -> HeartbeatReport {
        let router = self.router.borrow();
        HeartbeatReport {
            usages: self.own_usages(now),
            demands: to_single(router.own_demands(now)),
            limits: router.own_limit_claims(now),
            crashes: router.crashes.reports(now, ReportScope::Host),
        }
    }

    pub(super) fn new_heartbeat(&self, peer: &str, report: HeartbeatReport) -> PeerHeartbeat {
        let now = boot_time();
        let received = self.received.borrow();
        let echo = received.get(peer).map(|received| HeartbeatEcho {
            incarnation: received.incarnation,
            sent_us: received.sent_us,
            held_us: to_micros(now.saturating_sub(received.received_at)),
        });
        PeerHeartbeat {
            host: self.settings.host.clone(),
            incarnation: *self.incarnation,
            sent_us: to_micros(now),
            echo,
            ready: self.is_serving(now),
            leaving: self.is_leaving(),
            targets_unreachable: self.router.borrow().reach.is_unreachable(),
            copies: self.follower.copy_status(now),
            usages: report.usages,
            demands: report.demands,
            limits: report.limits,
            crashes: report.crashes,
        }
    }

    pub(super) fn new_digest(&self, now: BootTime) -> ZoneDigest {
        let router = self.router.borrow();
        let copies = self.follower.copy_status(now);
        let mut hosts = router.fleet.host_statuses(now);
        hosts.push(HostStatus {
            host: self.settings.host.clone(),
            incarnation: *self.incarnation,
            age_ms: 0,
            ready: self.is_serving(now),
            leaving: self.is_leaving(),
            store_unreachable: copies.store_unreachable,
            targets_unreachable: router.reach.is_unreachable(),
        });
        ZoneDigest {
            region: self.settings.region.clone(),
            zone: self.settings.zone.clone(),
            relay: self.settings.host.clone(),
            incarnation: *self.incarnation,
            sent_us: to_micros(now),
            forwarded: false,
            hosts,
            versions: router
                .fleet
                .versions(now, copies)
                .remove(&self.settings.zone)
                .unwrap_or_default(),
            copies,
            usages: self.zone_usages(now),
            demands: to_single(router.zone_demands(now)),
            limits: router.zone_limit_claims(now),
            crashes: router.crashes.reports(now, ReportScope::Zone),
        }
    }

    fn is_serving(&self, now: BootTime) -> bool {
        let revoke = self.router.borrow().bounds.revoke;
        let is_fresh = match revoke {
            Some(revoke) => self.policy.borrow().is_fresh(now, revoke),
            None => true,
        };
        let is_running = self.kernel.signal().stage() == LifeStage::Running;
        is_running && self.follower.has_synced() && is_fresh
    }

    fn is_leaving(&self) -> bool {
        self.kernel.signal().stage() > LifeStage::Running
    }

    fn own_usages(&self, now: BootTime) -> Vec<OrgUsage> {
        let usages = self.router.borrow().limiter.usage();
        self.ledger.borrow_mut().host_report(now, &usages)
    }

    fn zone_usages(&self, now: BootTime) -> Vec<OrgUsage> {
        let router = self.router.borrow();
        let demands = router.fleet.local_org_demands(now);
        let usages = router.limiter.usage();
        self.ledger.borrow_mut().zone_report(now, usages, &demands)
    }

    // Tells whether the hosts of this zone have admitted so much that the other zones have to know at once.
    pub(super) fn has_urgent_digest(&self) -> bool {
        let router = self.router.borrow();
        let zone_hosts = router.fleet.local_peers().count() + 1;
        self.ledger.borrow().undigested().any(|(name, unreported)| {
            let limit = self.limit_of(name);
            limit.is_some_and(|limit| router.limiter.is_report_due(&limit, unreported, zone_hosts))
        })
    }

    pub(super) fn has_urgent_report(&self) -> bool {
        let router = self.router.borrow();
        router.limiter.needs_report(|name| self.limit_of(name))
    }
}

fn to_single(demands: BTreeMap<ServiceId, Option<f64>>) -> BTreeMap<ServiceId, Option<f32>> {
    let demands = demands.into_iter();
    demands
        .map(|(service, demand)| (service, demand.map(to_f32)))
        .collect()
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
