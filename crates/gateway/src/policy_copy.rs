//! This host's copy of the traffic policy, and when it was last confirmed as the latest one.

use crate::policy::TrafficPolicy;
use fighall_core::ids::BootTime;
use std::{rc::Rc, time::Duration};

/// `PolicyCopy` holds the policy in force, whose number never decreases within a process.
#[derive(Debug, Default)]
pub struct PolicyCopy {
    policy: Option<Rc<TrafficPolicy>>,
    confirmed_at: Option<BootTime>,
    // Whether the store has a later policy that cannot be decoded.
    undecodable: bool,
    // Whether the store has an older policy than the one in force: it was restored from an older copy.
    reverted: bool,
    // Latest policy number reported by hosts that have read the same store version as this one.
    peer_number: u64,
}

impl PolicyCopy {
    /// Gets the policy in force; none before the first one was received.
    pub fn policy(&self) -> Option<Rc<TrafficPolicy>> {
        self.policy.clone()
    }

    /// Gets the number that the author gave the policy in force; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.policy.as_ref().map_or(0, |policy| policy.version)
    }

    /// Applies the store's latest policy and returns whether it came into force. After an older one the
    /// copy stays unconfirmed until the store has the policy in force, or a later one, again.
    pub fn apply(&mut self, policy: TrafficPolicy) -> bool {
        let current_version = self.policy.as_ref().map(|current| current.version);
        self.reverted = current_version.is_some_and(|current| policy.version < current);
        if current_version.is_some_and(|current| policy.version <= current) {
            return false;
        }
        self.policy = Some(Rc::new(policy));
        self.undecodable = false;
        true
    }

    /// Notes that the store has a later policy that cannot be decoded. The one in force stays but counts
    /// as unconfirmed, because the later one may withdraw keys.
    pub fn note_undecodable(&mut self) {
        self.undecodable = true;
        self.confirmed_at = None;
    }

    /// Sets the latest policy number in force at hosts that have read the same store version. It is above
    /// the number of the store's policy if the store was restored from an older copy.
    pub fn set_peer_number(&mut self, number: u64) {
        self.peer_number = number;
    }

    /// Tells whether another host has a later policy in force that the store no longer has.
    pub fn is_outdated(&self) -> bool {
        self.peer_number > self.number()
    }

    /// Notes that the policy in force was the store's latest at `at`.
    pub fn confirm(&mut self, at: BootTime) {
        if self.undecodable || self.reverted || self.is_outdated() {
            return;
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Gets the time since the latest confirmation; none before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }

    /// Tells whether the policy in force was confirmed within the last `bound`.
    pub fn is_fresh(&self, now: BootTime, bound: Duration) -> bool {
        !self.is_outdated() && self.age(now).is_some_and(|age| age < bound)
    }
}
