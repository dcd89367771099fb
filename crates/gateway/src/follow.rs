//! Keeps local copies of the store's objects in sync: the traffic policy, the targets, the evacuations
//! and the registered hosts.
//!
//! Each kind of object is listed once and then watched. In each region only a few hosts, the feeders,
//! watch the store all the time and forward its changes; the others watch it themselves when they hear
//! from no feeder or find that they have missed a change.

mod checking;
mod eras;
mod feeding;

use crate::{
    behind::LagTracker,
    copies::StoreCopies,
    dialect::WireDialect,
    knowledge::PolicyCopy,
    message::{CopyMarks, FollowedKind, KindChanges},
    metrics::GatewayMetrics,
    names,
    registry::HOSTS,
    router::RequestRouter,
};
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_store::{
    client::StoreClient,
    era::StoreEra,
    watch::{KindWatch, WatchStep},
};
use futures_util::{FutureExt, pin_mut, select_biased};
use slog::{Logger, info};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

/// Age of the latest policy confirmation from which on a host queries the store itself.
const STALE_AGE: Duration = Duration::from_millis(2_200);
/// Time since the store last answered any feeder after which a host watches the store itself. It covers
/// the short watch wait, one heartbeat interval and a round trip to the store, and leaves time to apply
/// what is then read within the drain bound.
const FED_AGE: Duration = Duration::from_millis(1_350);
/// Interval at which watches and copies are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait of a watch call that need not confirm the policy: long, because every store call is
/// billed.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Time after the start for which a host waits to hear from its region's feeders before it watches the
/// store itself: two heartbeat intervals.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Divisor of the drain bound that gives the delay between watches of the targets, so that one call
/// returns several changes.
const GATHER_PART: u32 = 10;
/// Delay before the next watch after changes of hosts; heartbeats report those earlier anyway.
const HOSTS_PAUSE: Duration = Duration::from_millis(1_000);
/// Shortest and longest backoff after a failed call.
const FAILURE_PAUSE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));
/// Longest backoff after a failed call for a kind other than the policy; the next successful policy call
/// ends it early.
const LONG_FAILURE_PAUSE: Duration = Duration::from_secs(4);

/// Kinds of objects that a gateway keeps copies of.
pub const FOLLOWED: [FollowedKind; 4] = [
    FollowedKind::Policy,
    FollowedKind::Targets,
    FollowedKind::Evacuations,
    FollowedKind::Hosts,
];

#[derive(Debug, Default)]
struct KindState {
    listed: Cell<bool>,
    // Whether the watch is in a long call or relies on feeders, so that it may not notice a missed change.
    waits_long: Cell<bool>,
    // When the last store call failed; none if it succeeded.
    failed_at: Cell<Option<BootTime>>,
    // When the last successful store call ended.
    answered_at: Cell<Option<BootTime>>,
    behind: Cell<LagTracker>,
    // Start of the store call in progress, if any.
    calling_since: Cell<Option<BootTime>>,
    // Store version up to which this host has all changes.
    complete: Cell<Version>,
    // Latest store version that a feeder has forwarded changes up to; if above `complete`, this host
    // has missed some.
    told: Cell<Version>,
    // Whether the watch has to start again with a list.
    restarts: Cell<bool>,
    // Whether the watch has to call the store now, even if feeders are heard.
    kicked: Cell<bool>,
    // Wakes the watch task and cancels its call in progress.
    kick: Event,
}

impl KindState {
    fn note_complete(&self, version: Version) {
        self.complete.set(version.max(self.complete.get()));
    }

    fn misses_changes(&self) -> bool {
        self.told.get() > self.complete.get()
    }
}

/// `StoreFollower` keeps this host's copies in sync with the store.
pub struct StoreFollower {
    dialect: Rc<WireDialect>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    store: Rc<StoreClient>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    kinds: BTreeMap<FollowedKind, KindState>,
    copies: StoreCopies,
    // Changes to forward to the other hosts of the region.
    outbox: RefCell<Vec<KindChanges>>,
    started_at: BootTime,
    // Latest store era that other hosts have reported.
    told_era: Cell<StoreEra>,
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
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        let mut kinds = BTreeMap::new();
        for kind in FOLLOWED {
            kinds.insert(kind, KindState::default());
        }
        Ok(Self {
            dialect: kernel.find(names::DIALECT)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            store: kernel.find(names::STORE)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
            kinds,
            copies: StoreCopies::new(kernel)?,
            outbox: RefCell::new(Vec::new()),
            started_at: boot_time(),
            told_era: Cell::new(0),
        })
    }

    /// Tells whether all kinds have been listed and a current policy is in force, so that the host can
    /// serve callers.
    pub fn is_complete(&self) -> bool {
        let listed = self.kinds.values().all(|state| state.listed.get());
        let policy = self.policy.borrow();
        listed && policy.policy().is_some() && !policy.is_outdated()
    }

    /// Gets the versions and ages of this host's copies, for messages to other hosts.
    pub fn marks(&self, now: BootTime) -> CopyMarks {
        let age = self.policy.borrow().age(now);
        let heard_at = self.store.heard_at();
        let store_age = heard_at.map(|heard_at| now.saturating_sub(heard_at));
        CopyMarks {
            store_age_us: store_age.and_then(|age| u64::try_from(age.as_micros()).ok()),
            away: self.is_away(now),
            policy: self.copies.latest(FollowedKind::Policy),
            policy_number: self.policy.borrow().number(),
            policy_age_us: age.and_then(|age| u64::try_from(age.as_micros()).ok()),
            targets: self.copies.latest(FollowedKind::Targets),
            evacuations: self.copies.latest(FollowedKind::Evacuations),
        }
    }

    /// Lists and then watches one kind until the process ends.
    pub async fn follow(self: Rc<Self>, kind: FollowedKind) {
        let Some(state) = self.kinds.get(&kind) else {
            return;
        };
        let name = self.store_kind(kind);
        let mut watch = KindWatch::new(&name);
        if kind != FollowedKind::Policy {
            watch = watch.with_stale_list();
        }
        let mut pause = FAILURE_PAUSE.0;
        loop {
            self.rest_while_fed(kind, state).await;
            if state.restarts.take() {
                watch.restart();
            }
            watch.advance(state.complete.get());
            let wait = self.wait(kind, state);
            watch.set_wait(wait);
            state.waits_long.set(wait >= LONG_WAIT);
            let started_at = boot_time();
            let kicked = state.kick.listen();
            state.calling_since.set(Some(started_at));
            let step = {
                let step = watch.step(&self.store).fuse();
                let kicked = kicked.fuse();
                pin_mut!(step, kicked);
                select_biased! {
                    step = step => Some(step),
                    () = kicked => None,
                }
            };
            state.calling_since.set(None);
            match step {
                None => self.count(&name, "restarted"),
                Some(Ok(step)) => {
                    if kind == FollowedKind::Policy && pause > FAILURE_PAUSE.0 {
                        self.resume_all();
                    }
                    pause = FAILURE_PAUSE.0;
                    state.failed_at.set(None);
                    state.answered_at.set(Some(boot_time()));
                    self.note_away();
                    self.count(&name, "answered");
                    let gather = self.gather_pause(kind, &step);
                    self.take(kind, state, step, started_at, wait);
                    compio::time::sleep(gather).await;
                }
                Some(Err(error)) => {
                    state.failed_at.set(Some(boot_time()));
                    self.note_away();
                    self.count(&name, "failed");
                    info!(self.logger, "watch failed"; "kind" => &name, "error" => error.to_string());
                    let resumed = state.kick.listen();
                    let jittered = pause.mul_f64(0.5 + fastrand::f64() / 2.0);
                    let _ = compio::time::timeout(jittered, resumed).await;
                    let longest = match kind {
                        FollowedKind::Policy => FAILURE_PAUSE.1,
                        _ => LONG_FAILURE_PAUSE,
                    };
                    pause = (pause * 2).min(longest);
                }
            }
        }
    }

    // Ends the backoff of all kinds once the store answers again.
    fn resume_all(&self) {
        for state in self.kinds.values() {
            state.kick.notify(usize::MAX);
        }
    }

    fn kick(&self, state: &KindState) {
        state.behind.take();
        state.kicked.set(true);
        state.kick.notify(usize::MAX);
    }

    fn store_kind(&self, kind: FollowedKind) -> String {
        match kind {
            FollowedKind::Policy => (self.dialect.policy_object)().0,
            FollowedKind::Targets => (self.dialect.targets_kind)(),
            FollowedKind::Evacuations => (self.dialect.evacuations_kind)(),
            FollowedKind::Hosts => HOSTS.to_owned(),
        }
    }

    fn take(
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
                state.complete.set(list.version);
                state.told.set(list.version);
                let names: BTreeSet<_> = list.objects.iter().map(|o| o.name.clone()).collect();
                for object in &list.objects {
                    self.copies.take_object(kind, now, object);
                }
                self.copies.keep_only(kind, now, list.version, names);
                self.confirm(kind, state, sent_at.unwrap_or_default());
            }
            WatchStep::Changed {
                changes,
                sent_at,
                version,
            } => {
                let quiet = changes.is_empty();
                self.hand_on(kind, version, &changes);
                state.note_complete(version);
                for change in changes {
                    self.copies.take_change(kind, now, change);
                }
                // A watch that waited its full time without a change confirms the copy as of its end.
                let waited = now.saturating_sub(started_at) >= wait;
                let complete_at = if quiet && waited && !sent_at.is_zero() {
                    sent_at + wait
                } else {
                    sent_at
                };
                self.confirm(kind, state, complete_at);
            }
        }
    }

    // Records that the copy of a kind was complete at `at`; zero means unknown.
    fn confirm(&self, kind: FollowedKind, state: &KindState, at: BootTime) {
        if at.is_zero() {
            return;
        }
        state.listed.set(true);
        if kind == FollowedKind::Policy {
            self.policy.borrow_mut().confirm(at);
        }
    }

    fn gather_pause(&self, kind: FollowedKind, step: &WatchStep) -> Duration {
        let quiet = match step {
            WatchStep::Listed { sent_at, .. } => sent_at.is_none(),
            WatchStep::Changed { changes, .. } => changes.is_empty(),
        };
        match kind {
            _ if quiet => Duration::ZERO,
            FollowedKind::Policy | FollowedKind::Evacuations => Duration::ZERO,
            FollowedKind::Targets => self.router.borrow().bounds.drain / GATHER_PART,
            FollowedKind::Hosts => HOSTS_PAUSE,
        }
    }

    fn count(&self, kind: &str, outcome: &str) {
        let labels = [kind, outcome];
        self.metrics.watch_steps.with_label_values(&labels).inc();
    }
}
