//! Versions of the policy, and which of them allow what hosts did with requests on routes that change.

use fighall_core::{
    ids::{BootTime, Version},
    value,
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Time from the acknowledgement of a version until no host may use an older one.
const APPLY: Duration = Duration::from_millis(2_500);
/// Time before a request in which a disturbance of its host or of the store excuses what the host does with it.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from the effect of a version at a host until its process may not use an older one.
const ROLLBACK: Duration = Duration::from_millis(250);

/// Services that may run a request, by path prefix of its route.
pub type ServicesByPrefix = BTreeMap<String, BTreeSet<String>>;

value! {
    /// `PublishedVersion` is one version of the policy.
    pub struct PublishedVersion {
        /// Version.
        pub version: Version,
        /// When it was written.
        pub sent_at: BootTime,
        /// When its write was acknowledged.
        pub acknowledged_at: BootTime,
        /// Routes that change from version to version.
        pub routes: ServicesByPrefix,
    }
}

value! {
    /// `RequestHandling` is what a host did with a request.
    pub enum RequestHandling {
        /// A target of this service ran it.
        Run(String),
        /// The host knows no route for it, or no key.
        Unknown,
    }
}

value! {
    /// `RouteProbe` is one request on a route that changes.
    pub struct RouteProbe {
        /// Host, by number.
        pub host: usize,
        /// Number of the host's process.
        pub start: u64,
        /// Path.
        pub path: String,
        /// When it was sent.
        pub sent_at: BootTime,
        /// When it was answered.
        pub ended_at: BootTime,
        /// What the host did with it.
        pub handling: RequestHandling,
    }
}

value! {
    /// `HostDisturbance` is a time in which a host, or all of them, were disturbed.
    pub struct HostDisturbance {
        /// Host, by number; none for a disturbance of the store.
        pub host: Option<usize>,
        /// Start.
        pub from: BootTime,
        /// End.
        pub to: BootTime,
    }
}

/// `VersionLedger` collects versions, probes and disturbances of a run.
#[derive(Debug, Default)]
pub struct VersionLedger {
    versions: RefCell<Vec<PublishedVersion>>,
    probes: RefCell<Vec<RouteProbe>>,
    disturbances: RefCell<Vec<HostDisturbance>>,
}

impl VersionLedger {
    /// Adds a version; they are added in ascending order.
    pub fn add_version(&self, version: PublishedVersion) {
        self.versions.borrow_mut().push(version);
    }

    /// Adds a probe.
    pub fn add_probe(&self, probe: RouteProbe) {
        self.probes.borrow_mut().push(probe);
    }

    /// Adds a disturbance.
    pub fn add_disturbance(&self, disturbance: HostDisturbance) {
        self.disturbances.borrow_mut().push(disturbance);
    }

    /// Gets the number of probes.
    pub fn probe_count(&self) -> usize {
        self.probes.borrow().len()
    }

    /// Lists each probe that only a version allows which its host may no longer have used.
    pub fn findings(&self) -> Vec<String> {
        let versions = self.versions.borrow();
        let mut findings = Vec::new();
        // Oldest version whose effect a process has shown, and when.
        let mut shown: BTreeMap<(usize, u64), (usize, BootTime)> = BTreeMap::new();
        for probe in self.probes.borrow().iter() {
            let allowing: Vec<usize> = (0..versions.len())
                .filter(|index| allows(&versions[*index], probe))
                .collect();
            let (Some(oldest), Some(newest)) = (allowing.first(), allowing.last()) else {
                findings.push(format!("no version allows it: {probe:?}"));
                continue;
            };
            let bound = versions
                .iter()
                .rposition(|version| version.acknowledged_at + APPLY < probe.sent_at);
            if bound.is_some_and(|bound| *newest < bound) && !self.is_excused(probe) {
                let late = &versions[newest + 1];
                findings.push(format!(
                    "only version {} or older allows it, {:?} after version {} was acknowledged: {probe:?}",
                    versions[*newest].version,
                    probe.sent_at.saturating_sub(late.acknowledged_at),
                    late.version,
                ));
            }
            let process = (probe.host, probe.start);
            if let Some((seen, seen_at)) = shown.get(&process)
                && newest < seen
                && probe.sent_at > *seen_at + ROLLBACK
            {
                findings.push(format!(
                    "only version {} or older allows it, but its host has used version {}: {probe:?}",
                    versions[*newest].version, versions[*seen].version,
                ));
            }
            let entry = shown.entry(process).or_insert((*oldest, probe.ended_at));
            if *oldest > entry.0 {
                *entry = (*oldest, probe.ended_at);
            }
        }
        findings
    }

    /// Gets the longest time after the acknowledgement of a version at which a host without a disturbance still handled a
    /// request as only an older one allows.
    pub fn latest_use(&self) -> Duration {
        let versions = self.versions.borrow();
        let mut latest = Duration::ZERO;
        for probe in self
            .probes
            .borrow()
            .iter()
            .filter(|probe| !self.is_excused(probe))
        {
            let newest = versions.iter().rposition(|version| allows(version, probe));
            let next = newest.and_then(|newest| versions.get(newest + 1));
            if let Some(next) = next {
                latest = latest.max(probe.sent_at.saturating_sub(next.acknowledged_at));
            }
        }
        latest
    }

    fn is_excused(&self, probe: &RouteProbe) -> bool {
        let from = probe.sent_at.saturating_sub(CONTACT);
        let disturbances = self.disturbances.borrow();
        disturbances.iter().any(|disturbance| {
            let concerns = disturbance.host.is_none_or(|host| host == probe.host);
            concerns && disturbance.from <= probe.ended_at && disturbance.to >= from
        })
    }
}

fn allows(version: &PublishedVersion, probe: &RouteProbe) -> bool {
    if version.sent_at > probe.ended_at {
        return false;
    }
    let prefixes = version.routes.iter();
    let matching = prefixes.filter(|(prefix, _)| probe.path.starts_with(prefix.as_str()));
    let longest = matching.max_by_key(|(prefix, _)| prefix.len());
    match (&probe.handling, longest) {
        (RequestHandling::Run(service), Some((_, services))) => services.contains(service),
        (RequestHandling::Unknown, None) => true,
        _ => false,
    }
}
