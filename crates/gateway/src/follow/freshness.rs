//! Freshness checks: whether this host's copies lag behind its peers', and when it has to query the
//! store because of that.

use super::{
    CHECK_INTERVAL, KindState, LONG_WATCH_WAIT, POLICY_STALE_AGE, STORE_WATCHER_TIMEOUT,
    StoreFollower,
};
use crate::message::FollowedKind;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_store::era::era_of;
use slog::info;
use std::{rc::Rc, time::Duration};

/// Longest wait of a watch call that confirms the policy. It is well below the revocation bound, and short
/// so that hosts soon notice when the store stops responding to a store watcher.
const SHORT_WATCH_WAIT: Duration = Duration::from_millis(700);
/// Time after a failed store call for which a host that has not called again counts as unable to reach the
/// store: while store watchers forward changes to it, it does not call and cannot see a recovery.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(10);

/// Age of the latest policy confirmation that shows an outage of the store.
const OUTAGE_AGE: Duration = Duration::from_millis(2_200);
/// Shortest time between a failed call of a kind and the next one that a missed change causes. It is well
/// below the drain bound, within which a host has to catch up once the store responds again.
const FAILED_CALL_SPACING: Duration = Duration::from_millis(800);
/// Time from the check that finds a copy behind the store to the end of its use: the check's interval, a call on a
/// new connection and the forwarding within the region.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_000);
/// Time within which every host is aware of the registered hosts: that in which the directory drops one.
const HOSTS_BOUND: Duration = Duration::from_secs(6);
/// Time for which a store call in progress is not restarted: a large policy takes half a second on a
/// slow link, and a restarted call transfers it from the beginning.
const CALL_GRACE: Duration = Duration::from_millis(1_000);

impl StoreFollower {
    /// Restarts stalled watches, and queries the store when the peers' confirmations of the policy are
    /// too old.
    pub async fn run_checks(self: Rc<Self>) {
        loop {
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = boot_time();
            self.compare_with_peers(now);
            self.confirm_from_peers(now);
            self.update_store_unreachable();
            self.note_store_outage(now);
            self.log_store_watchers(now);
            for (kind, state) in &self.kinds {
                if self.is_stalled(*kind, state, now) {
                    self.wake(state);
                }
                self.fetch_missing(*kind, state, now);
            }
        }
    }

    // Peers that watch the store learn of a new era before a host that only receives forwarded changes;
    // the latter then queries the store, the only authority on its era. A peer that has read the same
    // store version, or one of an earlier era, but has a later policy in force shows that the store has
    // lost that policy.
    pub(super) fn compare_with_peers(&self, now: BootTime) {
        let version = self.copies.latest(FollowedKind::Policy);
        let number = self.latest_peer_number(now, version);
        self.policy.borrow_mut().set_peer_number(number);
        let router = self.router.borrow();
        let eras = router.fleet.copies(now).map(|copies| era_of(copies.policy));
        let era = eras.max().unwrap_or(0);
        if era <= self.store.era() || era <= self.reported_era.replace(era) {
            return;
        }
        if let Some(state) = self.kinds.get(&FollowedKind::Policy) {
            self.wake(state);
        }
    }

    // Only the policy is polled continuously; a hanging watch of another kind goes unnoticed.
    pub(super) fn is_store_unreachable(&self, now: BootTime) -> bool {
        let state = self.kinds.get(&FollowedKind::Policy);
        let failed_at = state.and_then(|state| state.failed_at.get());
        failed_at.is_some_and(|failed_at| now.saturating_sub(failed_at) < UNREACHABLE_PERIOD)
    }

    pub(super) fn update_store_unreachable(&self) {
        let unreachable = self.is_store_unreachable(boot_time());
        self.router
            .borrow_mut()
            .fleet
            .set_store_failing(unreachable);
    }

    // A single failed call or interrupted watch does not count as an outage: entries expire only after
    // seconds without the store.
    fn note_store_outage(&self, now: BootTime) {
        if !self.policy.borrow().is_fresh(now, OUTAGE_AGE) {
            self.router.borrow_mut().roster.record_outage(now);
        }
    }

    pub(super) fn note_store_version(&self, version: Version) {
        self.store_version
            .set(version.max(self.store_version.get()));
    }

    // Tells whether the store has moved on since the call in progress was sent, and this was too long ago. Either
    // the changes are of other kinds, or the connection of the call is dead: it would have returned.
    fn is_unconfirmed(&self, kind: FollowedKind, state: &KindState, now: BootTime) -> bool {
        let covered_version = state.complete_version.get().max(state.sent_version.get());
        if self.store_version.get() <= covered_version {
            return false;
        }
        let bounds = self.router.borrow().bounds;
        let bound = match kind {
            FollowedKind::Policy => return false,
            FollowedKind::Targets => bounds.drain,
            FollowedKind::Evacuations => bounds.evacuate,
            FollowedKind::Hosts => HOSTS_BOUND,
        };
        let max_age = bound.saturating_sub(CONFIRMATION_TIME);
        let started_at = state.call_started_at.get();
        started_at.is_some_and(|at| now.saturating_sub(at) >= max_age)
            && !self.has_live_store_watcher(now)
    }

    // Tells whether the watch has to call the store now, because the policy is stale, the copy is not confirmed
    // or peers have had later versions for too long.
    fn is_stalled(&self, kind: FollowedKind, state: &KindState, now: BootTime) -> bool {
        if !state.listed.get() || !state.has_long_wait.get() {
            return false;
        }
        // A store that rejects the calls of this host, or cannot be reached, is not called all the time.
        let failed_at = state.failed_at.get();
        if failed_at.is_some_and(|at| now.saturating_sub(at) < FAILED_CALL_SPACING) {
            return false;
        }
        // A call in progress will return what is missing, unless its connection is dead.
        let started_at = state.call_started_at.get();
        if started_at.is_some_and(|at| now.saturating_sub(at) < CALL_GRACE) {
            return false;
        }
        if self.is_unconfirmed(kind, state, now) {
            info!(self.logger, "copy not confirmed"; "kind" => format!("{kind:?}"),
                "complete" => state.complete_version.get(), "store_version" => self.store_version.get());
            self.store.drop_idle_connections();
            return true;
        }
        if kind == FollowedKind::Policy && !self.policy.borrow().is_fresh(now, POLICY_STALE_AGE) {
            return true;
        }
        let (known_version, latest_version) = self.version_gap(kind, state, now);
        let mut tracker = state.behind.get();
        let is_due = tracker.update(
            now,
            known_version,
            latest_version,
            state.failed_at.get().is_some(),
        );
        state.behind.set(tracker);
        is_due
    }

    // Gets the version up to which this host has a kind, and the latest one that it is aware of.
    pub(super) fn version_gap(
        &self,
        kind: FollowedKind,
        state: &KindState,
        now: BootTime,
    ) -> (Version, Version) {
        let fleet = &self.router.borrow().fleet;
        let peer_version = fleet.latest_version(now, |copies| copies.version_of(kind));
        if state.misses_changes() {
            let latest_version = peer_version.max(state.forwarded_version.get());
            return (state.complete_version.get(), latest_version);
        }
        (self.copies.latest(kind), peer_version)
    }

    fn confirm_from_peers(&self, now: BootTime) {
        let version = self.copies.latest(FollowedKind::Policy);
        let confirmed_at = self.router.borrow().fleet.confirmed_at(now, version);
        if let Some(confirmed_at) = confirmed_at {
            self.policy.borrow_mut().confirm(confirmed_at);
        }
    }

    // The store watchers of a region confirm the policy for the others. A host without a live store
    // watcher has to find out at once whether the store is unreachable: until then it keeps targets that
    // are no longer listed.
    pub(super) fn watch_wait(&self, kind: FollowedKind, state: &KindState) -> Duration {
        let now = boot_time();
        if kind != FollowedKind::Policy {
            return LONG_WATCH_WAIT;
        }
        // The store watchers wait for the next change; this host lacks what has changed by now.
        if self.has_live_store_watcher(now) {
            return Duration::ZERO;
        }
        let succeeded_at = state.succeeded_at.get();
        if succeeded_at.is_some_and(|at| now.saturating_sub(at) < STORE_WATCHER_TIMEOUT) {
            SHORT_WATCH_WAIT
        } else {
            Duration::ZERO
        }
    }
}
