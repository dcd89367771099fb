//! Freshness checks: whether this host's copies lag behind its peers', and when it has to query the
//! store because of that.

use super::{CHECK_INTERVAL, FED_AGE, KindState, LONG_WAIT, STALE_AGE, StoreFollower};
use crate::message::FollowedKind;
use fighall_core::{clock::boot_time, ids::BootTime};
use fighall_store::era::era_of;
use std::{rc::Rc, time::Duration};

/// Longest wait of a watch call that confirms the policy. It is well below the revocation bound, and
/// short so that hosts soon notice when the store stops answering a feeder.
const SHORT_WAIT: Duration = Duration::from_millis(700);
/// Time after a failed store call for which a host that has not called again counts as unable to reach
/// the store: while feeders forward changes to it, it does not call and cannot see a recovery.
const AWAY_TIME: Duration = Duration::from_secs(10);

/// Time for which a store call in progress is not restarted: a large policy takes half a second on a
/// slow link, and a restarted call transfers it from the beginning.
const CALL_PATIENCE: Duration = Duration::from_millis(1_000);

impl StoreFollower {
    /// Restarts stalled watches, and queries the store when the peers' confirmations of the policy are
    /// too old.
    pub async fn check(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = boot_time();
            self.note_eras(now);
            self.confirm_by_peers(now);
            self.note_away();
            self.note_stale(now);
            for (kind, state) in &self.kinds {
                if self.is_silent(*kind, state, now) {
                    self.kick(state);
                }
            }
        }
    }

    // Peers that watch the store learn of a new era before a host that only receives forwarded changes;
    // the latter then queries the store, the only authority on its era. A peer that has read the same
    // store version but has a later policy in force shows that the store has lost that policy.
    fn note_eras(&self, now: BootTime) {
        let router = self.router.borrow();
        let known = self.copies.latest(FollowedKind::Policy);
        let (mut era, mut number) = (0, 0);
        for copies in router.fleet.copies(now) {
            era = era_of(copies.policy).max(era);
            if copies.policy == known {
                number = copies.policy_number.max(number);
            }
        }
        self.policy.borrow_mut().set_told(number);
        if era <= self.store.era() || era <= self.told_era.replace(era) {
            return;
        }
        if let Some(state) = self.kinds.get(&FollowedKind::Policy) {
            self.kick(state);
        }
    }

    // Only the policy is polled continuously; a hanging watch of another kind goes unnoticed.
    pub(super) fn is_away(&self, now: BootTime) -> bool {
        let state = self.kinds.get(&FollowedKind::Policy);
        let failed_at = state.and_then(|state| state.failed_at.get());
        failed_at.is_some_and(|failed_at| now.saturating_sub(failed_at) < AWAY_TIME)
    }

    pub(super) fn note_away(&self) {
        let away = self.is_away(boot_time());
        self.router.borrow_mut().fleet.set_store_failing(away);
    }

    // A single failed call or interrupted watch does not count as an outage: entries expire only after
    // seconds without the store.
    fn note_stale(&self, now: BootTime) {
        if !self.policy.borrow().is_fresh(now, STALE_AGE) {
            self.router.borrow_mut().roster.record_outage(now);
        }
    }

    fn is_silent(&self, kind: FollowedKind, state: &KindState, now: BootTime) -> bool {
        if !state.listed.get() || !state.waits_long.get() {
            return false;
        }
        // A call in progress will return what is missing, unless its connection is dead.
        let called_at = state.calling_since.get();
        if called_at.is_some_and(|at| now.saturating_sub(at) < CALL_PATIENCE) {
            return false;
        }
        let told = {
            let fleet = &self.router.borrow().fleet;
            match kind {
                FollowedKind::Policy => fleet.latest_version(now, |copies| copies.policy),
                FollowedKind::Targets => fleet.latest_version(now, |copies| copies.targets),
                FollowedKind::Evacuations => fleet.latest_version(now, |copies| copies.evacuations),
                FollowedKind::Hosts => 0,
            }
        };
        if kind == FollowedKind::Policy {
            // Most policies are too large for feeders to forward.
            let stale = !self.policy.borrow().is_fresh(now, STALE_AGE);
            return stale || told > self.copies.latest(kind);
        }
        let (known, told) = if state.misses_changes() {
            (state.complete.get(), told.max(state.told.get()))
        } else {
            (self.copies.latest(kind), told)
        };
        let mut mark = state.behind.get();
        let asks = mark.update(now, known, told, state.failed_at.get().is_some());
        state.behind.set(mark);
        asks
    }

    fn confirm_by_peers(&self, now: BootTime) {
        let version = self.copies.latest(FollowedKind::Policy);
        let confirmed = self.router.borrow().fleet.confirmed_at(now, version);
        if let Some(confirmed) = confirmed {
            self.policy.borrow_mut().confirm(confirmed);
        }
    }

    // The feeders of a region confirm the policy for the others. A host without feeders has to find out
    // at once whether the store is unreachable: until then it keeps targets that are no longer listed.
    pub(super) fn wait(&self, kind: FollowedKind, state: &KindState) -> Duration {
        if kind != FollowedKind::Policy {
            return LONG_WAIT;
        }
        let now = boot_time();
        if self.is_fed(now) {
            return LONG_WAIT;
        }
        let answered_at = state.answered_at.get();
        if answered_at.is_some_and(|at| now.saturating_sub(at) < FED_AGE) {
            SHORT_WAIT
        } else {
            Duration::ZERO
        }
    }
}
