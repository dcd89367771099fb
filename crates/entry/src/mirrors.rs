//! The copies of the store's kinds: by watch at two hosts a region, from peers at the others.

use crate::{identity::HostIdentity, names};
use event_listener::{Event, EventListener};
use fighall_config::keys::{KeyChange, KeyEntry, KeyTable};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::{BootTime, OrgId},
    rendezvous,
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::{
    mesh::PeerMesh,
    message::{MirrorDelta, PeerMessage},
};
use fighall_store::{
    client::StoreClient,
    mirror::{KindMirror, MirrorState},
    object::{ObjectChange, kinds},
    watch::{KindWatch, WatchStep},
};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

/// Kinds that every host keeps a copy of.
pub const MIRRORED: &[&str] = &[
    kinds::POINTERS,
    kinds::KEYS,
    kinds::MEMBERS,
    kinds::HOSTS,
    kinds::COMMANDS,
];
/// Hosts of a region that watch the store for the others.
const WATCHERS: usize = 2;
/// Longest wait of a watch of keys: how fresh their copy is bounds what is served.
const KEYS_WAIT: Duration = Duration::from_millis(500);
/// Age of the copy of keys from which the watchers of a region also list them.
const KEYS_LATE: Duration = Duration::from_millis(1_100);
/// Interval at which the age of the copy of keys is looked at.
const KEYS_LOOK: Duration = Duration::from_millis(250);
/// Longest time that a list of keys may take: a slow store is better than none.
const KEYS_LIST_LIMIT: Duration = Duration::from_millis(2_900);
/// Longest wait of a watch of the other kinds.
const KIND_WAIT: Duration = Duration::from_secs(2);
/// Age of a copy, beyond two waits of its watch, from which a host asks the store itself.
const RELIANCE_MARGIN: Duration = Duration::from_millis(600);
/// Age of a peer's last sign beyond which it is not counted among the watchers.
const ALIVE: Duration = Duration::from_secs(2);
/// Pause before a host looks again whether it should watch.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Shortest pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause after failed calls.
const FAILURE_LIMIT: Duration = Duration::from_millis(1_500);
/// Shortest time between two requests to peers for the same kind.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// `MirrorService` keeps the copies and passes changes on.
#[derive(Debug)]
pub struct MirrorService {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    store: Rc<StoreClient>,
    mesh: Rc<PeerMesh>,
    mirrors: RefCell<BTreeMap<String, KindMirror>>,
    keys: RefCell<KeyTable>,
    changed: BTreeMap<String, Event>,
    requested_at: RefCell<BTreeMap<String, BootTime>>,
    store_up: Cell<Option<bool>>,
}

impl MirrorService {
    /// Creates empty copies.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        let mut mirrors = BTreeMap::new();
        let mut changed = BTreeMap::new();
        for kind in MIRRORED {
            mirrors.insert((*kind).to_owned(), KindMirror::new(kind));
            changed.insert((*kind).to_owned(), Event::new());
        }
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            store: kernel.find(names::STORE)?,
            mesh: kernel.find(names::MESH)?,
            mirrors: RefCell::new(mirrors),
            keys: RefCell::new(KeyTable::new()),
            changed,
            requested_at: RefCell::new(BTreeMap::new()),
            store_up: Cell::new(None),
        })
    }

    /// Follows a kind until the process stops.
    pub async fn follow(self: Rc<Self>, kind: String) {
        let mut watch = KindWatch::new(&kind).with_wait(wait_of(&kind));
        let mut pause = FAILURE_PAUSE;
        loop {
            if !self.should_watch(&kind) {
                compio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            let step = watch.step(&self.store).await;
            self.note_store();
            match step {
                Ok(step) => {
                    pause = FAILURE_PAUSE;
                    self.take_step(&kind, step);
                }
                Err(_) => {
                    let jitter = 0.5 + fastrand::f64() / 2.0;
                    compio::time::sleep(pause.mul_f64(jitter)).await;
                    pause = (pause * 2).min(FAILURE_LIMIT);
                }
            }
        }
    }

    /// Lists the keys while their watch does not answer as it should, such as when the store is
    /// slow. The lists overlap, so that each confirms what the store had when it was asked.
    pub async fn guard_keys(self: Rc<Self>) {
        loop {
            compio::time::sleep(KEYS_LOOK).await;
            let late = self.age(kinds::KEYS).is_none_or(|age| age > KEYS_LATE);
            if !late || !self.is_watcher(kinds::KEYS) {
                continue;
            }
            let task = Rc::clone(&self);
            compio::runtime::spawn(async move {
                let sent_at = boot_time();
                let listed = task
                    .store
                    .list_with_timeout(kinds::KEYS, KEYS_LIST_LIMIT)
                    .await;
                if let Ok(list) = listed {
                    task.take_step(
                        kinds::KEYS,
                        WatchStep::Listed {
                            list,
                            sent_at: Some(sent_at),
                        },
                    );
                }
            })
            .detach();
        }
    }

    /// Runs `read` over the copy of a kind.
    pub fn with_kind<T>(&self, kind: &str, read: impl FnOnce(&KindMirror) -> T) -> Option<T> {
        self.mirrors.borrow().get(kind).map(read)
    }

    /// Gets a listener for the next change of a kind.
    pub fn listen(&self, kind: &str) -> Option<EventListener> {
        Some(self.changed.get(kind)?.listen())
    }

    /// Finds the organisation of a key's digest.
    pub fn organisation(&self, digest: &str) -> Option<OrgId> {
        self.keys.borrow().organisation(digest).cloned()
    }

    /// Gets the number of keys known.
    pub fn key_count(&self) -> usize {
        self.keys.borrow().len()
    }

    /// Gets the age of a kind's latest confirmation by the store.
    pub fn age(&self, kind: &str) -> Option<Duration> {
        self.with_kind(kind, |mirror| mirror.age(boot_time()))?
    }

    /// Gets the time before which every accepted change of a kind is known here.
    pub fn confirmed_at(&self, kind: &str) -> Option<BootTime> {
        self.with_kind(kind, KindMirror::confirmed_at)?
    }

    /// Lists a kind now, instead of waiting for its watch. Without an answer the copy stays.
    pub async fn refresh(&self, kind: &str) {
        let sent_at = boot_time();
        if let Ok(list) = self.store.list(kind).await {
            self.take_step(
                kind,
                WatchStep::Listed {
                    list,
                    sent_at: Some(sent_at),
                },
            );
        }
    }

    /// Takes in changes that a peer or an operator brought.
    pub fn take_delta(&self, delta: &MirrorDelta) {
        let version = self.version(&delta.kind);
        // Changes before the delta may be missing here; what it holds is taken all the same.
        let complete = if delta.after <= version {
            delta.version
        } else {
            version
        };
        self.apply(&delta.kind, &delta.changes, complete);
    }

    /// Takes in how far a peer's copies were, no earlier than `sent_at`.
    pub fn take_confirmation(&self, peer: &str, states: &[MirrorState], sent_at: BootTime) {
        for state in states {
            let version = self.version(&state.kind);
            if state.version > version {
                self.request(peer, &state.kind, version);
                continue;
            }
            let Some(age_ms) = state.age_ms else {
                continue;
            };
            // Everything accepted before the peer's confirmation is known here too.
            let at = sent_at.saturating_sub(Duration::from_millis(age_ms));
            self.confirm(&state.kind, version, at);
        }
    }

    /// Creates the answer to a peer's request.
    pub fn delta(&self, kind: &str, after: u64) -> Option<MirrorDelta> {
        self.with_kind(kind, |mirror| MirrorDelta {
            kind: kind.to_owned(),
            version: mirror.version(),
            after,
            changes: mirror.changes_after(after),
        })
    }

    /// Tells whether the store answers this host.
    pub fn is_store_up(&self) -> bool {
        self.store.is_up()
    }

    fn version(&self, kind: &str) -> u64 {
        self.with_kind(kind, KindMirror::version).unwrap_or(0)
    }

    // Two hosts of a region watch for all; any host whose copy is no longer confirmed asks the
    // store itself.
    fn should_watch(&self, kind: &str) -> bool {
        let reliance = wait_of(kind) * 2 + RELIANCE_MARGIN;
        let fresh = self.age(kind).is_some_and(|age| age <= reliance);
        !fresh || self.is_watcher(kind)
    }

    fn is_watcher(&self, kind: &str) -> bool {
        let now = boot_time();
        let mut hosts = vec![self.identity.host.clone()];
        self.mesh.with_views(|views| {
            for view in views {
                let near = view.peer.region == self.identity.region;
                if near && view.is_alive(now, ALIVE) && view.state.store_up {
                    hosts.push(view.peer.host.clone());
                }
            }
        });
        rendezvous::rank(kind, &mut hosts, String::clone);
        let rank = hosts.iter().position(|host| *host == self.identity.host);
        rank.is_some_and(|rank| rank < WATCHERS)
    }

    fn take_step(&self, kind: &str, step: WatchStep) {
        match step {
            WatchStep::Listed { list, sent_at } => {
                let news = match self.mirrors.borrow_mut().get_mut(kind) {
                    Some(mirror) => mirror.apply_list(&list),
                    None => return,
                };
                self.take_news(kind, &news);
                if let Some(sent_at) = sent_at
                    && !list.truncated
                {
                    self.confirm(kind, list.version, sent_at);
                }
            }
            WatchStep::Changed {
                changes,
                version,
                sent_at,
                ..
            } => {
                let after = self.version(kind);
                let news = self.apply(kind, &changes, version);
                self.confirm(kind, version, sent_at);
                if !news.is_empty() {
                    let delta = MirrorDelta {
                        kind: kind.to_owned(),
                        version,
                        after,
                        changes: news,
                    };
                    self.mesh.broadcast(&PeerMessage::MirrorDelta(delta));
                }
            }
        }
    }

    fn apply(&self, kind: &str, changes: &[ObjectChange], version: u64) -> Vec<ObjectChange> {
        let news = match self.mirrors.borrow_mut().get_mut(kind) {
            Some(mirror) => mirror.apply(changes, version),
            None => return Vec::new(),
        };
        self.take_news(kind, &news);
        news
    }

    fn take_news(&self, kind: &str, news: &[ObjectChange]) {
        if kind == kinds::KEYS {
            self.take_keys(news);
        }
        self.set_mark(kind);
        if !news.is_empty()
            && let Some(event) = self.changed.get(kind)
        {
            event.notify(usize::MAX);
        }
    }

    fn take_keys(&self, news: &[ObjectChange]) {
        for change in news {
            let Some(value) = &change.value else {
                continue;
            };
            let Ok(entry) = serde_json::from_str::<KeyEntry>(value) else {
                continue;
            };
            let digest = change.name.clone();
            let shown: String = digest.chars().take(8).collect();
            let change = KeyChange {
                digest,
                entry,
                version: change.version,
            };
            if self.keys.borrow_mut().apply(change) {
                let kind = EventKind::KeyWithdrawn { digest: shown };
                self.ring.record(EventSubject::default(), kind);
            }
        }
    }

    fn confirm(&self, kind: &str, version: u64, at: BootTime) {
        if let Some(mirror) = self.mirrors.borrow_mut().get_mut(kind) {
            mirror.confirm(version, at);
        }
        self.set_mark(kind);
    }

    fn set_mark(&self, kind: &str) {
        self.with_kind(kind, |mirror| {
            let mesh = &self.mesh;
            mesh.set_mirror_position(kind, mirror.version(), mirror.confirmed_at());
        });
    }

    fn request(&self, peer: &str, kind: &str, after: u64) {
        let now = boot_time();
        let mut requested = self.requested_at.borrow_mut();
        let last = requested.get(kind).copied().unwrap_or_default();
        if now.saturating_sub(last) < REQUEST_PAUSE {
            return;
        }
        requested.insert(kind.to_owned(), now);
        let message = PeerMessage::MirrorRequest {
            kind: kind.to_owned(),
            after,
        };
        self.mesh.send(peer, message);
    }

    fn note_store(&self) {
        let up = self.store.is_up();
        if self.store_up.replace(Some(up)) != Some(up) {
            let kind = EventKind::StoreChanged { up };
            self.ring.record(EventSubject::default(), kind);
        }
    }
}

fn wait_of(kind: &str) -> Duration {
    if kind == kinds::KEYS {
        return KEYS_WAIT;
    }
    KIND_WAIT
}
