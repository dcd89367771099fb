//! Feeders of a region: the hosts that watch the store hand changes on, and the others rest.

use super::{CHECK_INTERVAL, FED_AGE, KindState, SETTLE_TIME, STALE_AGE, StoreFollower};
use crate::message::{FollowedKind, KindChanges};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_store::object::ObjectChange;
use slog::{debug, info};

/// Bytes that handing one policy on to all hosts of a region may take: a fifth of a second on a link of
/// 10 Mbit/s. What follows waits as long, and leaving targets have to be told in time.
const POLICY_FEED_LIMIT: usize = 256_000;

impl StoreFollower {
    // A host that its region's feeders tell of changes does not call the store itself, unless it has
    // nothing yet or missed some. At its start it waits for their beats.
    pub(super) async fn rest_while_fed(&self, kind: FollowedKind, state: &KindState) {
        while state.listed.get() && !state.kicked.replace(false) {
            let kicked = state.kick.listen();
            let settling = boot_time().saturating_sub(self.started_at) < SETTLE_TIME;
            let waits = settling && kind != FollowedKind::Policy;
            if !waits && !self.may_rest(kind) {
                return;
            }
            state.waits_long.set(true);
            let _ = compio::time::timeout(CHECK_INTERVAL, kicked).await;
        }
    }

    fn may_rest(&self, kind: FollowedKind) -> bool {
        let now = boot_time();
        let stale = kind == FollowedKind::Policy && !self.policy.borrow().is_fresh(now, STALE_AGE);
        !stale && self.is_fed(now)
    }

    fn feeds(&self, now: BootTime) -> bool {
        let router = self.router.borrow();
        let own = &router.own_host.host;
        router.fleet.store_watchers(now, own).contains(own)
    }

    // Whether others feed this host, and the store answers them.
    pub(super) fn is_fed(&self, now: BootTime) -> bool {
        let router = self.router.borrow();
        !self.feeds(now)
            && router
                .fleet
                .has_live_watcher(now, &router.own_host.host, FED_AGE)
    }

    /// Takes the changes that are to be handed on to the other hosts of the region.
    pub fn take_outbox(&self) -> Vec<KindChanges> {
        self.outbox.take()
    }

    /// Takes in changes that a feeder handed on. Where some are missing before them, the store is
    /// asked until it, or another feeder, has told them.
    pub fn take_fed(&self, fed: KindChanges) {
        let now = boot_time();
        let Some(state) = self.kinds.get(&fed.kind) else {
            return;
        };
        let complete = state.complete.get();
        if !state.listed.get() || fed.version <= complete {
            return;
        }
        // Objects do not depend on each other: a later change is taken in without an earlier one.
        for change in fed.changes {
            if !self.copies.knows(fed.kind, &change.name, change.version) {
                self.copies.take_change(fed.kind, now, change);
            }
        }
        let missed_before = state.misses_changes();
        state.told.set(fed.version.max(state.told.get()));
        if complete >= fed.previous {
            state.note_complete(fed.version);
            return;
        }
        info!(self.logger, "changes missed"; "kind" => format!("{:?}", fed.kind),
            "complete" => complete, "previous" => fed.previous);
        // Further calls are spaced out: the store may turn this host away.
        if !missed_before {
            self.kick(state);
        }
    }

    // Hosts that have seen the same changes do not hand them on twice.
    pub(super) fn hand_on(&self, kind: FollowedKind, version: Version, changes: &[ObjectChange]) {
        let first = changes.iter().map(|change| change.version).min();
        let Some(first) = first.filter(|_| self.feeds(boot_time())) else {
            return;
        };
        let values = changes.iter().filter_map(|change| change.value.as_ref());
        let bytes = values.map(String::len).sum::<usize>()
            * self.router.borrow().fleet.local_peers().count();
        if kind == FollowedKind::Policy && bytes > POLICY_FEED_LIMIT {
            debug!(self.logger, "policy too large to hand on"; "bytes" => bytes);
            return;
        }
        self.outbox.borrow_mut().push(KindChanges {
            kind,
            // The other feeder may have told of some of these changes already.
            previous: self.copies.latest(kind).min(first.saturating_sub(1)),
            version,
            changes: changes.to_vec(),
        });
    }
}
