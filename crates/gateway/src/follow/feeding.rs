//! Forwarding of changes within a region.
//!
//! The feeders of a region are the hosts chosen to watch the store. They forward its changes to the other
//! hosts, which make no store calls of their own as long as they hear from a feeder.

use super::{CHECK_INTERVAL, FED_AGE, KindState, SETTLE_TIME, STALE_AGE, StoreFollower};
use crate::message::{FollowedKind, KindChanges};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_store::object::ObjectChange;
use slog::{debug, info};

/// Largest number of bytes for forwarding one policy to all hosts of a region: a fifth of a second on a
/// 10 Mbit/s link. Later messages queue behind it, and leaving targets have to be announced in time.
const POLICY_FEED_LIMIT: usize = 256_000;

impl StoreFollower {
    // Waits while feeders forward changes to this host. It returns at once if nothing has been listed yet
    // or changes were missed. After the start it waits for the feeders' first heartbeats.
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

    // Tells whether this host is no feeder itself and hears from one that the store has answered lately.
    pub(super) fn is_fed(&self, now: BootTime) -> bool {
        let router = self.router.borrow();
        !self.feeds(now)
            && router
                .fleet
                .has_live_watcher(now, &router.own_host.host, FED_AGE)
    }

    /// Takes the changes that have to be forwarded to the other hosts of the region.
    pub fn take_outbox(&self) -> Vec<KindChanges> {
        self.outbox.take()
    }

    /// Applies changes that a feeder forwarded. If earlier ones are missing, the store is queried until
    /// it or another feeder has supplied them.
    pub fn take_fed(&self, fed: KindChanges) {
        let now = boot_time();
        let Some(state) = self.kinds.get(&fed.kind) else {
            return;
        };
        let complete = state.complete.get();
        if !state.listed.get() || fed.version <= complete {
            return;
        }
        // Objects are independent of each other, so a later change applies without the earlier ones.
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
        // Later calls are left to the periodic check, which spaces them: the store may be unreachable
        // for this host.
        if !missed_before {
            self.kick(state);
        }
    }

    // Queues changes for the other hosts of the region. Only feeders do so, or every host that has seen a
    // change would forward it again.
    pub(super) fn hand_on(&self, kind: FollowedKind, version: Version, changes: &[ObjectChange]) {
        let first = changes.iter().map(|change| change.version).min();
        let Some(first) = first.filter(|_| self.feeds(boot_time())) else {
            return;
        };
        let values = changes.iter().filter_map(|change| change.value.as_ref());
        let bytes = values.map(String::len).sum::<usize>()
            * self.router.borrow().fleet.local_peers().count();
        if kind == FollowedKind::Policy && bytes > POLICY_FEED_LIMIT {
            debug!(self.logger, "policy too large to forward"; "bytes" => bytes);
            return;
        }
        self.outbox.borrow_mut().push(KindChanges {
            kind,
            // The other feeder may already have forwarded some of these changes.
            previous: self.copies.latest(kind).min(first.saturating_sub(1)),
            version,
            changes: changes.to_vec(),
        });
    }
}
