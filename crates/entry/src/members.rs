//! The member id of this host: its lease, renewal, hand-over and loss.

mod claiming;
mod evidence;

use crate::{configuration::ConfigService, identity::HostIdentity, mirrors::MirrorService, names};
use event_listener::{Event, EventListener};
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::{BootTime, Generation, MemberId, Version},
    ring::EventRing,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel, stage::LifeStage};
use fighall_membership::{
    lease::{MemberKey, MemberLease},
    table::{MemberTable, TableOptions},
};
use fighall_peer::{mesh::PeerMesh, view::PeerAddress};
use fighall_store::{client::StoreClient, object::kinds};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// Pause between looks at the table.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// Longest time that the release of the id may take at a stop.
const RELEASE_LIMIT: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
struct HeldMember {
    member: MemberId,
    version: Version,
    lease: MemberLease,
    claimed_at: BootTime,
    renewed_at: BootTime,
    active_at: BootTime,
}

/// `MemberService` claims a member id, keeps it, and notices when it has moved.
#[derive(Debug)]
pub struct MemberService {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    store: Rc<StoreClient>,
    mesh: Rc<PeerMesh>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    kernel: Rc<MicroKernel>,
    table: RefCell<MemberTable>,
    // Version of the leases' copy up to which the table has taken changes.
    taken: Cell<Version>,
    peers: RefCell<Vec<PeerAddress>>,
    held: RefCell<Option<HeldMember>>,
    proved_at: Cell<BootTime>,
    lease_time: Cell<Duration>,
    seeds: Vec<String>,
    changed: Event,
}

impl MemberService {
    /// Creates a service that holds no id. `seeds` are addresses of hosts to ask while no member
    /// lease is known.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &Rc<MicroKernel>, seeds: Vec<String>) -> Result<Self> {
        let options = TableOptions::default();
        let identity: Rc<HostIdentity> = kernel.find(names::IDENTITY)?;
        Ok(Self {
            ring: kernel.find(names::EVENTS)?,
            store: kernel.find(names::STORE)?,
            mesh: kernel.find(names::MESH)?,
            mirrors: kernel.find(names::MIRRORS)?,
            config: kernel.find(names::CONFIGURATION)?,
            kernel: Rc::clone(kernel),
            seeds,
            lease_time: Cell::new(options.lease_time),
            table: RefCell::new(MemberTable::new(options, &identity.region, 0)),
            identity,
            taken: Cell::new(0),
            peers: RefCell::new(Vec::new()),
            held: RefCell::new(None),
            proved_at: Cell::new(Duration::ZERO),
            changed: Event::new(),
        })
    }

    /// Claims and renews until the process leaves.
    pub async fn keep(self: Rc<Self>) {
        loop {
            self.look();
            if self.kernel.signal().stage() < LifeStage::Finishing {
                self.claim_or_renew().await;
            }
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Keeps the mesh's peers to the holders of member ids.
    pub async fn follow_peers(self: Rc<Self>) {
        loop {
            let Some(listener) = self.mirrors.listen(kinds::MEMBERS) else {
                return;
            };
            self.look();
            listener.await;
        }
    }

    /// Gets the member id whose base shares may be used now. It is checked at each spend: a host
    /// that was paused or cut off for as long as a hand-over takes may have a successor.
    pub fn active_member(&self, now: BootTime) -> Option<MemberId> {
        let held = self.held.borrow();
        let held = held.as_ref()?;
        (held.active_at <= now && self.is_proved(now)).then_some(held.member)
    }

    /// Gets the member id held, whether or not its shares may be used yet.
    pub fn member(&self) -> Option<MemberId> {
        Some(self.held.borrow().as_ref()?.member)
    }

    /// Gets a listener for the next change of the id held.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Notes that a peer heard this host no earlier than `at`: nobody can have succeeded it by
    /// then.
    pub fn note_heard(&self, at: BootTime) {
        self.proved_at.set(self.proved_at.get().max(at));
    }

    /// Gives the id up at a planned stop; `wait_out` is how long loans may still go on.
    pub async fn release(&self, wait_out: Duration) {
        let held = self.held.borrow_mut().take();
        let Some(held) = held else {
            return;
        };
        let mut lease = held.lease;
        lease.released = true;
        lease.wait_out_ms = millis(wait_out);
        lease.renewal += 1;
        let text = serde_json::to_string(&lease).unwrap_or_default();
        let name = self.object_name(held.member);
        let write = self.store.put(kinds::MEMBERS, &name, &text, held.version);
        let _ = compio::time::timeout(RELEASE_LIMIT, write).await;
        self.record(None, "released at a planned stop");
    }

    /// Gets the leases of all held ids.
    pub fn leases(&self) -> Vec<MemberLease> {
        self.table.borrow().held_leases().cloned().collect()
    }

    /// Runs `read` over the leases of all held ids without copying them.
    pub fn with_leases<T>(
        &self,
        read: impl FnOnce(&mut dyn Iterator<Item = &MemberLease>) -> T,
    ) -> T {
        let table = self.table.borrow();
        read(&mut table.held_leases())
    }

    /// Gets the time after which the id held was claimed: every change accepted before it must be
    /// known before the base shares are used.
    pub fn claimed_at(&self) -> Option<BootTime> {
        Some(self.held.borrow().as_ref()?.claimed_at)
    }

    /// Tells whether every other member id was claimed with `generation` or a later one in force.
    pub fn is_claimed_since(&self, generation: Generation) -> bool {
        let table = self.table.borrow();
        table.others_claimed_since(generation, &self.identity.host)
    }

    /// Gets the lease time in force.
    pub fn lease_time(&self) -> Duration {
        self.lease_time.get()
    }

    fn is_proved(&self, now: BootTime) -> bool {
        let silent = now.saturating_sub(self.proved_at.get());
        silent < self.lease_time.get() || self.is_alone()
    }

    // Without any other member nobody is there to take the id over.
    fn is_alone(&self) -> bool {
        let table = self.table.borrow();
        table.held_leases().count() <= 1
    }

    // Takes the table from the copy of the leases; finds out whether the own id has moved.
    fn look(&self) {
        let now = boot_time();
        if let Some(config) = self.config.config() {
            let lease_time = Duration::from_millis(config.fleet.lease_ms);
            let members = config.fleet.members_in(&self.identity.region);
            self.lease_time.set(lease_time);
            let options = TableOptions::with_lease_time(lease_time);
            self.table.borrow_mut().set_options(options, members);
        }
        let confirmed = self.mirrors.age(kinds::MEMBERS);
        let fresh = confirmed.is_some_and(|age| age < self.lease_time.get() / 2);
        if fresh {
            self.table.borrow_mut().note_store_answer(now);
        }
        self.mirrors.with_kind(kinds::MEMBERS, |mirror| {
            let mut table = self.table.borrow_mut();
            for change in mirror.changes_after(self.taken.get()) {
                let Some(member) = MemberKey::from_object_name(&change.name) else {
                    continue;
                };
                let known = table.get(&member).map(|(_, version)| version);
                if known.is_some_and(|known| known >= change.version) {
                    continue;
                }
                let lease = change.value.as_deref();
                let lease: Option<MemberLease> =
                    lease.and_then(|text| serde_json::from_str(text).ok());
                table.observe(&member, change.version, lease.as_ref());
            }
            self.taken.set(mirror.version());
            if mirror.age(now).is_some() {
                table.set_complete();
            }
        });
        self.check_own();
        self.set_peers();
    }

    fn check_own(&self) {
        let moved = {
            let held = self.held.borrow();
            let Some(held) = held.as_ref() else {
                return;
            };
            let table = self.table.borrow();
            let key = MemberKey::new(&self.identity.region, held.member);
            table.get(&key).is_some_and(|(lease, version)| {
                let own = lease.is_held_by(&self.identity.host, self.identity.incarnation);
                version > held.version && !own
            })
        };
        if moved {
            self.lose("another process holds the member id");
        }
    }

    fn lose(&self, cause: &str) {
        self.held.borrow_mut().take();
        self.record(None, cause);
        self.changed.notify(usize::MAX);
    }

    fn set_peers(&self) {
        let mut peers = Vec::new();
        self.with_leases(|leases| {
            for lease in leases {
                if lease.host == self.identity.host {
                    continue;
                }
                peers.push(PeerAddress {
                    host: lease.host.clone(),
                    incarnation: lease.incarnation,
                    address: lease.peer_address.clone(),
                    region: lease.region.clone(),
                    zone: lease.zone.clone(),
                });
            }
        });
        // Without any lease, the hosts that the settings name are asked.
        if peers.is_empty() {
            peers.extend(self.seeds.iter().map(|seed| PeerAddress::from_seed(seed)));
        }
        if *self.peers.borrow() != peers {
            self.mesh.set_peers(&peers);
            *self.peers.borrow_mut() = peers;
        }
    }

    fn record(&self, member: Option<MemberId>, cause: &str) {
        let kind = EventKind::LeaseChanged {
            member,
            cause: cause.to_owned(),
        };
        self.ring.record(EventSubject::default(), kind);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
