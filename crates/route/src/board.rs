//! What a host knows of each target: its own requests, its peers' reports, the target's own load
//! report, health, drains and slow start, in this order of trust.

use crate::{health::TargetHealth, ramp::SlowStart};
use fighall_config::service::{ServiceDocument, ServiceTarget};
use fighall_core::{
    ids::{BootTime, HostId, ServiceId, TargetId},
    message, tag, value,
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};

/// Age beyond which a report of a peer or a target counts for nothing.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.05;

tag! {
    /// `AbsenceCause` is why a target gets no new work although it may be healthy.
    pub enum AbsenceCause {
        /// An operator drains it, its zone or its region.
        Drained,
        /// The platform's list names it as leaving.
        Leaving,
    }
}

message! {
    /// `TargetReport` is one host's use of a target, as peers are told.
    pub struct TargetReport {
        /// Target.
        pub target: TargetId,
        /// Requests of the host at the target now.
        pub in_flight: u32,
        /// Whether the host has ejected the target.
        pub ejected: bool,
    }
}

value! {
    /// `SeenReport` is a peer's report with the time it came.
    pub struct SeenReport {
        report: TargetReport,
        at: BootTime,
    }
}

value! {
    /// `LoadReport` is the load that a target says it has, with the time it came.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Requests at the target, by its own count.
        pub in_flight: u32,
        /// When it came.
        pub at: BootTime,
    }
}

value! {
    /// `TargetRecord` is everything known of one target.
    pub struct TargetRecord {
        /// Its configuration.
        pub target: ServiceTarget,
        /// Its service.
        pub service: ServiceId,
        /// Requests of this host at the target.
        pub in_flight: u32,
        /// Health.
        pub health: TargetHealth,
        /// Slow start.
        pub ramp: SlowStart,
        /// Why it gets no new work, if so.
        pub absence: Option<AbsenceCause>,
        /// Load by its own report.
        pub load: Option<LoadReport>,
        /// Moving average of its latency, in seconds.
        pub latency: Option<f64>,
        reports: BTreeMap<HostId, SeenReport>,
        slow_start: Duration,
    }
}

impl TargetRecord {
    /// Gets the requests at the target: the own count, the peers' reports and, where it says
    /// more, the target's own report, while these are fresh.
    pub fn busy(&self, now: BootTime) -> u32 {
        let mut busy = self.in_flight;
        for seen in self.reports.values() {
            if now.saturating_sub(seen.at) <= REPORT_AGE {
                busy += seen.report.in_flight;
            }
        }
        let fresh = self
            .load
            .filter(|load| now.saturating_sub(load.at) <= REPORT_AGE);
        // A report can mislead both ways. It only ever adds, and at most the target's slots.
        let reported = fresh.map_or(0, |load| load.in_flight.min(self.target.slots));
        busy.max(reported)
    }

    /// Notes a latency.
    pub fn note_latency(&mut self, latency: Duration) {
        let seconds = latency.as_secs_f64();
        let average = self.latency.unwrap_or(seconds);
        self.latency = Some(average + (seconds - average) * LATENCY_WEIGHT);
        self.ramp.note_latency(latency);
    }

    /// Notes that the target came back, so that its slow start begins again.
    pub fn restart_ramp(&mut self, now: BootTime) {
        self.ramp = SlowStart::new(now, self.slow_start);
    }
}

/// `TargetBoard` holds the records of all targets.
#[derive(Debug, Default)]
pub struct TargetBoard {
    records: BTreeMap<TargetId, TargetRecord>,
    services: BTreeMap<ServiceId, Rc<Vec<TargetId>>>,
    started: bool,
}

impl TargetBoard {
    /// Creates an empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a configuration. Targets that stay keep what is known of them; new ones start
    /// slowly, except those of the first configuration.
    pub fn set_services(&mut self, now: BootTime, services: &BTreeMap<ServiceId, ServiceDocument>) {
        let mut old = std::mem::take(&mut self.records);
        self.services.clear();
        for service in services.values() {
            let slow_start = Duration::from_millis(service.slow_start_ms);
            let mut names = Vec::new();
            for target in &service.targets {
                names.push(target.name.clone());
                let known = old.remove(&target.name);
                let known = known.filter(|known| known.target.address == target.address);
                let record = match known {
                    Some(mut record) => {
                        record.target = target.clone();
                        record.slow_start = slow_start;
                        record
                    }
                    None => self.new_record(now, service, target, slow_start),
                };
                self.records.insert(target.name.clone(), record);
            }
            self.services.insert(service.name.clone(), Rc::new(names));
        }
        self.started = true;
    }

    fn new_record(
        &self,
        now: BootTime,
        service: &ServiceDocument,
        target: &ServiceTarget,
        slow_start: Duration,
    ) -> TargetRecord {
        let ramp = if self.started {
            SlowStart::new(now, slow_start)
        } else {
            SlowStart::with_full_share(now)
        };
        TargetRecord {
            target: target.clone(),
            service: service.name.clone(),
            in_flight: 0,
            health: TargetHealth::default(),
            ramp,
            absence: None,
            load: None,
            latency: None,
            reports: BTreeMap::new(),
            slow_start,
        }
    }

    /// Gets a target's record.
    pub fn get(&self, target: &str) -> Option<&TargetRecord> {
        self.records.get(target)
    }

    /// Gets a target's record for change.
    pub fn get_mut(&mut self, target: &str) -> Option<&mut TargetRecord> {
        self.records.get_mut(target)
    }

    /// Gets the names of a service's targets.
    pub fn targets_of(&self, service: &str) -> &[TargetId] {
        self.services
            .get(service)
            .map_or(&[], |names| names.as_slice())
    }

    /// Gets the names of a service's targets for use while the board changes.
    pub fn shared_targets_of(&self, service: &str) -> Rc<Vec<TargetId>> {
        self.services.get(service).cloned().unwrap_or_default()
    }

    /// Gets all records in the order of their names.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Sets which targets get no new work. A target that returns starts slowly. Lists the targets
    /// whose state changed.
    pub fn set_absences(
        &mut self,
        now: BootTime,
        absence: impl Fn(&ServiceTarget) -> Option<AbsenceCause>,
    ) -> Vec<TargetId> {
        let mut changed = Vec::new();
        for (name, record) in &mut self.records {
            let cause = absence(&record.target);
            if cause == record.absence {
                continue;
            }
            if cause.is_none() {
                record.restart_ramp(now);
            }
            record.absence = cause;
            changed.push(name.clone());
        }
        changed
    }

    /// Takes in a peer's reports in place of its last ones; a target not named is not in use there.
    pub fn set_reports(&mut self, now: BootTime, host: &str, reports: &[TargetReport]) {
        self.drop_reports(host);
        for report in reports {
            let Some(record) = self.records.get_mut(&report.target) else {
                continue;
            };
            let seen = SeenReport {
                report: report.clone(),
                at: now,
            };
            record.reports.insert(host.to_owned(), seen);
        }
    }

    /// Forgets the reports of a host that is gone.
    pub fn drop_reports(&mut self, host: &str) {
        for record in self.records.values_mut() {
            record.reports.remove(host);
        }
    }

    /// Creates this host's reports of the targets that it uses or has ejected.
    pub fn reports(&self, now: BootTime) -> Vec<TargetReport> {
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

    /// Gets the usual latency of a service's targets: the median of their averages.
    pub fn usual_latency(&self, service: &str) -> Option<Duration> {
        let mut latencies = Vec::new();
        for name in self.targets_of(service) {
            let record = self.records.get(name);
            let settled = record.filter(|record| record.ramp.is_over());
            latencies.extend(settled.and_then(|record| record.latency));
        }
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get(latencies.len() / 2)?;
        Some(Duration::from_secs_f64(*median))
    }
}
