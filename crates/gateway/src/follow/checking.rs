//! How fresh this host's copies are, and when it asks the store because of it.

use super::{CHECK_INTERVAL, FED_AGE, KindState, LONG_WAIT, STALE_AGE, StoreFollower};
use crate::message::FollowedKind;
use fighall_core::{clock::boot_time, ids::BootTime};
use fighall_store::era::era_of;
use std::{rc::Rc, time::Duration};

/// Wait of the watch that confirms the policy: well below the time to revocation, and short, so that
/// hosts notice soon that the store answers a feeder no longer.
const SHORT_WAIT: Duration = Duration::from_millis(700);
/// Time after a failed call for which a host that has not called again counts as turned away: a host
/// that is fed by others does not find out that it no longer is.
const AWAY_TIME: Duration = Duration::from_secs(10);

/// Time for which a call that is under way is left alone: a large policy takes half a second on a slow
/// link, and a call that is begun anew starts over.
const CALL_PATIENCE: Duration = Duration::from_millis(1_000);

impl StoreFollower {
    /// Restarts watches that went silent, and asks the store where the peers' confirmations of the
    /// policy do not suffice.
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

    // Others learn of a new era sooner than a host that is fed; the store itself has to tell it. Those that
    // have read the same version of the store, but have a later policy in force, know what it has lost.
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

    // Only the policy is asked for all the time: other watches may hang without a sign.
    pub(super) fn is_away(&self, now: BootTime) -> bool {
        let state = self.kinds.get(&FollowedKind::Policy);
        let failed_at = state.and_then(|state| state.failed_at.get());
        failed_at.is_some_and(|failed_at| now.saturating_sub(failed_at) < AWAY_TIME)
    }

    pub(super) fn note_away(&self) {
        let away = self.is_away(boot_time());
        self.router.borrow_mut().fleet.set_store_failing(away);
    }

    // A single failed call, or a watch that was cut, is no sign of absence: entries lapse only after
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
        // A call under way brings what is missing, unless its connection is dead.
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
            // Policies are mostly too large for feeders to hand them on.
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

    // The feeders of a region confirm the policy for the others. A host without any has to know at once
    // whether the store is away: until then it does not take missing entries for gone.
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
