//! The configuration in force: only a higher generation, by the pointer's copy, with documents
//! from peers that have them or from the store.

use crate::{metrics::EntryMetrics, mirrors::MirrorService, names};
use event_listener::{Event, EventListener};
use fighall_config::{
    assembly::{ConfigAssembly, FleetConfig},
    commands::OperatorCommand,
    errors::Error as ConfigError,
    pointer::{ConfigPointer, POINTER_NAME},
};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::{BootTime, Generation},
    ring::EventRing,
    secret::content_digest,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::{mesh::PeerMesh, message::PeerMessage, view::LinkState};
use fighall_route::{blocks::BlockTable, matcher::RouteMatcher};
use fighall_store::{client::StoreClient, object::kinds};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

/// Time that peers are given to bring documents before the store is asked.
const PEER_WAIT: Duration = Duration::from_millis(250);
/// Pause before the documents of a pointer are looked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Peers that are asked for the same documents.
const PEERS_ASKED: usize = 2;

/// `ConfigService` holds the configuration in force and the tables made from it.
#[derive(Debug)]
pub struct ConfigService {
    ring: Rc<EventRing>,
    store: Rc<StoreClient>,
    mesh: Rc<PeerMesh>,
    mirrors: Rc<MirrorService>,
    metrics: Rc<EntryMetrics>,
    assembly: RefCell<ConfigAssembly>,
    in_force_at: Cell<BootTime>,
    fetched: RefCell<BTreeMap<String, String>>,
    matcher: RefCell<Rc<RouteMatcher>>,
    blocks: RefCell<Rc<BlockTable>>,
    commands: RefCell<Rc<Vec<OperatorCommand>>>,
    arrived: Event,
    changed: Event,
    commands_changed: Event,
}

impl ConfigService {
    /// Creates a service without a configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            ring: kernel.find(names::EVENTS)?,
            store: kernel.find(names::STORE)?,
            mesh: kernel.find(names::MESH)?,
            mirrors: kernel.find(names::MIRRORS)?,
            metrics: kernel.find(names::METRICS)?,
            assembly: RefCell::new(ConfigAssembly::new()),
            in_force_at: Cell::new(Duration::ZERO),
            fetched: RefCell::new(BTreeMap::new()),
            matcher: RefCell::new(Rc::new(RouteMatcher::default())),
            blocks: RefCell::new(Rc::new(BlockTable::default())),
            commands: RefCell::new(Rc::new(Vec::new())),
            arrived: Event::new(),
            changed: Event::new(),
            commands_changed: Event::new(),
        })
    }

    /// Follows the pointer until the process stops.
    pub async fn follow(self: Rc<Self>) {
        loop {
            let Some(listener) = self.mirrors.listen(kinds::POINTERS) else {
                return;
            };
            let Some(pointer) = self.newer_pointer() else {
                listener.await;
                continue;
            };
            if !self.take(pointer).await {
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Gets the configuration in force.
    pub fn config(&self) -> Option<Rc<FleetConfig>> {
        self.assembly.borrow().config()
    }

    /// Gets the generation in force, 0 without any.
    pub fn generation(&self) -> Generation {
        self.assembly.borrow().pointer().generation
    }

    /// Gets the time since which the generation in force is so here.
    pub fn in_force_at(&self) -> BootTime {
        self.in_force_at.get()
    }

    /// Tells whether no later generation is known here.
    pub fn is_latest(&self) -> bool {
        self.newer_pointer().is_none()
    }

    /// Gets the matcher of the configuration in force.
    pub fn matcher(&self) -> Rc<RouteMatcher> {
        Rc::clone(&self.matcher.borrow())
    }

    /// Gets the table of client blocks of the configuration in force.
    pub fn blocks(&self) -> Rc<BlockTable> {
        Rc::clone(&self.blocks.borrow())
    }

    /// Gets a listener for the next change of the configuration in force.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Gets the operators' commands in force.
    pub fn commands(&self) -> Rc<Vec<OperatorCommand>> {
        Rc::clone(&self.commands.borrow())
    }

    /// Follows the operators' commands until the process stops.
    pub async fn follow_commands(self: Rc<Self>) {
        loop {
            let Some(listener) = self.mirrors.listen(kinds::COMMANDS) else {
                return;
            };
            let read = self.mirrors.with_kind(kinds::COMMANDS, |mirror| {
                let values = mirror.values();
                let commands = values.filter_map(|(_, value)| serde_json::from_str(value).ok());
                commands.collect::<Vec<OperatorCommand>>()
            });
            *self.commands.borrow_mut() = Rc::new(read.unwrap_or_default());
            self.commands_changed.notify(usize::MAX);
            listener.await;
        }
    }

    /// Gets a listener for the next change of the operators' commands.
    pub fn listen_commands(&self) -> EventListener {
        self.commands_changed.listen()
    }

    /// Gets the text of a document in force, for a peer.
    pub fn document(&self, digest: &str) -> Option<String> {
        self.assembly.borrow().text(digest).map(str::to_owned)
    }

    /// Takes in a document that a peer brought.
    pub fn take_document(&self, digest: &str, text: &str) {
        // A text with another digest is of no use, whoever sent it.
        if content_digest(text.as_bytes()) != digest {
            return;
        }
        let mut fetched = self.fetched.borrow_mut();
        fetched.insert(digest.to_owned(), text.to_owned());
        self.arrived.notify(usize::MAX);
    }

    fn newer_pointer(&self) -> Option<ConfigPointer> {
        let pointer = self.mirrors.with_kind(kinds::POINTERS, |mirror| {
            let value = mirror.value(POINTER_NAME)?;
            serde_json::from_str::<ConfigPointer>(value).ok()
        })??;
        let newer = self.assembly.borrow().is_newer(&pointer);
        newer.then_some(pointer)
    }

    async fn take(&self, pointer: ConfigPointer) -> bool {
        self.fetch_from_peers(&pointer).await;
        if self.fetch_from_store(&pointer).await.is_err() {
            return false;
        }
        let generation = pointer.generation;
        let fetched = std::mem::take(&mut *self.fetched.borrow_mut());
        let applied = self.assembly.borrow_mut().apply(pointer, fetched);
        match applied {
            Ok(Some(config)) => {
                self.put_in_force(&config);
                true
            }
            Ok(None) => true,
            Err(error) => {
                self.report_rejected(generation, &error);
                false
            }
        }
    }

    fn missing(&self, pointer: &ConfigPointer) -> Vec<String> {
        let mut missing = self.assembly.borrow().missing(pointer);
        missing.retain(|digest| !self.fetched.borrow().contains_key(digest));
        missing
    }

    // Peers that have the generation in force already spare the store's calls, and are the only
    // source while the store is down.
    async fn fetch_from_peers(&self, pointer: &ConfigPointer) {
        let digests = self.missing(pointer);
        if digests.is_empty() {
            return;
        }
        let mut peers = Vec::new();
        let store_up = self.store.is_up();
        for view in self.mesh.views() {
            let has = !store_up || view.state.generation >= pointer.generation;
            if has && view.link == LinkState::Up {
                peers.push(view.peer.host);
            }
        }
        if peers.is_empty() {
            return;
        }
        fastrand::shuffle(&mut peers);
        for peer in peers.iter().take(PEERS_ASKED) {
            let digests = digests.clone();
            self.mesh
                .send(peer, PeerMessage::DocumentRequest { digests });
        }
        let wait = async {
            loop {
                let listener = self.arrived.listen();
                if self.missing(pointer).is_empty() {
                    return;
                }
                listener.await;
            }
        };
        let _ = compio::time::timeout(PEER_WAIT, wait).await;
    }

    async fn fetch_from_store(
        &self,
        pointer: &ConfigPointer,
    ) -> std::result::Result<(), ConfigError> {
        for digest in self.missing(pointer) {
            let object = self.store.get(kinds::DOCUMENTS, &digest).await?;
            let object = object.ok_or_else(|| ConfigError::object(&digest, "it is missing"))?;
            self.take_document(&digest, &object.value);
        }
        Ok(())
    }

    fn put_in_force(&self, config: &FleetConfig) {
        *self.matcher.borrow_mut() = Rc::new(RouteMatcher::new(config));
        *self.blocks.borrow_mut() = Rc::new(BlockTable::new(&config.blocks));
        let generation = config.generation;
        self.in_force_at.set(boot_time());
        let shown = i64::try_from(generation).unwrap_or(i64::MAX);
        self.metrics.generation.set(shown);
        let kind = EventKind::ConfigApplied { generation };
        self.ring.record(EventSubject::default(), kind);
        self.changed.notify(usize::MAX);
    }

    fn report_rejected(&self, generation: Generation, error: &ConfigError) {
        let kind = EventKind::ConfigRejected {
            generation,
            cause: error.to_string(),
        };
        self.ring.record(EventSubject::default(), kind);
    }
}
