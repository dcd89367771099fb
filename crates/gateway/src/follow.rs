//! Following of the store's kinds: the traffic policy, the targets, the evacuations and the hosts.

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

/// Age of the policy's confirmation at which a host asks the store itself.
const STALE_AGE: Duration = Duration::from_millis(2_200);
/// Time since the store last answered a feeder at which a host watches the store itself: the short wait,
/// a beat, and the way to the store and back. What it then reads has to be in force within the bounds of
/// drains.
const FED_AGE: Duration = Duration::from_millis(1_350);
/// Interval at which watches are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Wait of all other watches; each watch is a call that is paid for.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Time after the start in which a host waits for its region's feeders to be heard, before it watches
/// the store itself: two beats.
const SETTLE_TIME: Duration = Duration::from_millis(800);
/// Part of the bound of drains for which changes of targets gather, so that one call brings several.
const GATHER_PART: u32 = 10;
/// Pause after changes of hosts, which beats tell sooner.
const HOSTS_PAUSE: Duration = Duration::from_millis(1_000);
/// Shortest and longest pause after a failed call.
const FAILURE_PAUSE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_200));
/// Longest pause after a failed call for a kind other than the policy, whose next success ends it.
const LONG_FAILURE_PAUSE: Duration = Duration::from_secs(4);

/// All kinds that a gateway follows.
pub const FOLLOWED: [FollowedKind; 4] = [
    FollowedKind::Policy,
    FollowedKind::Targets,
    FollowedKind::Evacuations,
    FollowedKind::Hosts,
];

#[derive(Debug, Default)]
struct KindState {
    listed: Cell<bool>,
    waits_long: Cell<bool>,
    // When the last call to the store failed; none after one that was answered.
    failed_at: Cell<Option<BootTime>>,
    // When the last call that was answered ended.
    answered_at: Cell<Option<BootTime>>,
    behind: Cell<LagTracker>,
    // Since when a call to the store is under way.
    calling_since: Cell<Option<BootTime>>,
    // Version of the store up to which no change is missing.
    complete: Cell<Version>,
    // Latest version up to which a feeder told of changes; above `complete` some are missing.
    told: Cell<Version>,
    // Whether the kind is to be listed anew.
    restarts: Cell<bool>,
    kicked: Cell<bool>,
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

/// `StoreFollower` keeps this host's copies of the store's kinds.
pub struct StoreFollower {
    dialect: Rc<WireDialect>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    store: Rc<StoreClient>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    kinds: BTreeMap<FollowedKind, KindState>,
    copies: StoreCopies,
    // Changes to hand on to the hosts of the region.
    outbox: RefCell<Vec<KindChanges>>,
    started_at: BootTime,
    // Latest era of the store that another host told.
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
    /// Creates a follower that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
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

    /// Tells whether the host knows enough to serve.
    pub fn is_complete(&self) -> bool {
        let listed = self.kinds.values().all(|state| state.listed.get());
        let policy = self.policy.borrow();
        listed && policy.policy().is_some() && !policy.is_outdated()
    }

    /// Gets how far this host's copies are.
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

    /// Follows one kind until the process ends.
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

    // The store is back: calls that wait after failures go out now.
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
                // A watch that ran its whole time without a change was complete at its end.
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

    // The copy of a kind was complete at `at`; zero where that is not known.
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
