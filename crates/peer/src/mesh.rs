//! Mesh of a host: its links, the states of its peers, and the inbox of received messages.

use crate::{
    message::{HostState, PeerMessage},
    notice::PeerNotice,
    options::MeshOptions,
    outbox::PeerOutbox,
    view::{LinkState, PeerAddress, PeerView},
};
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::{BootTime, HostId, Incarnation},
    ring::EventRing,
};
use fighall_kernel::kernel::MicroKernel;
use fighall_store::mirror::MirrorState;
use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

pub(crate) struct PeerEntry {
    pub(crate) view: PeerView,
    pub(crate) outbox: Rc<RefCell<PeerOutbox>>,
}

pub(crate) struct SenderProgress {
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
}

/// Number of replies queued for a host that this host does not dial.
const REPLY_LIMIT: usize = 256;

/// `PeerMesh` holds all links of one host.
pub struct PeerMesh {
    pub(crate) options: MeshOptions,
    pub(crate) kernel: Rc<MicroKernel>,
    pub(crate) ring: Rc<EventRing>,
    pub(crate) peers: RefCell<BTreeMap<HostId, PeerEntry>>,
    pub(crate) senders: RefCell<BTreeMap<HostId, SenderProgress>>,
    // Replies to hosts that dialled this host and that it does not dial itself.
    replies: RefCell<BTreeMap<HostId, VecDeque<PeerMessage>>>,
    state: RefCell<HostState>,
    mirror_positions: RefCell<BTreeMap<String, MirrorPosition>>,
    inbox: RefCell<VecDeque<PeerNotice>>,
    inbox_changed: Event,
}

#[derive(Clone, Debug)]
struct MirrorPosition {
    version: u64,
    confirmed_at: Option<BootTime>,
}

impl std::fmt::Debug for PeerMesh {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerMesh")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl PeerMesh {
    /// Creates a mesh without links.
    pub fn new(options: MeshOptions, kernel: Rc<MicroKernel>, ring: Rc<EventRing>) -> Rc<Self> {
        Rc::new(Self {
            options,
            kernel,
            ring,
            peers: RefCell::new(BTreeMap::new()),
            senders: RefCell::new(BTreeMap::new()),
            replies: RefCell::new(BTreeMap::new()),
            state: RefCell::new(HostState::default()),
            mirror_positions: RefCell::new(BTreeMap::new()),
            inbox: RefCell::new(VecDeque::new()),
            inbox_changed: Event::new(),
        })
    }

    /// Queues a message to a peer. Returns false if the peer is unknown or its queue is full.
    pub fn send(&self, peer: &str, message: PeerMessage) -> bool {
        let stamp = self.ring.stamp();
        let outbox = match self.peers.borrow().get(peer) {
            Some(entry) => Rc::clone(&entry.outbox),
            None => return self.queue_reply(peer, message),
        };
        outbox.borrow_mut().push(stamp, message)
    }

    fn queue_reply(&self, peer: &str, message: PeerMessage) -> bool {
        let mut replies = self.replies.borrow_mut();
        let Some(queue) = replies.get_mut(peer) else {
            return false;
        };
        if queue.len() >= REPLY_LIMIT {
            return false;
        }
        queue.push_back(message);
        true
    }

    pub(crate) fn add_reply_queue(&self, peer: &str) {
        self.replies
            .borrow_mut()
            .entry(peer.to_owned())
            .or_default();
    }

    pub(crate) fn remove_reply_queue(&self, peer: &str) {
        self.replies.borrow_mut().remove(peer);
    }

    pub(crate) fn drain_replies(&self, peer: &str) -> Vec<PeerMessage> {
        let mut replies = self.replies.borrow_mut();
        replies
            .get_mut(peer)
            .map_or_else(Vec::new, |queue| queue.drain(..).collect())
    }

    /// Queues a message to all peers.
    pub fn broadcast(&self, message: &PeerMessage) {
        let hosts: Vec<_> = self.peers.borrow().keys().cloned().collect();
        for host in hosts {
            self.send(&host, message.clone());
        }
    }

    /// Returns copies of the views of all peers.
    pub fn views(&self) -> Vec<PeerView> {
        let mut views = Vec::new();
        for entry in self.peers.borrow().values() {
            let mut view = entry.view.clone();
            view.dropped = entry.outbox.borrow().dropped();
            views.push(view);
        }
        views
    }

    /// Returns a copy of the view of a peer.
    pub fn view(&self, peer: &str) -> Option<PeerView> {
        Some(self.peers.borrow().get(peer)?.view.clone())
    }

    /// Runs `read` on the view of a peer without copying it.
    pub fn with_view<T>(&self, peer: &str, read: impl FnOnce(&PeerView) -> T) -> Option<T> {
        let peers = self.peers.borrow();
        peers.get(peer).map(|entry| read(&entry.view))
    }

    /// Runs `read` on the views of all peers without copying them.
    pub fn with_views<T>(&self, read: impl FnOnce(&mut dyn Iterator<Item = &PeerView>) -> T) -> T {
        let peers = self.peers.borrow();
        read(&mut peers.values().map(|entry| &entry.view))
    }

    /// Sets the state that is sent with heartbeats.
    pub fn set_state(&self, state: HostState) {
        *self.state.borrow_mut() = state;
    }

    /// Returns the state that is sent with heartbeats.
    pub fn state(&self) -> HostState {
        self.state.borrow().clone()
    }

    /// Sets the position of a mirror of this host, which is sent with heartbeat acknowledgements.
    pub fn set_mirror_position(&self, kind: &str, version: u64, confirmed_at: Option<BootTime>) {
        let position = MirrorPosition {
            version,
            confirmed_at,
        };
        self.mirror_positions
            .borrow_mut()
            .insert(kind.to_owned(), position);
    }

    /// Waits for the next notice in the inbox.
    pub async fn next_notice(&self) -> PeerNotice {
        loop {
            let listener = self.inbox_changed.listen();
            if let Some(notice) = self.inbox.borrow_mut().pop_front() {
                return notice;
            }
            listener.await;
        }
    }

    pub(crate) fn mirror_states(&self) -> Vec<MirrorState> {
        let now = boot_time();
        let mut states = Vec::new();
        for (kind, position) in self.mirror_positions.borrow().iter() {
            let age = position.confirmed_at.map(|at| now.saturating_sub(at));
            let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            states.push(MirrorState {
                kind: kind.clone(),
                version: position.version,
                age_ms: age_ms.map(|age| age + 1),
            });
        }
        states
    }

    pub(crate) fn notify(&self, notice: PeerNotice) {
        let mut inbox = self.inbox.borrow_mut();
        if inbox.len() >= self.options.inbox_limit {
            return;
        }
        inbox.push_back(notice);
        self.inbox_changed.notify(1);
    }

    pub(crate) fn set_link(&self, peer: &str, link: LinkState, cause: &str) {
        let changed = {
            let mut peers = self.peers.borrow_mut();
            let Some(entry) = peers.get_mut(peer) else {
                return;
            };
            let previous = entry.view.link;
            entry.view.link = link;
            previous != link
        };
        if !changed {
            return;
        }
        let subject = EventSubject {
            peer: Some(peer.to_owned()),
            ..EventSubject::default()
        };
        let peer = peer.to_owned();
        if link == LinkState::Up {
            self.ring.record(subject, EventKind::PeerUp);
            self.notify(PeerNotice::Up { peer });
            return;
        }
        let kind = EventKind::PeerDown {
            cause: cause.to_owned(),
        };
        self.ring.record(subject, kind);
        self.notify(PeerNotice::Down { peer });
    }

    pub(crate) fn record_contact(&self, peer: &str, incarnation: Incarnation, now: BootTime) {
        let mut peers = self.peers.borrow_mut();
        if let Some(entry) = peers.get_mut(peer) {
            let view = &mut entry.view;
            // The state reported by an earlier incarnation is not valid for this one.
            if view.last_incarnation != Some(incarnation) {
                view.state = HostState::default();
            }
            view.last_message_at = Some(now);
            view.last_incarnation = Some(incarnation);
        }
    }

    pub(crate) fn record_state(&self, peer: &str, state: &HostState) {
        if let Some(entry) = self.peers.borrow_mut().get_mut(peer) {
            entry.view.state = state.clone();
        }
    }

    pub(crate) fn record_round_trip(&self, peer: &str, elapsed: Duration) {
        if let Some(entry) = self.peers.borrow_mut().get_mut(peer) {
            let previous = entry.view.round_trip;
            entry.view.round_trip = if previous.is_zero() {
                elapsed
            } else {
                (previous * 7 + elapsed) / 8
            };
        }
    }

    pub(crate) fn address_of(&self, peer: &str) -> Option<PeerAddress> {
        Some(self.peers.borrow().get(peer)?.view.peer.clone())
    }
}
