//! Rollout of policies and settings over the fleet: what the hosts of each availability zone have in force, and
//! when a change has reached all of them. No I/O; the time is an argument.

use crate::message::{CopyStatus, SettingsDigest, ZoneVersions};
use fighall_core::{
    ids::{BootTime, ZoneId},
    value,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Versions in force by availability zone.
pub type FleetVersions = BTreeMap<ZoneId, ZoneVersions>;

/// Summarises what the hosts of a zone report. `highest_policy` is the highest policy number in the fleet that
/// this host is aware of.
pub fn summarise(hosts: &[CopyStatus], highest_policy: u64) -> ZoneVersions {
    let lowest = |version: fn(&CopyStatus) -> u64| hosts.iter().map(version).min().unwrap_or(0);
    let mut versions = ZoneVersions {
        policy: lowest(|copies| copies.policy_number),
        targets: lowest(|copies| copies.targets),
        evacuations: lowest(|copies| copies.evacuations),
        ..ZoneVersions::default()
    };
    for copies in hosts {
        versions.hosts += 1;
        versions.hosts_behind += u32::from(copies.policy_number < highest_policy);
        *versions.settings.entry(copies.settings).or_default() += 1;
    }
    versions
}

value! {
    /// `RolloutSubject` is what is rolled out.
    #[derive(Copy)]
    pub enum RolloutSubject {
        /// The policy of this number, or a later one.
        Policy(u64),
        /// The settings with this digest.
        Settings(SettingsDigest),
    }
}

value! {
    /// `RolloutEvent` is the completion of a rollout.
    pub struct RolloutEvent {
        /// What has been rolled out.
        pub subject: RolloutSubject,
        /// Availability zone whose live hosts all have it in force; none for all zones.
        pub zone: Option<ZoneId>,
        /// Number of these hosts.
        pub hosts: u32,
        /// Time since this host became aware of it.
        pub elapsed: Duration,
    }
}

#[derive(Debug)]
struct Rollout {
    subject: RolloutSubject,
    started_at: BootTime,
    reached_zones: BTreeSet<ZoneId>,
    is_complete: bool,
}

/// `RolloutTracker` follows the latest policy and this host's settings over the fleet.
#[derive(Debug, Default)]
pub struct RolloutTracker {
    policy: Option<Rollout>,
    settings: Option<Rollout>,
}

impl RolloutTracker {
    /// Updates the state with the versions that all zones report, and returns the rollouts that have been
    /// completed since. `own` is what this host has in force.
    pub fn update(
        &mut self,
        now: BootTime,
        own: &CopyStatus,
        fleet: &FleetVersions,
    ) -> Vec<RolloutEvent> {
        let highest = fleet.values().map(|versions| versions.policy).max();
        let highest = highest.unwrap_or(0).max(own.policy_number);
        let mut events = Vec::new();
        let policy = RolloutSubject::Policy(highest);
        events.extend(Rollout::advance(&mut self.policy, now, policy, fleet));
        let settings = RolloutSubject::Settings(own.settings);
        events.extend(Rollout::advance(&mut self.settings, now, settings, fleet));
        events
    }
}

impl Rollout {
    fn advance(
        current: &mut Option<Self>,
        now: BootTime,
        subject: RolloutSubject,
        fleet: &FleetVersions,
    ) -> Vec<RolloutEvent> {
        let rollout = match current {
            Some(rollout) if rollout.subject == subject => rollout,
            _ => current.insert(Self {
                subject,
                started_at: now,
                reached_zones: BTreeSet::new(),
                is_complete: false,
            }),
        };
        let elapsed = now.saturating_sub(rollout.started_at);
        let mut events = Vec::new();
        for (zone, versions) in fleet {
            if has_reached(&subject, versions) && rollout.reached_zones.insert(zone.clone()) {
                events.push(RolloutEvent {
                    subject,
                    zone: Some(zone.clone()),
                    hosts: versions.hosts,
                    elapsed,
                });
            }
        }
        let is_complete = !fleet.is_empty()
            && fleet
                .values()
                .all(|versions| has_reached(&subject, versions));
        if is_complete && !rollout.is_complete {
            rollout.is_complete = true;
            events.push(RolloutEvent {
                subject,
                zone: None,
                hosts: fleet.values().map(|versions| versions.hosts).sum(),
                elapsed,
            });
        }
        events
    }
}

fn has_reached(subject: &RolloutSubject, versions: &ZoneVersions) -> bool {
    match subject {
        RolloutSubject::Policy(number) => *number > 0 && versions.policy >= *number,
        RolloutSubject::Settings(digest) => versions.settings.keys().eq([digest]),
    }
}
