//! Messages between hosts, sent as UDP datagrams: heartbeats within an availability zone and with the store
//! watchers of the region, forwarded store changes within a region, digests between zones.
//!
//! Datagrams fit better than connections here: each heartbeat or digest supersedes the one before, so the
//! next one makes up for a loss.

mod content;

use crate::{
    admissions::AdmissionLedger,
    copies::ChangeSource,
    crash::ReportScope,
    datagram::{self, MAX_DATAGRAM_BYTES},
    errors::{Error, Result},
    fleet::{Admissions, relays::HeartbeatRecipient},
    follow::StoreFollower,
    limit::OrgLimit,
    message::{KindChanges, PeerHeartbeat, PeerMessage, ZoneDigest},
    names,
    placement_log::{log_blocks, log_limit_changes},
    policy_copy::PolicyCopy,
    router::{RequestRouter, org_limit},
    settings::GatewaySettings,
};
use compio::{BufResult, net::UdpSocket};
use content::HeartbeatReport;
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, HostId, Incarnation, ZoneId},
};
use fighall_kernel::{kernel::MicroKernel, turn::TaskTurn};
use slog::{Logger, debug, info, warn};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Interval between heartbeats, and between digests.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval of the checks for changes to forward and for admissions to report before a heartbeat is due.
const SEND_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that are sent to the hosts of the zone at once, and the interval before the next ones. Together they
/// use half of a link of 12 Mbit/s.
const MAX_BURST_BYTES: usize = 15_000;
const BURST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of messages to the hosts of the zone that wait for their turn.
const MAX_QUEUED_MESSAGES: usize = 100;
/// Delay before the next receive after a failed one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of messages that are handled before other tasks run, and number of bytes that a message counts for at least.
const TURN_BYTES: usize = 16 * 1_024;
const MIN_MESSAGE_BYTES: usize = 1_024;

#[derive(Debug)]
struct ReceivedHeartbeat {
    incarnation: Incarnation,
    sent_us: u64,
    received_at: BootTime,
}

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
    received: RefCell<BTreeMap<HostId, ReceivedHeartbeat>>,
    ledger: RefCell<AdmissionLedger>,
    sent_at: Cell<BootTime>,
    // Whether the last heartbeats reported that this host reaches no target.
    reported_unreachable: Cell<bool>,
    // Messages sent to other zones, which their receivers get in turn.
    zone_messages: Cell<u64>,
    // Messages to all hosts of the zone that have not been sent.
    local_queue: RefCell<VecDeque<PeerMessage>>,
    queued: Event,
    is_relay: Cell<bool>,
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
            ledger: RefCell::new(AdmissionLedger::default()),
            sent_at: Cell::new(Duration::ZERO),
            reported_unreachable: Cell::new(false),
            zone_messages: Cell::new(0),
            local_queue: RefCell::new(VecDeque::new()),
            queued: Event::new(),
            is_relay: Cell::new(false),
        })
    }

    /// Sends messages until the process ends.
    pub async fn run_sender(self: Rc<Self>) {
        loop {
            for changes in self.follower.take_outbox() {
                self.forward_changes(changes).await;
            }
            let now = boot_time();
            let unreachable = self.router.borrow().reach.is_unreachable();
            let is_due = now.saturating_sub(self.sent_at.get()) >= HEARTBEAT_INTERVAL
                || unreachable != self.reported_unreachable.get();
            if is_due {
                self.send_heartbeats().await;
            } else if self.has_urgent_report() {
                self.send_reports(now, |recipient| recipient.is_local).await;
            } else if self.is_relay.get() && self.has_urgent_digest() {
                self.send_digest(now).await;
            }
            compio::time::sleep(SEND_CHECK_INTERVAL).await;
        }
    }

    // Changes that do not fit into a datagram are not sent: heartbeats show the receivers that some are
    // missing, and they query the store themselves.
    async fn forward_changes(&self, changes: KindChanges) {
        let receivers = self.router.borrow().fleet.region_receivers(boot_time());
        let remote = PeerMessage::Changes(KindChanges {
            to_forward: true,
            ..changes.clone()
        });
        self.send_to_zones(&receivers, &remote).await;
        self.queue_local(PeerMessage::Changes(changes));
    }

    /// Sends a heartbeat to each recipient and, if this host is the relay, a digest to each other zone.
    pub async fn send_heartbeats(&self) {
        let now = boot_time();
        self.sent_at.set(now);
        let unreachable = self.router.borrow().reach.is_unreachable();
        self.reported_unreachable.set(unreachable);
        self.send_reports(now, |_| true).await;
    }

    async fn send_reports(&self, now: BootTime, is_included: fn(&HeartbeatRecipient) -> bool) {
        self.router.borrow_mut().limiter.mark_reported();
        let report = self.new_report(now);
        let host = &self.settings.host;
        let recipients = self.router.borrow().fleet.heartbeat_recipients(now, host);
        for recipient in recipients.iter().filter(|recipient| is_included(recipient)) {
            let report = if recipient.is_local {
                report.clone()
            } else {
                HeartbeatReport::default()
            };
            let heartbeat = self.new_heartbeat(&recipient.host, report);
            self.send_to(recipient.address, &PeerMessage::Heartbeat(heartbeat))
                .await;
        }
        let is_relay = self.router.borrow().fleet.is_relay(now, host);
        let usages = self.router.borrow().limiter.usage();
        self.ledger.borrow_mut().record_zone(now, &usages);
        if is_relay != self.is_relay.replace(is_relay) {
            info!(self.logger, "relay of the zone"; "own" => is_relay);
            self.ledger.borrow_mut().become_relay();
        }
        if is_relay {
            self.send_digest(now).await;
        }
    }

    async fn send_digest(&self, now: BootTime) {
        let receivers = self.router.borrow().fleet.zone_receivers(now);
        if !receivers.is_empty() {
            let digest = PeerMessage::Digest(self.new_digest(now));
            self.send_to_zones(&receivers, &digest).await;
        }
    }

    // Sends a message to one of the receivers of each zone, to each in turn.
    async fn send_to_zones(
        &self,
        receivers: &BTreeMap<ZoneId, Vec<SocketAddr>>,
        message: &PeerMessage,
    ) {
        let number = self.zone_messages.get();
        self.zone_messages.set(number + 1);
        for addresses in receivers.values() {
            let count = u64::try_from(addresses.len().max(1)).unwrap_or(1);
            let index = usize::try_from(number % count).unwrap_or(0);
            if let Some(address) = addresses.get(index) {
                self.send_to(*address, message).await;
            }
        }
    }

    fn queue_local(&self, message: PeerMessage) {
        let mut queue = self.local_queue.borrow_mut();
        if queue.len() >= MAX_QUEUED_MESSAGES {
            queue.pop_front();
            warn!(self.logger, "forwarding queue full; oldest message dropped");
        }
        queue.push_back(message);
        self.queued.notify(1);
    }

    /// Sends queued messages to all hosts of the zone until the process ends. Large ones are spread over time,
    /// since callers' responses use the same link.
    pub async fn run_forwarder(self: Rc<Self>) {
        let mut burst_bytes = 0;
        loop {
            let queued = self.queued.listen();
            let message = self.local_queue.borrow_mut().pop_front();
            let Some(message) = message else {
                queued.await;
                continue;
            };
            let Some(datagram) = self.encode(&message) else {
                continue;
            };
            let addresses = self.router.borrow().fleet.local_addresses();
            for address in addresses {
                self.send_datagram(address, datagram.clone()).await;
                burst_bytes += datagram.len();
                if burst_bytes >= MAX_BURST_BYTES {
                    burst_bytes = 0;
                    compio::time::sleep(BURST_INTERVAL).await;
                }
            }
        }
    }

    async fn send_to(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(datagram) = self.encode(message) {
            self.send_datagram(address, datagram).await;
        }
    }

    fn encode(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        match datagram::encode(message) {
            Ok(datagram) => Some(datagram),
            Err(error) => {
                warn!(self.logger, "peer message not sent"; "error" => error.to_string());
                None
            }
        }
    }

    async fn send_datagram(&self, address: SocketAddr, datagram: Vec<u8>) {
        let BufResult(result, _) = self.socket.send_to(datagram, address).await;
        if let Err(error) = result {
            debug!(self.logger, "peer message not sent";
                "address" => address.to_string(), "error" => error.to_string());
        }
    }

    /// Receives messages until the process ends.
    pub async fn run_receiver(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let mut turn = TaskTurn::new(TURN_BYTES);
        loop {
            turn.proceed().await;
            buffer.clear();
            let BufResult(received, returned) = self.socket.recv_from(buffer).await;
            buffer = returned;
            let (datagram, sender) = match received {
                Ok((length, sender)) => (buffer.get(..length).unwrap_or_default(), sender),
                Err(error) => {
                    debug!(self.logger, "receiving a peer message failed"; "error" => error.to_string());
                    compio::time::sleep(RECEIVE_RETRY_DELAY).await;
                    continue;
                }
            };
            turn.count(datagram.len().max(MIN_MESSAGE_BYTES), || {
                "messages of other hosts".to_owned()
            });
            match datagram::decode(datagram) {
                Ok(PeerMessage::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat),
                Ok(PeerMessage::Digest(digest)) => self.handle_digest(digest),
                Ok(PeerMessage::Changes(changes)) => self.handle_changes(changes, sender),
                Err(error) => {
                    warn!(self.logger, "peer message dropped"; "error" => error.to_string());
                }
            }
        }
    }

    fn handle_heartbeat(&self, heartbeat: PeerHeartbeat) {
        let now = boot_time();
        let host = heartbeat.host.clone();
        let received = ReceivedHeartbeat {
            incarnation: heartbeat.incarnation,
            sent_us: heartbeat.sent_us,
            received_at: now,
        };
        let limits = heartbeat.limits.clone();
        let crashes = heartbeat.crashes.clone();
        let mut router = self.router.borrow_mut();
        let Some(admitted) = router.fleet.apply_heartbeat(now, heartbeat) else {
            return;
        };
        let changes = router.apply_limit_claims(now, &limits);
        log_limit_changes(&self.logger, &changes, "host");
        let blocked = router.crashes.apply(now, &crashes, ReportScope::Host);
        log_blocks(&self.logger, &blocked, "host");
        self.note_admissions(now, &mut router, &admitted);
        self.ledger.borrow_mut().count_peers(admitted);
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

    fn handle_changes(&self, changes: KindChanges, sender: SocketAddr) {
        if changes.to_forward {
            self.queue_local(PeerMessage::Changes(KindChanges {
                to_forward: false,
                ..changes.clone()
            }));
        }
        let source = ChangeSource::Host(sender);
        self.follower.apply_forwarded(changes, source);
    }

    fn handle_digest(&self, digest: ZoneDigest) {
        if !digest.forwarded {
            self.queue_local(PeerMessage::Digest(ZoneDigest {
                forwarded: true,
                ..digest.clone()
            }));
        }
        let now = boot_time();
        let limits = digest.limits.clone();
        let crashes = digest.crashes.clone();
        let mut router = self.router.borrow_mut();
        if digest.zone != self.settings.zone {
            let blocked = router.crashes.apply(now, &crashes, ReportScope::Zone);
            log_blocks(&self.logger, &blocked, "zone");
        }
        let Some(admitted) = router.fleet.apply_digest(now, digest) else {
            return;
        };
        self.note_admissions(now, &mut router, &admitted);
        let changes = router.apply_limit_claims(now, &limits);
        log_limit_changes(&self.logger, &changes, "zone");
    }
}
