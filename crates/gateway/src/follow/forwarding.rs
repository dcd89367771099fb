//! Forwarding of changes within a region.
//!
//! The store watchers of a region are the hosts chosen to watch the store. They forward its changes to the
//! other hosts, which make no store calls of their own as long as a store watcher is live.

use super::{
    CHECK_INTERVAL, KindState, POLICY_STALE_AGE, STARTUP_GRACE, STORE_WATCHER_TIMEOUT,
    StoreFollower,
};
use crate::{
    copies::ChangeSource,
    message::{FollowedKind, KindChanges},
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_store::{
    era::era_of,
    object::{ObjectChange, ObjectList},
};
use slog::info;
use std::time::Duration;

/// Bytes of values in one forwarded message, before compression: a lost one costs few changes.
const MAX_FORWARDED_BYTES: usize = 40_000;
/// Time from a failed call of a host that would watch the store to its next one while others watch it. With a call that
/// fails, it is below the time after a disruption from which the bounds hold again.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after the start for which a host holds changes back: hosts that start together each consider
/// themselves a store watcher until they have received the heartbeats of the others.
const FORWARDING_GRACE: Duration = Duration::from_millis(1_200);

impl StoreFollower {
    // Waits while store watchers forward changes to this host. It returns at once if nothing has been
    // listed yet, the latest list was truncated or changes were missed. After the start it waits for the
    // first heartbeats of the store watchers.
    pub(super) async fn wait_while_store_watchers_forward(
        &self,
        kind: FollowedKind,
        state: &KindState,
    ) {
        while state.listed.get() && !state.wake_requested.replace(false) {
            let woken = state.wake.listen();
            let is_starting = boot_time().saturating_sub(self.started_at) < STARTUP_GRACE;
            let awaits_heartbeats = is_starting && kind != FollowedKind::Policy;
            let can_rely = !state.truncated.get()
                && self.can_rely_on_store_watchers(kind)
                && !self.is_probe_due(kind, state);
            if !(awaits_heartbeats || can_rely) {
                return;
            }
            state.has_long_wait.set(true);
            let _ = compio::time::timeout(CHECK_INTERVAL, woken).await;
        }
    }

    fn can_rely_on_store_watchers(&self, kind: FollowedKind) -> bool {
        let now = boot_time();
        let stale =
            kind == FollowedKind::Policy && !self.policy.borrow().is_fresh(now, POLICY_STALE_AGE);
        !stale && self.has_live_store_watcher(now)
    }

    // Tells whether a host that would watch the store if its last call had not failed has to try again.
    fn is_probe_due(&self, kind: FollowedKind, state: &KindState) -> bool {
        let now = boot_time();
        let failed_at = state.failed_at.get();
        let is_waiting =
            failed_at.is_none_or(|failed_at| now.saturating_sub(failed_at) < PROBE_INTERVAL);
        if kind != FollowedKind::Policy || is_waiting {
            return false;
        }
        let router = self.router.borrow();
        let own = &router.own_host.host;
        let watchers = router.fleet.preferred_store_watchers(now, own);
        watchers.contains(own)
    }

    fn is_store_watcher(&self, now: BootTime) -> bool {
        let router = self.router.borrow();
        let own = &router.own_host.host;
        router.fleet.store_watchers(now, own).contains(own)
    }

    // Tells whether no store watcher is live and this host is one of those that take their place.
    fn is_next_store_watcher(&self, now: BootTime) -> bool {
        if self.has_live_store_watcher(now) {
            return false;
        }
        let router = self.router.borrow();
        let own = &router.own_host.host;
        router.fleet.next_store_watchers(now, own).contains(own)
    }

    // Tells whether this host is no store watcher itself and one is live to which the store has responded
    // lately.
    pub(super) fn has_live_store_watcher(&self, now: BootTime) -> bool {
        let router = self.router.borrow();
        !self.is_store_watcher(now)
            && router.fleet.has_live_store_watcher(
                now,
                &router.own_host.host,
                STORE_WATCHER_TIMEOUT,
            )
    }

    /// Takes the changes that have to be forwarded to the other hosts of the region. Only store watchers have
    /// any, or every host that has seen a change would forward it again; while none is live, those that are next.
    pub fn take_outbox(&self) -> Vec<KindChanges> {
        let now = boot_time();
        if now.saturating_sub(self.started_at) < FORWARDING_GRACE {
            return Vec::new();
        }
        let changes = self.outbox.take();
        if self.is_store_watcher(now) || self.is_next_store_watcher(now) {
            return changes;
        }
        self.record_not_forwarded(&changes);
        Vec::new()
    }

    /// Applies changes that a store watcher forwarded. If earlier ones are missing, the store is queried
    /// until it or another store watcher has supplied them.
    pub fn apply_forwarded(&self, forwarded: KindChanges, source: ChangeSource) {
        let now = boot_time();
        let Some(state) = self.kinds.get(&forwarded.kind) else {
            return;
        };
        let complete_version = state.complete_version.get();
        if !state.listed.get() || forwarded.version <= complete_version {
            self.count_forwarding("ignored");
            return;
        }
        // Objects are independent of each other, so a later change applies without the earlier ones.
        for change in forwarded.changes {
            if !self
                .copies
                .has_applied(forwarded.kind, &change.name, change.version)
            {
                self.copies
                    .apply_change(forwarded.kind, now, change, source);
            }
        }
        let had_missed_changes = state.misses_changes();
        state
            .forwarded_version
            .set(forwarded.version.max(state.forwarded_version.get()));
        if complete_version >= forwarded.previous {
            state.advance_complete(forwarded.version);
            self.count_forwarding("applied");
            return;
        }
        self.count_forwarding("missed");
        info!(self.logger, "changes missed"; "kind" => format!("{:?}", forwarded.kind),
            "complete" => complete_version, "previous" => forwarded.previous, "source" => source.to_string());
        // Later calls are left to the periodic check, which spaces them: the store may be unreachable
        // for this host.
        if !had_missed_changes {
            self.wake(state);
        }
    }

    // Queues changes for the other hosts of the region, but not those that the calls of a start return, which
    // every other host reads itself.
    pub(super) fn queue_changes(
        &self,
        kind: FollowedKind,
        version: Version,
        changes: &[ObjectChange],
    ) {
        let first_version = changes.iter().map(|change| change.version).min();
        let state = self.kinds.get(&kind);
        let Some(state) = state.filter(|state| state.listed.get()) else {
            return;
        };
        let Some(first_version) = first_version else {
            return;
        };
        // The other store watcher may already have forwarded some of these changes.
        let latest = self.latest_forwarded(kind, state);
        let previous = latest.min(first_version.saturating_sub(1));
        let messages = split_changes(kind, previous, version, changes);
        self.outbox.borrow_mut().extend(messages);
    }
}

impl StoreFollower {
    fn latest_forwarded(&self, kind: FollowedKind, state: &KindState) -> Version {
        let latest = self.copies.latest(kind);
        latest.max(state.forwarded_list_version.get())
    }

    // Gets the version at which a message with all that follows continues. Versions after the latest change are those of
    // other kinds, which hosts that receive messages do not count.
    pub(super) fn forwarded_up_to(&self, kind: FollowedKind, state: &KindState) -> Version {
        self.latest_forwarded(kind, state)
            .min(state.complete_version.get())
    }

    // Queues what a later list than the first shows: objects of versions after `previous`, and `removals`. The history
    // with the changes is no longer available to other hosts either.
    pub(super) fn queue_list(
        &self,
        kind: FollowedKind,
        previous: Version,
        list: &ObjectList,
        removals: Vec<ObjectChange>,
    ) {
        let Some(state) = self.kinds.get(&kind) else {
            return;
        };
        let continues = era_of(previous) == era_of(list.version) && list.version > previous;
        if !state.listed.get() || !continues {
            return;
        }
        let mut changes = removals;
        for object in &list.objects {
            if object.version > previous {
                changes.push(ObjectChange {
                    name: object.name.clone(),
                    version: object.version,
                    value: Some(object.value.clone()),
                });
            }
        }
        if changes.is_empty() {
            return;
        }
        changes.sort_by_key(|change| change.version);
        state.forwarded_list_version.set(list.version);
        let messages = split_changes(kind, previous, list.version, &changes);
        self.outbox.borrow_mut().extend(messages);
    }
}

// Splits changes into messages of limited size, each of which continues where the one before ends.
fn split_changes(
    kind: FollowedKind,
    previous: Version,
    version: Version,
    changes: &[ObjectChange],
) -> Vec<KindChanges> {
    let mut messages = Vec::new();
    let mut message = KindChanges {
        kind,
        previous,
        version,
        changes: Vec::new(),
        to_forward: false,
    };
    let mut bytes = 0;
    for change in changes {
        let change_bytes = change.value.as_ref().map_or(0, String::len);
        if !message.changes.is_empty() && bytes + change_bytes > MAX_FORWARDED_BYTES {
            let last_version = message.changes.last().map_or(previous, |last| last.version);
            let next = KindChanges {
                previous: last_version,
                changes: Vec::new(),
                ..message.clone()
            };
            message.version = last_version;
            messages.push(std::mem::replace(&mut message, next));
            bytes = 0;
        }
        bytes += change_bytes;
        message.changes.push(change.clone());
    }
    messages.push(message);
    messages
}
