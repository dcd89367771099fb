//! Messages between hosts, sent as UDP datagrams: heartbeats and forwarded store changes within a region,
//! digests between regions.
//!
//! Datagrams fit better than connections here: each heartbeat or digest supersedes the one before, so the
//! next one makes up for a loss.

use crate::{
    errors::{Error, Result},
    fleet::Admissions,
    follow::StoreFollower,
    knowledge::PolicyCopy,
    limit::OrgLimit,
    message::{
        BeatEcho, HostSign, KindChanges, OrgUse, PeerBeat, PeerMessage, RegionDigest, single,
    },
    names,
    router::{RequestRouter, org_limit},
    settings::GatewaySettings,
};
use compio::{BufResult, net::UdpSocket};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, HostId, Incarnation, OrgId, ServiceId},
};
use fighall_kernel::{kernel::MicroKernel, stage::LifeStage};
use slog::{Logger, debug, info, warn};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Interval between heartbeats, and between digests.
const BEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of the checks for changes to forward and for admissions to report before a heartbeat is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an organisation's usage is repeated after its last change, in case a message was lost.
const REPEAT_TIME: Duration = Duration::from_millis(1_000);
/// Size limit of an encoded message, below the largest payload of a UDP datagram.
const DATAGRAM_LIMIT: usize = 60_000;
/// Delay before the next receive after a failed one.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct ReceivedBeat {
    incarnation: Incarnation,
    sent_us: u64,
    received_at: BootTime,
}

// Admissions reported last, and the time of their last change, by organisation.
type ToldCounts = BTreeMap<OrgId, (u64, BootTime)>;

/// `BeatService` exchanges heartbeats, forwarded changes and digests with the other hosts.
pub struct BeatService {
    kernel: Rc<MicroKernel>,
    settings: Rc<GatewaySettings>,
    incarnation: Rc<Incarnation>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    follower: Rc<StoreFollower>,
    logger: Rc<Logger>,
    socket: UdpSocket,
    received: RefCell<BTreeMap<HostId, ReceivedBeat>>,
    told: RefCell<ToldCounts>,
    told_far: RefCell<ToldCounts>,
    // Admissions that the other hosts of the region have reported since this host's start.
    near_admitted: RefCell<BTreeMap<OrgId, u64>>,
    sent_at: Cell<BootTime>,
    digests: Cell<u64>,
    relays: Cell<bool>,
}

impl std::fmt::Debug for BeatService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BeatService").finish_non_exhaustive()
    }
}

impl BeatService {
    /// Binds the socket for messages between hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a required service is not registered.
    pub async fn bind(kernel: &Rc<MicroKernel>) -> Result<Self> {
        let settings: Rc<GatewaySettings> = kernel.find(names::SETTINGS)?;
        let socket = UdpSocket::bind(settings.peers).await;
        let socket = socket
            .map_err(|error| Error::io(format!("binding {} for peers", settings.peers), error))?;
        Ok(Self {
            kernel: Rc::clone(kernel),
            incarnation: kernel.find(names::INCARNATION)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            follower: kernel.find(names::FOLLOWER)?,
            logger: kernel.find(names::LOGGER)?,
            settings,
            socket,
            received: RefCell::new(BTreeMap::new()),
            told: RefCell::new(BTreeMap::new()),
            told_far: RefCell::new(BTreeMap::new()),
            near_admitted: RefCell::new(BTreeMap::new()),
            sent_at: Cell::new(Duration::ZERO),
            digests: Cell::new(0),
            relays: Cell::new(false),
        })
    }

    /// Sends messages until the process ends.
    pub async fn beat(self: Rc<Self>) {
        loop {
            for changes in self.follower.take_outbox() {
                self.feed(changes).await;
            }
            let now = boot_time();
            let due = now.saturating_sub(self.sent_at.get()) >= BEAT_INTERVAL;
            if due || self.is_pressed() {
                self.send().await;
            }
            compio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    // Changes that do not fit into a datagram are not sent: heartbeats show the receivers that some are
    // missing, and they query the store themselves.
    async fn feed(&self, changes: KindChanges) {
        let addresses = self.router.borrow().fleet.local_peer_addresses();
        let message = PeerMessage::Changes(changes);
        for (_, address) in addresses {
            self.send_to(address, &message).await;
        }
    }

    /// Sends a heartbeat to every other host of the region and, if this host is the relay, a digest to each
    /// other region.
    pub async fn send(&self) {
        let now = boot_time();
        self.sent_at.set(now);
        self.router.borrow_mut().limiter.mark_reported();
        let uses = self.own_uses(now);
        let addresses = self.router.borrow().fleet.local_peer_addresses();
        for (host, address) in addresses {
            let beat = self.new_beat(&host, uses.clone());
            self.send_to(address, &PeerMessage::Beat(beat)).await;
        }
        let relays = self
            .router
            .borrow()
            .fleet
            .is_relay(now, &self.settings.host);
        if relays != self.relays.replace(relays) {
            info!(self.logger, "relay of the region"; "own" => relays);
        }
        if relays {
            self.send_digest(now).await;
        }
    }

    // Digests go alternately to the first and second relay of a region, so that the loss of one costs only
    // every second digest.
    async fn send_digest(&self, now: BootTime) {
        let number = self.digests.get();
        self.digests.set(number + 1);
        let relays = self.router.borrow().fleet.remote_relays(now);
        if relays.is_empty() {
            return;
        }
        let message = PeerMessage::Digest(self.new_digest(now));
        for addresses in relays.values() {
            let count = u64::try_from(addresses.len().max(1)).unwrap_or(1);
            let index = usize::try_from(number % count).unwrap_or(0);
            if let Some(address) = addresses.get(index) {
                self.send_to(*address, &message).await;
            }
        }
    }

    async fn send_to(&self, address: SocketAddr, message: &PeerMessage) {
        let mut datagram = Vec::new();
        if let Err(error) = ciborium::into_writer(message, &mut datagram) {
            warn!(self.logger, "peer message not encoded"; "error" => error.to_string());
            return;
        }
        if datagram.len() > DATAGRAM_LIMIT {
            info!(self.logger, "peer message too large for a datagram"; "bytes" => datagram.len());
            return;
        }
        let BufResult(sent, _) = self.socket.send_to(datagram, address).await;
        if let Err(error) = sent {
            debug!(self.logger, "peer message not sent";
                "address" => address.to_string(), "error" => error.to_string());
        }
    }

    /// Receives messages until the process ends.
    pub async fn listen(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(DATAGRAM_LIMIT);
        loop {
            buffer.clear();
            let BufResult(received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            let datagram = match received {
                Ok((length, _)) => buffer.get(..length).unwrap_or_default(),
                Err(error) => {
                    debug!(self.logger, "receiving a peer message failed"; "error" => error.to_string());
                    compio::time::sleep(RECEIVE_PAUSE).await;
                    continue;
                }
            };
            match ciborium::from_reader(datagram) {
                Ok(PeerMessage::Beat(beat)) => self.take_beat(beat),
                Ok(PeerMessage::Digest(digest)) => self.take_digest(digest).await,
                Ok(PeerMessage::Changes(changes)) => self.follower.take_fed(changes),
                Err(error) => {
                    warn!(self.logger, "peer message not decoded; dropped"; "error" => error.to_string());
                }
            }
        }
    }

    fn take_beat(&self, beat: PeerBeat) {
        let now = boot_time();
        let host = beat.host.clone();
        let received = ReceivedBeat {
            incarnation: beat.incarnation,
            sent_us: beat.sent_us,
            received_at: now,
        };
        let mut router = self.router.borrow_mut();
        let Some(admitted) = router.fleet.apply_heartbeat(now, beat) else {
            return;
        };
        self.note_admissions(now, &mut router, &admitted);
        let mut near = self.near_admitted.borrow_mut();
        for (organisation, count) in admitted {
            let known = near.entry(organisation).or_default();
            *known = known.saturating_add(count);
        }
        self.received.borrow_mut().insert(host, received);
    }

    fn note_admissions(&self, now: BootTime, router: &mut RequestRouter, admitted: &Admissions) {
        for (organisation, count) in admitted {
            if let Some(limit) = self.limit_of(organisation) {
                router
                    .limiter
                    .count_peer_admissions(now, organisation, &limit, *count);
            }
        }
    }

    fn limit_of(&self, organisation: &str) -> Option<OrgLimit> {
        let policy = self.policy.borrow().policy()?;
        org_limit(policy.organisations.get(organisation)?)
    }

    async fn take_digest(&self, digest: RegionDigest) {
        let forwarded = RegionDigest {
            forwarded: true,
            ..digest.clone()
        };
        let direct = !digest.forwarded;
        {
            let now = boot_time();
            let mut router = self.router.borrow_mut();
            let admitted = router.fleet.apply_digest(now, digest);
            self.note_admissions(now, &mut router, &admitted.unwrap_or_default());
        }
        if !direct {
            return;
        }
        let addresses = self.router.borrow().fleet.local_peer_addresses();
        let message = PeerMessage::Digest(forwarded);
        for (_, address) in addresses {
            self.send_to(address, &message).await;
        }
    }

    fn new_beat(&self, peer: &str, uses: Vec<OrgUse>) -> PeerBeat {
        let now = boot_time();
        let received = self.received.borrow();
        let echo = received.get(peer).map(|received| BeatEcho {
            incarnation: received.incarnation,
            sent_us: received.sent_us,
            held_us: micros(now.saturating_sub(received.received_at)),
        });
        PeerBeat {
            host: self.settings.host.clone(),
            incarnation: *self.incarnation,
            sent_us: micros(now),
            echo,
            ready: self.serves(now),
            leaving: self.is_leaving(),
            copies: self.follower.marks(now),
            uses,
            demands: self.own_demands(now),
        }
    }

    fn new_digest(&self, now: BootTime) -> RegionDigest {
        let router = self.router.borrow();
        let mut hosts = router.fleet.host_signs(now);
        hosts.push(HostSign {
            host: self.settings.host.clone(),
            incarnation: *self.incarnation,
            age_ms: 0,
            ready: self.serves(now),
            leaving: self.is_leaving(),
        });
        let beats = router.fleet.heard_local_peers(now);
        let beats = beats.filter_map(|peer| peer.heartbeat.as_ref());
        let mut services: BTreeSet<_> = beats.flat_map(|beat| beat.demands.keys()).collect();
        let own = router.own_demands(now);
        services.extend(own.keys());
        let mut demands = BTreeMap::new();
        for service in services {
            if let Some(demand) = router.region_demand(now, service) {
                demands.insert(service.clone(), single(demand));
            }
        }
        RegionDigest {
            region: self.settings.region.clone(),
            relay: self.settings.host.clone(),
            incarnation: *self.incarnation,
            sent_us: micros(now),
            forwarded: false,
            hosts,
            copies: self.follower.marks(now),
            uses: self.region_uses(now),
            demands,
        }
    }

    fn serves(&self, now: BootTime) -> bool {
        let revoke = self.router.borrow().bounds.revoke;
        let fresh = match revoke {
            Some(revoke) => self.policy.borrow().is_fresh(now, revoke),
            None => true,
        };
        let running = self.kernel.signal().stage() == LifeStage::Running;
        running && self.follower.is_complete() && fresh
    }

    fn is_leaving(&self) -> bool {
        self.kernel.signal().stage() > LifeStage::Running
    }

    fn own_demands(&self, now: BootTime) -> BTreeMap<ServiceId, Option<f32>> {
        let demands = self.router.borrow().own_demands(now);
        demands
            .into_iter()
            .map(|(service, demand)| (service, demand.map(single)))
            .collect()
    }

    fn own_uses(&self, now: BootTime) -> Vec<OrgUse> {
        let uses = self.router.borrow().limiter.usage();
        changed(uses, &mut self.told.borrow_mut(), now)
    }

    // Sums this host's usage and what the other hosts of the region have reported.
    fn region_uses(&self, now: BootTime) -> Vec<OrgUse> {
        let router = self.router.borrow();
        let near = self.near_admitted.borrow();
        let demands = router.fleet.local_org_demands(now);
        let mut uses = router.limiter.usage();
        for used in &mut uses {
            let others = near.get(&used.organisation).copied().unwrap_or(0);
            used.admitted = used.admitted.saturating_add(others);
            let demand = demands.get(&used.organisation).copied().unwrap_or(0.0);
            used.demand += single(demand);
        }
        changed(uses, &mut self.told_far.borrow_mut(), now)
    }

    fn is_pressed(&self) -> bool {
        let router = self.router.borrow();
        router.limiter.needs_report(|name| self.limit_of(name))
    }
}

// Keeps the organisations whose admissions changed lately; the values of the others have been reported.
fn changed(mut uses: Vec<OrgUse>, told: &mut ToldCounts, now: BootTime) -> Vec<OrgUse> {
    uses.retain(|used| {
        let known = told
            .entry(used.organisation.clone())
            .or_insert((0, Duration::ZERO));
        if known.0 != used.admitted {
            *known = (used.admitted, now);
        }
        now.saturating_sub(known.1) < REPEAT_TIME
    });
    uses
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
