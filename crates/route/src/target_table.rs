//! State of each target as this host knows it. The sources, from the most to the least trusted:
//! this host's own requests, its peers' reports, the target's own load report, health, drains and
//! slow start.

use crate::{health::TargetHealth, ramp::SlowStart};
use fighall_config::service::{ServiceDocument, ServiceTarget};
use fighall_core::{
    ids::{BootTime, HostId, ServiceId, TargetId},
    message, tag, value,
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Age beyond which a report of a peer or a target is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);
/// Weight of a new sample in the exponentially weighted moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

tag! {
    /// `DrainCause` is the reason why a target gets no new requests although it may be healthy.
    pub enum DrainCause {
        /// An operator drains the target, its zone or its region.
        Drained,
        /// The platform's list marks the target as leaving.
        Leaving,
    }
}

message! {
    /// `TargetReport` is one host's use of a target, as sent to its peers.
    pub struct TargetReport {
        /// Name of the target.
        pub target: TargetId,
        /// Requests that the host has in flight at the target.
        pub in_flight: u32,
        /// Whether the host has ejected the target.
        pub ejected: bool,
    }
}

value! {
    /// `PeerReport` is a peer's report with its time of receipt.
    pub struct PeerReport {
        report: TargetReport,
        received_at: BootTime,
    }
}

value! {
    /// `LoadReport` is the load that a target reports for itself, with the time of receipt.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Requests in flight by the target's own count.
        pub in_flight: u32,
        /// Time of receipt.
        pub received_at: BootTime,
    }
}

value! {
    /// `TargetRecord` is the state of one target.
    pub struct TargetRecord {
        /// Configuration of the target.
        pub target: ServiceTarget,
        /// Service that the target belongs to.
        pub service: ServiceId,
        /// Requests that this host has in flight at the target.
        pub in_flight: u32,
        /// Health from this host's requests and probes.
        pub health: TargetHealth,
        /// Slow start after the target was added or came back.
        pub ramp: SlowStart,
        /// Reason why the target gets no new requests; none while it takes them.
        pub drain: Option<DrainCause>,
        /// Latest load report of the target; none before the first.
        pub load: Option<LoadReport>,
        /// Moving average of the latency in seconds; none before the first success.
        pub latency: Option<f64>,
        peer_reports: BTreeMap<HostId, PeerReport>,
        slow_start_duration: Duration,
    }
}

impl TargetRecord {
    /// Estimates the requests in flight at the target: this host's count plus those that peers
    /// report, or the target's own report where that is higher. Outdated reports are ignored.
    pub fn estimated_in_flight(&self, now: BootTime) -> u32 {
        let mut in_flight = self.in_flight;
        for peer_report in self.peer_reports.values() {
            if now.saturating_sub(peer_report.received_at) <= MAX_REPORT_AGE {
                in_flight += peer_report.report.in_flight;
            }
        }
        let load = self
            .load
            .filter(|load| now.saturating_sub(load.received_at) <= MAX_REPORT_AGE);
        // A target's report can be wrong in both directions, so it can only raise the estimate, and
        // by no more than the target's slots.
        let reported = load.map_or(0, |load| load.in_flight.min(self.target.slots));
        in_flight.max(reported)
    }

    /// Adds a latency sample to the moving averages of the target and of its slow start.
    pub fn note_latency(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let average = self.latency.unwrap_or(seconds);
        self.latency = Some(average + (seconds - average) * LATENCY_EWMA_WEIGHT);
        self.ramp.note_latency(latency);
    }

    /// Restarts the slow start after the target came back.
    pub fn restart_ramp(&mut self, now: BootTime) {
        self.ramp = SlowStart::new(now, self.slow_start_duration);
    }
}

/// `TargetTable` holds the records of all targets.
#[derive(Debug, Default)]
pub struct TargetTable {
    records: BTreeMap<TargetId, TargetRecord>,
    services: BTreeMap<ServiceId, Rc<Vec<TargetId>>>,
    configured: bool,
}

impl TargetTable {
    /// Creates a table without targets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a configuration. A target whose address stays the same keeps its record. New targets
    /// begin with a slow start, except those of the first configuration.
    pub fn set_services(&mut self, now: BootTime, services: &BTreeMap<ServiceId, ServiceDocument>) {
        let mut previous = std::mem::take(&mut self.records);
        self.services.clear();
        for service in services.values() {
            let slow_start_duration = Duration::from_millis(service.slow_start_ms);
            let mut names = Vec::new();
            for target in &service.targets {
                names.push(target.name.clone());
                let retained = previous.remove(&target.name);
                let retained =
                    retained.filter(|retained| retained.target.address == target.address);
                let record = match retained {
                    Some(mut record) => {
                        record.target = target.clone();
                        record.slow_start_duration = slow_start_duration;
                        record
                    }
                    None => self.new_record(now, service, target, slow_start_duration),
                };
                self.records.insert(target.name.clone(), record);
            }
            self.services.insert(service.name.clone(), Rc::new(names));
        }
        self.configured = true;
    }

    fn new_record(
        &self,
        now: BootTime,
        service: &ServiceDocument,
        target: &ServiceTarget,
        slow_start_duration: Duration,
    ) -> TargetRecord {
        let ramp = if self.configured {
            SlowStart::new(now, slow_start_duration)
        } else {
            SlowStart::completed(now)
        };
        TargetRecord {
            target: target.clone(),
            service: service.name.clone(),
            in_flight: 0,
            health: TargetHealth::default(),
            ramp,
            drain: None,
            load: None,
            latency: None,
            peer_reports: BTreeMap::new(),
            slow_start_duration,
        }
    }

    /// Gets the record of a target; none if the configuration has no such target.
    pub fn get(&self, target: &str) -> Option<&TargetRecord> {
        self.records.get(target)
    }

    /// Gets the mutable record of a target; none if the configuration has no such target.
    pub fn get_mut(&mut self, target: &str) -> Option<&mut TargetRecord> {
        self.records.get_mut(target)
    }

    /// Gets the names of a service's targets; empty for an unknown service.
    pub fn targets_of(&self, service: &str) -> &[TargetId] {
        self.services
            .get(service)
            .map_or(&[], |names| names.as_slice())
    }

    /// Gets the names of a service's targets without borrowing the table, so that it can be changed
    /// meanwhile.
    pub fn shared_targets_of(&self, service: &str) -> Rc<Vec<TargetId>> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Gets all records, sorted by target name.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Sets which targets get no new requests. A target that takes requests again restarts its slow
    /// start. Returns the targets whose state changed.
    pub fn set_drains(
        &mut self,
        now: BootTime,
        drain_cause: impl Fn(&ServiceTarget) -> Option<DrainCause>,
    ) -> Vec<TargetId> {
        let mut changed = Vec::new();
        for (name, record) in &mut self.records {
            let cause = drain_cause(&record.target);
            if cause == record.drain {
                continue;
            }
            if cause.is_none() {
                record.restart_ramp(now);
            }
            record.drain = cause;
            changed.push(name.clone());
        }
        changed
    }

    /// Replaces the reports of a peer. A target that is missing from `reports` is not in use there.
    pub fn set_peer_reports(&mut self, now: BootTime, host: &str, reports: &[TargetReport]) {
        self.remove_peer_reports(host);
        for report in reports {
            let Some(record) = self.records.get_mut(&report.target) else {
                continue;
            };
            let peer_report = PeerReport {
                report: report.clone(),
                received_at: now,
            };
            record.peer_reports.insert(host.to_owned(), peer_report);
        }
    }

    /// Removes the reports of a peer that has left.
    pub fn remove_peer_reports(&mut self, host: &str) {
        for record in self.records.values_mut() {
            record.peer_reports.remove(host);
        }
    }

    /// Creates this host's reports for its peers: the targets that it uses or has ejected.
    pub fn own_reports(&self, now: BootTime) -> Vec<TargetReport> {
        let mut reports = Vec::new();
        for (name, record) in &self.records {
            let ejected = record.health.is_ejected(now);
            if record.in_flight == 0 && !ejected {
                continue;
            }
            reports.push(TargetReport {
                target: name.clone(),
                in_flight: record.in_flight,
                ejected,
            });
        }
        reports
    }

    /// Gets the median of the average latencies of a service's targets whose slow start is over;
    /// none if no latency is known.
    pub fn median_latency(&self, service: &str) -> Option<Duration> {
        let mut latencies = Vec::new();
        for name in self.targets_of(service) {
            let record = self.records.get(name);
            let ramped = record.filter(|record| record.ramp.is_complete());
            latencies.extend(ramped.and_then(|record| record.latency));
        }
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get(latencies.len() / 2)?;
        Some(Duration::from_secs_f64(*median))
    }
}
