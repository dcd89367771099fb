//! Whether this host, rather than its targets, is cut off: conclusions from failed connections and probes. No I/O;
//! the current time is an argument.

use fighall_core::{
    ids::{BootTime, TargetId},
    tag,
};
use std::{collections::BTreeSet, time::Duration};

/// Number of targets that fail one after the other before others are probed.
const SUSPECT_TARGETS: usize = 2;
/// Rounds of probes in a row that reach a target before the host counts as connected again. Hysteresis keeps a link
/// that flaps from moving callers back and forth.
const RECOVERY_ROUNDS: u32 = 2;
/// Time since a target's response within which kept connections to targets count as live.
const RESPONSE_AGE: Duration = Duration::from_secs(1);

tag! {
    /// `ReachChange` is a change of whether this host reaches targets.
    pub enum ReachChange {
        /// No target can be reached any more.
        Lost,
        /// Targets can be reached again.
        Regained,
    }
}

/// `TargetReach` tracks whether this host can open connections to targets.
#[derive(Debug, Default)]
pub struct TargetReach {
    // Targets to which connections failed since one was opened.
    failed: BTreeSet<TargetId>,
    // Targets that were silent until the deadline, since the last response of any.
    silent: BTreeSet<TargetId>,
    responded_at: Option<BootTime>,
    unreachable: bool,
    reached_rounds: u32,
    // Targets that refused connections while the fault may be this host's.
    held_ends: Vec<(BootTime, TargetId)>,
}

impl TargetReach {
    /// Records that a connection to a target was opened.
    pub fn record_connection(&mut self) {
        self.failed.clear();
        self.silent.clear();
    }

    /// Records a response of a target.
    pub fn record_response(&mut self, now: BootTime) {
        self.responded_at = Some(now);
        self.silent.clear();
    }

    /// Records that no connection to a target could be opened.
    pub fn record_failure(&mut self, target: &str) {
        self.failed.insert(target.to_owned());
    }

    /// Records that a target did not respond to a request in time.
    pub fn record_silence(&mut self, target: &str) {
        self.silent.insert(target.to_owned());
    }

    /// Tells whether connections to other targets have to show where the fault is.
    pub fn needs_probes(&self) -> bool {
        let suspects = self.failed.union(&self.silent).count();
        self.unreachable || suspects >= SUSPECT_TARGETS
    }

    /// Tells whether connections to the target failed lately.
    pub fn has_failed(&self, target: &str) -> bool {
        self.failed.contains(target) || self.silent.contains(target)
    }

    /// Records a round of probes, of which at least one or none `reached` its target.
    pub fn record_probes(&mut self, reached: bool) -> Option<ReachChange> {
        if !reached {
            self.reached_rounds = 0;
            let is_new = !std::mem::replace(&mut self.unreachable, true);
            return is_new.then_some(ReachChange::Lost);
        }
        self.record_connection();
        if !self.unreachable {
            return None;
        }
        self.reached_rounds += 1;
        if self.reached_rounds < RECOVERY_ROUNDS {
            return None;
        }
        self.reached_rounds = 0;
        self.unreachable = false;
        Some(ReachChange::Regained)
    }

    /// Tells whether no target can be reached.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Tells whether a target responded lately, so that kept connections may still work.
    pub fn has_live_connections(&self, now: BootTime) -> bool {
        self.responded_at
            .is_some_and(|at| now.saturating_sub(at) < RESPONSE_AGE)
    }

    /// Holds the end of a target, which a refused connection shows, until probes have told whether the fault is this
    /// host's. Returns false if there is no doubt.
    pub fn hold_end(&mut self, now: BootTime, target: &str) -> bool {
        let is_held = self.needs_probes();
        if is_held {
            self.held_ends.push((now, target.to_owned()));
        }
        is_held
    }

    /// Takes the held ends of targets, after a round of probes or when none is needed. Returns none if the fault is this
    /// host's.
    pub fn take_ends(&mut self) -> Vec<(BootTime, TargetId)> {
        let ends = std::mem::take(&mut self.held_ends);
        if self.unreachable { Vec::new() } else { ends }
    }
}
