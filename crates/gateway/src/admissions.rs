//! Admissions of organisations that this host reports: its own to the hosts of its availability zone, those of
//! the zone to the other zones.
//!
//! Counters start with the process that counts them, and a new relay counts from its own start. A receiver
//! without an earlier value of a counter uses the admissions of the last intervals instead, as far back as the
//! sender's last message, so that a change of the sender loses none.

use crate::{
    fleet::Admissions,
    message::{OrgUsage, to_f32},
};
use fighall_core::ids::{BootTime, OrgId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Interval of [`OrgUsage::recent`].
pub const RECENT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of these intervals: they cover the time after which the hosts of a zone without messages count as
/// dead.
const RECENT_INTERVALS: u32 = 18;
/// Time for which an organisation's usage is repeated after its last change, in case a message was lost.
const USAGE_REPEAT_TIME: Duration = Duration::from_millis(1_000);
/// Time after the first report of a counter in which there may be receivers without an earlier value.
const NEW_COUNTER_TIME: Duration = Duration::from_millis(2_000);

// Values of one counter, the latest last.
#[derive(Debug, Default)]
struct CounterHistory {
    samples: VecDeque<(BootTime, u64)>,
    changed_at: BootTime,
    // First report since the counter's last silence; none before it.
    reported_since: Option<BootTime>,
}

/// `AdmissionLedger` holds the admissions that this host and the other hosts of its zone have reported.
#[derive(Debug, Default)]
pub struct AdmissionLedger {
    own: BTreeMap<OrgId, CounterHistory>,
    zone: BTreeMap<OrgId, CounterHistory>,
    // Admissions that the other hosts of the zone have reported since this host's start.
    peer_admissions: BTreeMap<OrgId, u64>,
    // Of these, the ones that no digest of this host has reported.
    undigested: BTreeMap<OrgId, u64>,
}

impl AdmissionLedger {
    /// Counts admissions that another host of the zone reports.
    pub fn count_peers(&mut self, admissions: Admissions) {
        for (organisation, count) in admissions {
            let undigested = self.undigested.entry(organisation.clone()).or_default();
            *undigested = undigested.saturating_add(count);
            let total = self.peer_admissions.entry(organisation).or_default();
            *total = total.saturating_add(count);
        }
    }

    /// Selects from this host's `usages` those to report to the hosts of the zone.
    pub fn host_report(&mut self, now: BootTime, usages: &[OrgUsage]) -> Vec<OrgUsage> {
        select_changed(now, usages, &mut self.own)
    }

    /// Records the counters of the zone: this host's `usages` and what its other hosts have reported. A host
    /// that becomes the relay reports what was admitted before.
    pub fn record_zone(&mut self, now: BootTime, usages: &[OrgUsage]) {
        for usage in usages {
            let admitted = self.zone_admitted(usage);
            let history = self.zone.entry(usage.organisation.clone()).or_default();
            history.record(now, admitted);
        }
    }

    /// Prepares for the first digest of this host as the relay: its receivers have no earlier values of its counters.
    pub fn become_relay(&mut self) {
        for history in self.zone.values_mut() {
            history.reported_since = None;
        }
    }

    /// Adds what the other hosts of the zone have reported to this host's `usages`, and selects those to report
    /// to other zones. `demands` are the requests per second at the other hosts of the zone.
    pub fn zone_report(
        &mut self,
        now: BootTime,
        mut usages: Vec<OrgUsage>,
        demands: &BTreeMap<OrgId, f64>,
    ) -> Vec<OrgUsage> {
        self.undigested.clear();
        for usage in &mut usages {
            usage.admitted = self.zone_admitted(usage);
            let demand = demands.get(&usage.organisation).copied().unwrap_or(0.0);
            usage.demand += to_f32(demand);
        }
        select_changed(now, &usages, &mut self.zone)
    }

    fn zone_admitted(&self, usage: &OrgUsage) -> u64 {
        let admitted = self.peer_admissions.get(&usage.organisation).copied();
        usage.admitted.saturating_add(admitted.unwrap_or(0))
    }

    /// Lists the admissions of other hosts of the zone that no report to other zones contains yet.
    pub fn undigested(&self) -> impl Iterator<Item = (&OrgId, u64)> {
        let undigested = self.undigested.iter();
        undigested.map(|(organisation, count)| (organisation, *count))
    }
}

impl CounterHistory {
    fn record(&mut self, now: BootTime, value: u64) {
        let last_value = self.samples.back().map_or(0, |(_, last_value)| *last_value);
        if value != last_value {
            self.changed_at = now;
        }
        let oldest = now.saturating_sub(RECENT_INTERVAL * RECENT_INTERVALS);
        // One sample at or before the oldest interval is kept.
        while self.samples.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.samples.pop_front();
        }
        if self.samples.is_empty() || value != last_value {
            self.samples.push_back((now, value));
        }
    }

    // Gets the value at a time; 0 before the first one, since the counter started at 0.
    fn value_at(&self, at: BootTime) -> u64 {
        let earlier = self.samples.iter().rev().find(|(time, _)| *time <= at);
        earlier.map_or(0, |(_, value)| *value)
    }

    fn recent(&self, now: BootTime) -> Vec<u64> {
        let value = self.samples.back().map_or(0, |(_, value)| *value);
        let mut recent = Vec::new();
        for interval in 1..=RECENT_INTERVALS {
            let before = self.value_at(now.saturating_sub(RECENT_INTERVAL * interval));
            recent.push(value.saturating_sub(before));
        }
        while recent.len() >= 2 && recent[recent.len() - 1] == recent[recent.len() - 2] {
            recent.pop();
        }
        recent
    }
}

/// Gets the admissions of a counter since its `previous` value, or within the last `gap` without one.
pub fn new_admissions(previous: Option<u64>, usage: &OrgUsage, gap: Duration) -> u64 {
    if let Some(previous) = previous {
        return usage.admitted.saturating_sub(previous);
    }
    let intervals = gap.as_nanos().div_ceil(RECENT_INTERVAL.as_nanos());
    let index = usize::try_from(intervals.saturating_sub(1)).unwrap_or(usize::MAX);
    let within = usage.recent.get(index).or(usage.recent.last());
    within.copied().unwrap_or(0)
}

// Selects the usages whose admissions changed lately; the values of the others have been reported.
fn select_changed(
    now: BootTime,
    usages: &[OrgUsage],
    histories: &mut BTreeMap<OrgId, CounterHistory>,
) -> Vec<OrgUsage> {
    let mut selected = Vec::new();
    for usage in usages {
        let history = histories.entry(usage.organisation.clone()).or_default();
        history.record(now, usage.admitted);
        if usage.admitted == 0 || now.saturating_sub(history.changed_at) >= USAGE_REPEAT_TIME {
            history.reported_since = None;
            continue;
        }
        let reported_since = *history.reported_since.get_or_insert(now);
        let is_new = now.saturating_sub(reported_since) < NEW_COUNTER_TIME;
        selected.push(OrgUsage {
            recent: if is_new {
                history.recent(now)
            } else {
                Vec::new()
            },
            ..usage.clone()
        });
    }
    selected
}
