//! Requests that crash the targets that run them.
//!
//! A request is identified by a digest of what its caller can repeat. When a target ends, each request that was
//! running there is a suspect. A suspect whose targets end again and again, and that no target has responded to
//! since, is blocked at all hosts: it is refused until the block expires. Crashes that a blocked request explains
//! do not count against the others that ran beside it.

use crate::message::CrashReport;
use fighall_core::{
    ids::{BootTime, TargetId},
    tag,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Digest of a request: organisation, method, host, path, query and body.
pub type RequestDigest = [u64; 2];
/// Digest of a target's incarnation that ended.
pub type CrashId = u64;

/// Crashes after which a request is blocked, if no other suspect ran beside it at all of them.
const CRASH_LIMIT: usize = 3;
/// Crashes after which a request is blocked in any case.
const MAX_CRASHES: usize = 5;
/// Time between a connection that broke and a refused one at the same target that shows that it has ended.
const CONFIRM_TIME: Duration = Duration::from_secs(2);
/// Time for which a blocked request is refused. The targets may have been repaired by then.
const BLOCK_TIME: Duration = Duration::from_secs(600);
/// Time after the last crash for which a suspect is remembered.
const SUSPECT_TIME: Duration = Duration::from_secs(120);
/// Time for which a request that a target has responded to is no suspect again.
const CLEARED_TIME: Duration = Duration::from_secs(20);
/// Time for which a crash or a response is reported, in case messages are lost.
const REPORT_TIME: Duration = Duration::from_secs(2);
/// Largest number of requests that are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// Largest number of crashes that are remembered for a request.
const MAX_RECORDED_CRASHES: usize = 64;
/// Largest number of requests whose connections broke that are remembered for a target.
const MAX_BROKEN: usize = 64;
/// Largest number of requests in a message.
const MAX_REPORTS: usize = 64;
/// Largest number of crashes of a request in a message.
const MAX_REPORTED_CRASHES: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq)]
enum SuspectState {
    Suspected,
    Blocked(BootTime),
    Cleared(BootTime),
}

#[derive(Debug)]
struct SuspectRequest {
    state: SuspectState,
    crashes: BTreeSet<CrashId>,
    // Latest change that this host observed.
    own_change: Option<BootTime>,
    // Latest change that a host of its zone observed.
    zone_change: Option<BootTime>,
    changed_at: BootTime,
}

#[derive(Debug)]
struct BrokenRequest {
    digest: RequestDigest,
    crash: CrashId,
    at: BootTime,
}

tag! {
    /// `ReportScope` is the part of the fleet whose observations a report holds.
    pub enum ReportScope {
        /// One host.
        Host,
        /// The hosts of an availability zone.
        Zone,
    }
}

// Who observed a change.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Observer {
    OwnHost,
    OwnZone,
    OtherZone,
}

/// `CrashLedger` holds the requests that are suspected of crashing targets.
#[derive(Debug, Default)]
pub struct CrashLedger {
    broken: BTreeMap<TargetId, Vec<BrokenRequest>>,
    suspects: BTreeMap<RequestDigest, SuspectRequest>,
}

impl CrashLedger {
    /// Records that the connection to a target broke while it may have been running a request.
    /// `started_ms` is the start of the target's process.
    pub fn record_broken(
        &mut self,
        now: BootTime,
        target: &str,
        started_ms: Option<u64>,
        digest: RequestDigest,
    ) {
        let broken = self.broken.entry(target.to_owned()).or_default();
        broken.retain(|request| now.saturating_sub(request.at) < CONFIRM_TIME);
        if broken.len() < MAX_BROKEN {
            broken.push(BrokenRequest {
                digest,
                crash: xxh3_64_with_seed(target.as_bytes(), started_ms.unwrap_or(0)),
                at: now,
            });
        }
    }

    /// Records that a target refuses connections: it has ended, and the requests whose connections broke are
    /// suspects. Returns the requests that are blocked now.
    pub fn record_ended(&mut self, now: BootTime, target: &str) -> Vec<RequestDigest> {
        let Some(broken) = self.broken.remove(target) else {
            return Vec::new();
        };
        for request in broken {
            if now.saturating_sub(request.at) < CONFIRM_TIME {
                self.add_crash(now, request.digest, request.crash, Observer::OwnHost);
            }
        }
        self.block_suspects(now)
    }

    /// Records a response of a target to a request that was sent at `sent_at`: it had not ended then.
    pub fn record_alive(&mut self, target: &str, sent_at: BootTime) {
        if let Some(broken) = self.broken.get_mut(target) {
            broken.retain(|request| request.at >= sent_at);
        }
    }

    /// Tells whether there are suspects, so that responses have to be recorded.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Records that a target responded to a request. Returns whether this clears a suspect.
    pub fn record_success(&mut self, now: BootTime, digest: &RequestDigest) -> bool {
        let Some(suspect) = self.suspects.get_mut(digest) else {
            return false;
        };
        if matches!(suspect.state, SuspectState::Cleared(_)) {
            return false;
        }
        suspect.clear(now);
        suspect.record_change(now, Observer::OwnHost);
        true
    }

    /// Gets the time for which a request is refused; none if it is not blocked.
    pub fn block_left(&self, now: BootTime, digest: &RequestDigest) -> Option<Duration> {
        match self.suspects.get(digest)?.state {
            SuspectState::Blocked(at) => (at + BLOCK_TIME).checked_sub(now),
            _ => None,
        }
    }

    /// Gets the number of blocked requests.
    pub fn blocked_count(&self) -> usize {
        let suspects = self.suspects.values();
        suspects.filter(|suspect| suspect.is_blocked()).count()
    }

    /// Lists what is reported to other hosts: all blocks, and what has changed recently at this host or in its
    /// zone.
    pub fn reports(&self, now: BootTime, scope: ReportScope) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (digest, suspect) in &self.suspects {
            let changed_at = match scope {
                ReportScope::Host => suspect.own_change,
                ReportScope::Zone => suspect.zone_change,
            };
            let is_new = changed_at.is_some_and(|at| now.saturating_sub(at) < REPORT_TIME);
            if is_new || suspect.is_blocked() {
                reports.push((changed_at, suspect.report(now, *digest)));
            }
        }
        reports.sort_by_key(|(changed_at, report)| {
            std::cmp::Reverse((report.blocked_ms.is_some(), *changed_at))
        });
        let reports = reports.into_iter().take(MAX_REPORTS);
        reports.map(|(_, report)| report).collect()
    }

    /// Applies the reports of another host of the zone, or of another zone. Returns the requests that are blocked now.
    pub fn apply(
        &mut self,
        now: BootTime,
        reports: &[CrashReport],
        scope: ReportScope,
    ) -> Vec<RequestDigest> {
        let observer = match scope {
            ReportScope::Host => Observer::OwnZone,
            ReportScope::Zone => Observer::OtherZone,
        };
        let mut blocked = Vec::new();
        for report in reports.iter().take(MAX_REPORTS) {
            if let Some(age) = report.cleared_ms {
                self.apply_clear(now, report.digest, age, observer);
                continue;
            }
            for crash in report.crashes.iter().take(MAX_REPORTED_CRASHES) {
                self.add_crash(now, report.digest, *crash, observer);
            }
            if let Some(age) = report.blocked_ms {
                let at = now.saturating_sub(Duration::from_millis(age));
                if self.apply_block(report.digest, at) {
                    blocked.push(report.digest);
                }
            }
        }
        blocked.extend(self.block_suspects(now));
        blocked
    }

    fn apply_clear(
        &mut self,
        now: BootTime,
        digest: RequestDigest,
        age_ms: u64,
        observer: Observer,
    ) {
        let age = Duration::from_millis(age_ms);
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return;
        };
        if age >= CLEARED_TIME || matches!(suspect.state, SuspectState::Cleared(_)) {
            return;
        }
        suspect.clear(now.saturating_sub(age));
        suspect.record_change(now, observer);
    }

    // Returns whether the block is new.
    fn apply_block(&mut self, digest: RequestDigest, at: BootTime) -> bool {
        let Some(suspect) = self.suspects.get_mut(&digest) else {
            return false;
        };
        if suspect.state != SuspectState::Suspected {
            return false;
        }
        suspect.state = SuspectState::Blocked(at);
        true
    }

    fn add_crash(
        &mut self,
        now: BootTime,
        digest: RequestDigest,
        crash: CrashId,
        observer: Observer,
    ) {
        if !self.suspects.contains_key(&digest) && self.suspects.len() >= MAX_SUSPECTS {
            self.forget_oldest();
        }
        let suspect = self.suspects.entry(digest).or_insert(SuspectRequest {
            state: SuspectState::Suspected,
            crashes: BTreeSet::new(),
            own_change: None,
            zone_change: None,
            changed_at: now,
        });
        let is_full = suspect.crashes.len() >= MAX_RECORDED_CRASHES;
        let is_cleared = matches!(suspect.state, SuspectState::Cleared(_));
        if !is_full && !is_cleared && suspect.crashes.insert(crash) {
            suspect.changed_at = now;
            suspect.record_change(now, observer);
        }
    }

    fn forget_oldest(&mut self) {
        let suspects = self.suspects.iter();
        let oldest = suspects.min_by_key(|(_, suspect)| (suspect.is_blocked(), suspect.changed_at));
        if let Some(digest) = oldest.map(|(digest, _)| *digest) {
            self.suspects.remove(&digest);
        }
    }

    // Blocks the suspects whose crashes no other request explains.
    fn block_suspects(&mut self, now: BootTime) -> Vec<RequestDigest> {
        let mut blocked = Vec::new();
        while let Some(digest) = self.next_block() {
            if let Some(suspect) = self.suspects.get_mut(&digest) {
                suspect.state = SuspectState::Blocked(now);
                suspect.changed_at = now;
            }
            blocked.push(digest);
        }
        blocked
    }

    fn next_block(&self) -> Option<RequestDigest> {
        let mut explained: BTreeSet<CrashId> = BTreeSet::new();
        for suspect in self
            .suspects
            .values()
            .filter(|suspect| suspect.is_blocked())
        {
            explained.extend(&suspect.crashes);
        }
        let mut open: Vec<(RequestDigest, BTreeSet<CrashId>)> = Vec::new();
        for (digest, suspect) in &self.suspects {
            if suspect.state == SuspectState::Suspected && suspect.crashes.len() >= CRASH_LIMIT {
                open.push((*digest, &suspect.crashes - &explained));
            }
        }
        open.sort_by_key(|(_, crashes)| std::cmp::Reverse(crashes.len()));
        let (digest, crashes) = open.first()?;
        if crashes.len() < CRASH_LIMIT {
            return None;
        }
        let is_alone = open
            .iter()
            .skip(1)
            .all(|(_, others)| !crashes.is_subset(others));
        (is_alone || crashes.len() >= MAX_CRASHES).then_some(*digest)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: BootTime) {
        self.suspects.retain(|_, suspect| match suspect.state {
            SuspectState::Suspected => now.saturating_sub(suspect.changed_at) < SUSPECT_TIME,
            SuspectState::Blocked(at) => now.saturating_sub(at) < BLOCK_TIME,
            SuspectState::Cleared(at) => now.saturating_sub(at) < CLEARED_TIME,
        });
        self.broken.retain(|_, broken| {
            broken.retain(|request| now.saturating_sub(request.at) < CONFIRM_TIME);
            !broken.is_empty()
        });
    }
}

impl SuspectRequest {
    fn is_blocked(&self) -> bool {
        matches!(self.state, SuspectState::Blocked(_))
    }

    fn record_change(&mut self, now: BootTime, observer: Observer) {
        match observer {
            Observer::OwnHost => {
                self.own_change = Some(now);
                self.zone_change = Some(now);
            }
            Observer::OwnZone => self.zone_change = Some(now),
            Observer::OtherZone => {}
        }
    }

    fn clear(&mut self, at: BootTime) {
        self.state = SuspectState::Cleared(at);
        self.crashes.clear();
        self.changed_at = at;
    }

    fn report(&self, now: BootTime, digest: RequestDigest) -> CrashReport {
        let age = |at: BootTime| u64::try_from(now.saturating_sub(at).as_millis()).ok();
        CrashReport {
            digest,
            crashes: self
                .crashes
                .iter()
                .copied()
                .take(MAX_REPORTED_CRASHES)
                .collect(),
            blocked_ms: match self.state {
                SuspectState::Blocked(at) => age(at),
                _ => None,
            },
            cleared_ms: match self.state {
                SuspectState::Cleared(at) => age(at),
                _ => None,
            },
        }
    }
}
