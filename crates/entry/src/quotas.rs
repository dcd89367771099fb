//! The shares of quotas at this host: reservations of requests, the pace of links, and the
//! messages about loans.

pub(crate) mod reservation;
mod shares;

use crate::{
    configuration::ConfigService, identity::HostIdentity, members::MemberService,
    metrics::EntryMetrics, mirrors::MirrorService, names,
};
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    event::{EventKind, EventSubject},
    ids::{BootTime, Generation, HostId, MemberId, OrgId, RegionId},
    ring::EventRing,
    tag, value,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::{
    mesh::PeerMesh,
    message::{OrgDemand, PeerMessage},
};
use fighall_quota::{
    generations::SettledGenerations,
    ledgers::{LedgerOptions, QuotaLedgers},
    loan::{LoanMessage, OutgoingMessage, QuotaKey},
    rate::ShareView,
    slots::{SlotPermit, SlotView},
};
use futures_util::{FutureExt, pin_mut, select_biased};
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

/// Interval at which loans are asked for.
const ASK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which loans are renewed and returned.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest sleep of a request that waits for a token.
pub(crate) const WAIT_STEP: Duration = Duration::from_millis(20);
/// Age of a peer's last sign beyond which it is not asked for loans.
const ALIVE: Duration = Duration::from_secs(2);

tag! {
    /// `LendingPolicy` is whether shares move between hosts.
    pub enum LendingPolicy {
        /// Loans follow demand.
        Loans,
        /// Every host keeps its base shares; the baseline of measurements.
        Static,
    }
}

value! {
    /// `RateRefusal` is why no token was had in time.
    pub struct RateRefusal {
        /// When the next token is due.
        pub retry_after: Duration,
        /// Whether the organisation was within its rate over the fleet.
        pub within_rate: bool,
    }
}

/// `QuotaService` holds this host's book of shares.
#[derive(Debug)]
pub struct QuotaService {
    pub(crate) identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    pub(crate) mesh: Rc<PeerMesh>,
    pub(crate) config: Rc<ConfigService>,
    pub(crate) members: Rc<MemberService>,
    pub(crate) metrics: Rc<EntryMetrics>,
    pub(crate) book: RefCell<QuotaLedgers>,
    // Tokens held back for requests that wait for a slot, by organisation.
    covered: RefCell<BTreeMap<OrgId, u64>>,
    pub(crate) regions: RefCell<BTreeMap<String, RegionId>>,
    pub(crate) book_generation: Cell<Generation>,
    pub(crate) book_member: Cell<Option<MemberId>>,
    pub(crate) mirrors: Rc<MirrorService>,
    lending: Cell<LendingPolicy>,
    hurry: Event,
    changed: Event,
}

// Counts an amount as waited for while it lives.
pub(crate) struct WaitMark<'q> {
    quotas: &'q QuotaService,
    key: &'q QuotaKey,
    amount: u64,
}

impl<'q> WaitMark<'q> {
    pub(crate) fn new(quotas: &'q QuotaService, key: &'q QuotaKey, amount: u64) -> Self {
        let mut book = quotas.book.borrow_mut();
        book.start_wait(boot_time(), key, amount);
        Self {
            quotas,
            key,
            amount,
        }
    }
}

impl Drop for WaitMark<'_> {
    fn drop(&mut self) {
        let mut book = self.quotas.book.borrow_mut();
        book.end_wait(boot_time(), self.key, self.amount);
    }
}

impl QuotaService {
    /// Creates a service with an empty book.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        let identity: Rc<HostIdentity> = kernel.find(names::IDENTITY)?;
        let book = QuotaLedgers::new(
            LedgerOptions::default(),
            &identity.host,
            identity.incarnation,
        );
        let book = book.with_deferred_start();
        Ok(Self {
            ring: kernel.find(names::EVENTS)?,
            mesh: kernel.find(names::MESH)?,
            config: kernel.find(names::CONFIGURATION)?,
            members: kernel.find(names::MEMBERS)?,
            mirrors: kernel.find(names::MIRRORS)?,
            metrics: kernel.find(names::METRICS)?,
            identity,
            book: RefCell::new(book),
            covered: RefCell::new(BTreeMap::new()),
            regions: RefCell::new(BTreeMap::new()),
            book_generation: Cell::new(0),
            book_member: Cell::new(None),
            lending: Cell::new(LendingPolicy::Loans),
            hurry: Event::new(),
            changed: Event::new(),
        })
    }

    /// Asks, renews and returns loans until the process stops.
    pub async fn keep(self: Rc<Self>) {
        let mut upkeep_at = boot_time();
        loop {
            self.sync();
            let now = boot_time();
            let peers = self.peers_in_order(now);
            let mut outgoing = if self.lending.get() == LendingPolicy::Static {
                Vec::new()
            } else {
                let regions = self.regions.borrow();
                let sharers = |key: &QuotaKey, peer: &HostId| self.shares(&regions, key, peer);
                self.book.borrow_mut().loan_requests(now, &peers, sharers)
            };
            if now >= upkeep_at {
                upkeep_at = now + UPKEEP_INTERVAL;
                outgoing.extend(self.book.borrow_mut().maintain_loans(now));
                self.confirm_generation(now);
            }
            self.send(outgoing);
            self.changed.notify(usize::MAX);
            self.rest().await;
        }
    }

    // A request that begins to wait is asked for at once.
    async fn rest(&self) {
        let hurry = self.hurry.listen().fuse();
        let elapsed = compio::time::sleep(ASK_INTERVAL).fuse();
        pin_mut!(hurry, elapsed);
        select_biased! {
            () = hurry => {}
            () = elapsed => {}
        }
    }

    /// Sets whether shares move; measurements compare policies.
    pub fn set_lending(&self, policy: LendingPolicy) {
        self.lending.set(policy);
    }

    /// Handles a peer's message about loans.
    pub fn handle(&self, peer: &str, message: &LoanMessage) {
        let now = boot_time();
        self.record(peer, message);
        let answer = self.book.borrow_mut().handle(now, peer, message);
        if let Some(answer) = answer {
            self.record(peer, &answer);
            self.send(vec![OutgoingMessage::new(peer, answer)]);
        }
        self.changed.notify(usize::MAX);
    }

    /// Takes a slot of a target for a request that ends by `deadline`.
    pub fn occupy(&self, target: &str, deadline: BootTime) -> Option<SlotPermit> {
        let now = boot_time();
        if !self.may_spend(now) {
            return None;
        }
        let key = QuotaKey::Slots(target.to_owned());
        self.book.borrow_mut().acquire(now, &key, deadline)
    }

    /// Gives a slot free.
    pub fn release(&self, target: &str, ticket: SlotPermit) {
        let key = QuotaKey::Slots(target.to_owned());
        self.book.borrow_mut().release(&key, ticket);
    }

    /// Gets the slots of a target held here.
    pub fn slots(&self, target: &str) -> SlotView {
        let now = boot_time();
        let key = QuotaKey::Slots(target.to_owned());
        self.book.borrow_mut().slot_view(now, &key)
    }

    /// Sets the number of requests that wait for slots of a target.
    pub fn set_slot_waiting(&self, target: &str, waiting: u32) {
        let key = QuotaKey::Slots(target.to_owned());
        self.book.borrow_mut().set_slot_waiting(&key, waiting);
    }

    /// Gets the shares of all rates held here.
    pub fn views(&self) -> Vec<(QuotaKey, ShareView)> {
        let now = boot_time();
        let mut book = self.book.borrow_mut();
        let mut views = Vec::new();
        for key in book.keys() {
            if let Some(view) = book.rate_view(now, &key) {
                views.push((key, view));
            }
        }
        views
    }

    /// Gets the tokens of an organisation held here, in thousandths.
    pub fn share_left(&self, organisation: &str) -> u64 {
        let key = QuotaKey::Organisation(organisation.to_owned());
        let view = self.book.borrow_mut().rate_view(boot_time(), &key);
        view.map_or(0, |view| view.tokens / 1_000)
    }

    /// Lists the demand of organisations here, for peers.
    pub fn demands(&self) -> Vec<OrgDemand> {
        let mut demands = Vec::new();
        for (key, view) in self.views() {
            let QuotaKey::Organisation(organisation) = key else {
                continue;
            };
            if view.demand * 100 >= view.limit.rate.max(1) {
                demands.push(OrgDemand {
                    organisation,
                    rate: view.demand,
                });
            }
        }
        demands
    }

    /// Returns all loans at a planned stop.
    pub fn give_all_back(&self) {
        let outgoing = self.book.borrow_mut().return_all(boot_time());
        self.send(outgoing);
    }

    /// Tells whether this host's base shares are in use.
    pub fn is_active(&self) -> bool {
        self.may_spend(boot_time()) && self.book.borrow().is_active()
    }

    /// Gets the generations that have settled, for peers.
    pub fn settled(&self) -> SettledGenerations {
        self.book.borrow().settled()
    }

    /// Gets the time until all loans of this host have ended for certain.
    pub fn outstanding(&self) -> Duration {
        self.book.borrow().time_until_reclaimed(boot_time())
    }

    pub(crate) fn spend_link(&self, key: &QuotaKey, amount: u64) -> bool {
        let now = boot_time();
        self.may_spend(now) && self.book.borrow_mut().spend(now, key, amount)
    }

    pub(crate) fn may_spend(&self, now: BootTime) -> bool {
        self.members.active_member(now).is_some()
    }

    pub(crate) async fn pause(&self, longest: Duration) {
        let changed = self.changed.listen().fuse();
        let elapsed = compio::time::sleep(longest).fuse();
        pin_mut!(changed, elapsed);
        select_biased! {
            () = changed => {}
            () = elapsed => {}
        }
    }

    fn peers_in_order(&self, now: BootTime) -> Vec<HostId> {
        let mut peers = Vec::new();
        self.mesh.with_views(|views| {
            for view in views {
                if view.is_alive(now, ALIVE) && view.state.member.is_some() {
                    let far = view.peer.region != self.identity.region;
                    let other_zone = view.peer.zone != self.identity.zone;
                    peers.push((far, other_zone, view.round_trip, view.peer.host.clone()));
                }
            }
        });
        peers.sort();
        peers.into_iter().map(|(_, _, _, host)| host).collect()
    }

    fn shares(&self, regions: &BTreeMap<String, RegionId>, key: &QuotaKey, peer: &str) -> bool {
        let region = match key {
            QuotaKey::Organisation(_) => return true,
            QuotaKey::Link { from, .. } => Some(from),
            QuotaKey::Slots(target) => regions.get(target),
        };
        let near = self
            .mesh
            .with_view(peer, |view| Some(&view.peer.region) == region);
        near.unwrap_or(false)
    }

    fn send(&self, outgoing: Vec<OutgoingMessage>) {
        for loan in outgoing {
            self.metrics.loan_messages.inc();
            self.mesh.send(&loan.peer, PeerMessage::Loan(loan.message));
        }
    }

    fn record(&self, peer: &str, message: &LoanMessage) {
        let LoanMessage::Response(answer) = message else {
            return;
        };
        if answer.grants.is_empty() {
            return;
        }
        let tokens: u64 = answer.grants.iter().map(|grant| grant.tokens).sum();
        let quota = answer.key.to_string();
        let tokens = tokens / 1_000;
        let kind = if answer.request_id.host == self.identity.host {
            EventKind::LoanAccepted { quota, tokens }
        } else {
            EventKind::LoanGranted { quota, tokens }
        };
        let subject = EventSubject {
            peer: Some(peer.to_owned()),
            ..EventSubject::default()
        };
        self.ring.record(subject, kind);
    }
}
