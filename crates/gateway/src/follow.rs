//! Keeps local copies of the store's objects in sync: the traffic policy, the targets, the evacuations
//! and the registered hosts.
//!
//! Each kind of object is listed once and then watched. In each region only a few hosts, the store
//! watchers, watch the store all the time and forward its changes; the others watch it themselves when no
//! store watcher is live or when they find that they have missed a change.

mod call_log;
mod eras;
mod forwarding;
mod freshness;
pub mod peer_copies;
pub mod start_check;

use crate::{
    behind::LagTracker,
    copies::{ChangeSource, StoreCopies},
    dialect::WireDialect,
    message::{CopyStatus, FollowedKind, KindChanges},
    metrics::GatewayMetrics,
    names,
    policy_copy::PolicyCopy,
    registry::HOSTS_KIND,
    router::RequestRouter,
    settings_status::SettingsStatus,
};
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, HostId, Version},
};
use fighall_kernel::{errors::Result as KernelResult, kernel::MicroKernel};
use fighall_store::{
    client::StoreClient,
    era::StoreEra,
    watch::{KindWatch, WatchStep},
};
use futures_util::{FutureExt, pin_mut, select_biased};
use slog::Logger;
use start_check::StartReport;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

/// Age of the latest policy confirmation from which on a host queries the store itself. It covers a short watch wait and
/// two heartbeats, and leaves time for a check and a call on a new connection within the bound on changes.
const POLICY_STALE_AGE: Duration = Duration::from_millis(1_700);
/// Time since the store last responded to any store watcher after which a host watches the store itself.
/// It covers the short watch wait, one heartbeat interval and a round trip to the store, and leaves time
/// to apply what is then read within the drain bound.
const STORE_WATCHER_TIMEOUT: Duration = Duration::from_millis(1_350);
/// Interval at which watches and copies are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of a watch call that need not confirm the policy: long, because every store call is
/// billed.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(20);
/// Time after the start for which a host waits for heartbeats of its region's store watchers before it
/// watches the store itself: two heartbeat intervals.
const STARTUP_GRACE: Duration = Duration::from_millis(800);
/// Divisor of the drain bound that gives the delay between watches of the targets, so that one call
/// returns several changes.
const TARGETS_DELAY_DIVISOR: u32 = 10;
/// Delay before the next watch after changes of hosts; heartbeats report those earlier anyway.
const HOSTS_DELAY: Duration = Duration::from_millis(1_000);
/// Shortest and longest backoff after a failed call.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));
/// Longest backoff after a failed call for a kind other than the policy; the next successful policy call
/// ends it early.
const OTHER_KINDS_MAX_BACKOFF: Duration = Duration::from_secs(4);

/// Kinds of objects that a gateway keeps copies of.
pub const FOLLOWED_KINDS: [FollowedKind; 4] = [
    FollowedKind::Policy,
    FollowedKind::Targets,
    FollowedKind::Evacuations,
    FollowedKind::Hosts,
];

#[derive(Debug, Default)]
struct KindState {
    listed: Cell<bool>,
    // Whether the watch is in a long call or relies on store watchers, so that it may not notice a missed
    // change.
    has_long_wait: Cell<bool>,
    // When the last store call failed; none if it succeeded.
    failed_at: Cell<Option<BootTime>>,
    // When the last successful store call ended.
    succeeded_at: Cell<Option<BootTime>>,
    // Store version that was known when the latest call was sent. The call returns at once if the kind has
    // changed up to it.
    sent_version: Cell<Version>,
    // Since when peers have had a later version.
    behind: Cell<LagTracker>,
    // The same, to fetch it from one of them.
    unfetched: Cell<LagTracker>,
    // Whether a copy is being fetched from another host.
    is_fetching: Cell<bool>,
    // Start of the store call in progress, if any.
    call_started_at: Cell<Option<BootTime>>,
    // Store version up to which this host has all changes.
    complete_version: Cell<Version>,
    // Latest store version that a store watcher has forwarded changes up to; if it is above
    // `complete_version`, this host has missed some.
    forwarded_version: Cell<Version>,
    // Version of the latest list that was forwarded: later messages continue at it.
    forwarded_list_version: Cell<Version>,
    // Whether the latest list lacks objects that the store has. The host lists again after the next watch call.
    truncated: Cell<bool>,
    // Whether the watch has to start again with a list.
    needs_list: Cell<bool>,
    // Whether the watch has to call the store now, even if a store watcher is live.
    wake_requested: Cell<bool>,
    // Wakes the watch task and cancels its call in progress.
    wake: Event,
}

impl KindState {
    fn advance_complete(&self, version: Version) {
        self.complete_version
            .set(version.max(self.complete_version.get()));
    }

    fn misses_changes(&self) -> bool {
        self.forwarded_version.get() > self.complete_version.get()
    }
}

/// `StoreFollower` keeps this host's copies in sync with the store.
pub struct StoreFollower {
    dialect: Rc<WireDialect>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    settings_status: Rc<Cell<SettingsStatus>>,
    store: Rc<StoreClient>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    kinds: BTreeMap<FollowedKind, KindState>,
    copies: StoreCopies,
    // Changes to forward to the other hosts of the region.
    outbox: RefCell<Vec<KindChanges>>,
    started_at: BootTime,
    // Hosts that watch the store for the region, as last logged.
    logged_watchers: RefCell<Vec<HostId>>,
    // Latest store era that other hosts have reported.
    reported_era: Cell<StoreEra>,
    // Latest store version that a call for any kind has returned.
    store_version: Cell<Version>,
    // Whether this host has compared itself with others since it started, and what they reported.
    start_checked: Cell<bool>,
    start_reports: RefCell<Vec<StartReport>>,
}

impl std::fmt::Debug for StoreFollower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreFollower")
            .field("kinds", &self.kinds)
            .finish_non_exhaustive()
    }
}

impl StoreFollower {
    /// Creates a follower with empty copies.
    ///
    /// # Errors
    ///
    /// Returns an error if a required service is not registered.
    pub fn new(kernel: &MicroKernel) -> KernelResult<Self> {
        let mut kinds = BTreeMap::new();
        for kind in FOLLOWED_KINDS {
            kinds.insert(kind, KindState::default());
        }
        Ok(Self {
            dialect: kernel.find(names::DIALECT)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            settings_status: kernel.find(names::SETTINGS_STATUS)?,
            store: kernel.find(names::STORE)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
            kinds,
            copies: StoreCopies::new(kernel)?,
            outbox: RefCell::new(Vec::new()),
            started_at: boot_time(),
            logged_watchers: RefCell::new(Vec::new()),
            reported_era: Cell::new(0),
            store_version: Cell::new(0),
            start_checked: Cell::new(false),
            start_reports: RefCell::new(Vec::new()),
        })
    }

    /// Tells whether all kinds have been listed and a current policy is in force, so that the host can
    /// serve callers.
    pub fn has_synced(&self) -> bool {
        let listed = self.kinds.values().all(|state| state.listed.get());
        let is_checked = self.start_checked.get() || !self.may_lack_policies();
        let policy = self.policy.borrow();
        listed && is_checked && policy.policy().is_some() && !policy.is_outdated()
    }

    /// Gets the versions and ages of this host's copies, for messages to other hosts.
    pub fn copy_status(&self, now: BootTime) -> CopyStatus {
        let age = self.policy.borrow().age(now);
        let heard_at = self.store.last_response_at();
        let store_age = heard_at.map(|heard_at| now.saturating_sub(heard_at));
        CopyStatus {
            store_age_us: store_age.and_then(|age| u64::try_from(age.as_micros()).ok()),
            store_unreachable: self.is_store_unreachable(now),
            policy: self.copies.latest(FollowedKind::Policy),
            policy_number: self.policy.borrow().number(),
            policy_age_us: age.and_then(|age| u64::try_from(age.as_micros()).ok()),
            targets: self.copies.latest(FollowedKind::Targets),
            evacuations: self.copies.latest(FollowedKind::Evacuations),
            settings: self.settings_status.get().shared,
        }
    }

    /// Lists and then watches one kind until the process ends.
    pub async fn follow(self: Rc<Self>, kind: FollowedKind) {
        let Some(state) = self.kinds.get(&kind) else {
            return;
        };
        let name = self.store_kind_name(kind);
        let mut watch = KindWatch::new(&name);
        if kind != FollowedKind::Policy {
            watch = watch.with_stale_list();
        }
        let mut backoff = RETRY_BACKOFF.0;
        loop {
            self.wait_while_store_watchers_forward(kind, state).await;
            if state.needs_list.take() {
                watch.restart();
            }
            watch.advance(state.complete_version.get());
            let wait = self.watch_wait(kind, state);
            watch.set_wait(wait);
            state.has_long_wait.set(wait >= LONG_WATCH_WAIT);
            let started_at = boot_time();
            let woken = state.wake.listen();
            state.call_started_at.set(Some(started_at));
            state.sent_version.set(self.store_version.get());
            let step = {
                let step = watch.step(&self.store).fuse();
                let woken = woken.fuse();
                pin_mut!(step, woken);
                select_biased! {
                    step = step => Some(step),
                    () = woken => None,
                }
            };
            state.call_started_at.set(None);
            let elapsed = boot_time().saturating_sub(started_at);
            self.record_step(&name, wait, elapsed, step.as_ref());
            match step {
                None => {}
                Some(Ok(step)) => {
                    if kind == FollowedKind::Policy && backoff > RETRY_BACKOFF.0 {
                        self.wake_all();
                    }
                    backoff = RETRY_BACKOFF.0;
                    state.failed_at.set(None);
                    state.succeeded_at.set(Some(boot_time()));
                    self.update_store_unreachable();
                    let delay = self.next_call_delay(kind, &step);
                    self.apply_step(kind, state, step, started_at, wait);
                    compio::time::sleep(delay).await;
                }
                Some(Err(_)) => {
                    state.failed_at.set(Some(boot_time()));
                    self.update_store_unreachable();
                    let woken = state.wake.listen();
                    let jittered = backoff.mul_f64(0.5 + fastrand::f64() / 2.0);
                    let _ = compio::time::timeout(jittered, woken).await;
                    let max_backoff = match kind {
                        FollowedKind::Policy => RETRY_BACKOFF.1,
                        _ => OTHER_KINDS_MAX_BACKOFF,
                    };
                    backoff = (backoff * 2).min(max_backoff);
                }
            }
        }
    }

    // Ends the backoff of all kinds once the store responds again.
    fn wake_all(&self) {
        for state in self.kinds.values() {
            state.wake.notify(usize::MAX);
        }
    }

    fn wake(&self, state: &KindState) {
        state.behind.take();
        state.wake_requested.set(true);
        state.wake.notify(usize::MAX);
    }

    fn store_kind_name(&self, kind: FollowedKind) -> String {
        match kind {
            FollowedKind::Policy => (self.dialect.policy_object)().0,
            FollowedKind::Targets => (self.dialect.targets_kind)(),
            FollowedKind::Evacuations => (self.dialect.evacuations_kind)(),
            FollowedKind::Hosts => HOSTS_KIND.to_owned(),
        }
    }

    fn apply_step(
        &self,
        kind: FollowedKind,
        state: &KindState,
        step: WatchStep,
        started_at: BootTime,
        wait: Duration,
    ) {
        let now = boot_time();
        match step {
            WatchStep::Listed { list, sent_at } => {
                self.note_store_version(list.version);
                let previous = self.forwarded_up_to(kind, state);
                state.complete_version.set(list.version);
                state.forwarded_version.set(list.version);
                let names: BTreeSet<_> = list
                    .objects
                    .iter()
                    .map(|object| object.name.clone())
                    .collect();
                for object in &list.objects {
                    self.copies
                        .apply_object(kind, now, object, ChangeSource::StoreCall);
                }
                let truncated = list.truncated && !self.has_policy(kind, &names);
                state.truncated.set(truncated);
                let removals = if truncated {
                    Vec::new()
                } else {
                    self.copies.retain_listed(kind, now, list.version, names)
                };
                self.queue_list(kind, previous, &list, removals);
                self.confirm(kind, state, sent_at.unwrap_or_default());
            }
            WatchStep::Changed {
                changes,
                sent_at,
                version,
                ..
            } => {
                self.note_store_version(version);
                state
                    .needs_list
                    .set(state.truncated.get() || state.needs_list.get());
                let is_unchanged = changes.is_empty();
                self.queue_changes(kind, version, &changes);
                state.advance_complete(version);
                for change in changes {
                    self.copies
                        .apply_change(kind, now, change, ChangeSource::StoreCall);
                }
                // A watch that waited its full time without a change confirms the copy as of its end.
                let waited_fully = now.saturating_sub(started_at) >= wait;
                let complete_at = if is_unchanged && waited_fully && !sent_at.is_zero() {
                    sent_at + wait
                } else {
                    sent_at
                };
                self.confirm(kind, state, complete_at);
            }
        }
    }

    // Tells whether a list has the policy, beside which other objects of its kind do not matter.
    fn has_policy(&self, kind: FollowedKind, names: &BTreeSet<String>) -> bool {
        kind == FollowedKind::Policy && names.contains(&(self.dialect.policy_object)().1)
    }

    // Records that the copy of a kind was complete at `at`; zero means unknown.
    fn confirm(&self, kind: FollowedKind, state: &KindState, at: BootTime) {
        if at.is_zero() {
            return;
        }
        state.listed.set(true);
        if kind == FollowedKind::Policy && !state.truncated.get() {
            self.policy.borrow_mut().confirm(at);
        }
    }

    fn next_call_delay(&self, kind: FollowedKind, step: &WatchStep) -> Duration {
        let is_unchanged = match step {
            WatchStep::Listed { sent_at, .. } => sent_at.is_none(),
            WatchStep::Changed { changes, .. } => changes.is_empty(),
        };
        match kind {
            _ if is_unchanged => Duration::ZERO,
            FollowedKind::Policy | FollowedKind::Evacuations => Duration::ZERO,
            FollowedKind::Targets => self.router.borrow().bounds.drain / TARGETS_DELAY_DIVISOR,
            FollowedKind::Hosts => HOSTS_DELAY,
        }
    }
}
