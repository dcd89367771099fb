//! The targets: who gets the next request, and who waits.

mod absences;
mod outcomes;
mod queues;
mod rooms;

use self::outcomes::CancelledSlot;
use crate::{
    configuration::ConfigService,
    identity::HostIdentity,
    metrics::EntryMetrics,
    mirrors::MirrorService,
    names,
    quotas::QuotaService,
    request::RequestContext,
    slots::{SlotLease, Waiter, WaiterGuard},
};
use event_listener::Event;
use fighall_config::service::ServiceTarget;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, RegionId, ServiceId, TargetId},
    ring::EventRing,
    value,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_peer::mesh::PeerMesh;
use fighall_quota::slots::SlotPermit;
use fighall_route::{
    fair_queue::FairQueue,
    placement::{
        CandidateView, PlacementPolicy, PlacementQuery, TargetPlacement, list_candidates,
        select_target,
    },
    target_table::TargetTable,
};
use fighall_store::object::kinds;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::Duration,
};

/// Interval at which waiting requests are looked at without another cause.
const PUMP_INTERVAL: Duration = Duration::from_millis(20);

value! {
    /// `AcquireFailure` is why no target was had.
    pub enum AcquireFailure {
        /// The wait would exceed the deadline.
        TooLong {
            /// Expected wait.
            wait: Duration,
        },
        /// The queue holds too many requests.
        Full,
        /// The deadline passed while the request waited.
        Expired,
    }
}

#[derive(Debug)]
pub(crate) struct ServiceQueue {
    pub(crate) queue: FairQueue<Rc<Waiter>>,
    pub(crate) service_time: f64,
}

/// `TargetService` places requests on the targets of this host's region.
#[derive(Debug)]
pub struct TargetService {
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    mesh: Rc<PeerMesh>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    quotas: Rc<QuotaService>,
    metrics: Rc<EntryMetrics>,
    board: RefCell<TargetTable>,
    queues: RefCell<BTreeMap<ServiceId, ServiceQueue>>,
    rng: RefCell<fastrand::Rng>,
    policy: Cell<PlacementPolicy>,
    queue_limit: usize,
    drains: RefCell<BTreeMap<TargetId, BootTime>>,
    // Slots of cancelled requests, in the order in which they come free.
    cancelled: RefCell<VecDeque<CancelledSlot>>,
}

impl TargetService {
    /// Creates a service without targets; `queue_limit` bounds the waiting requests of a service.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel, queue_limit: usize) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            ring: kernel.find(names::EVENTS)?,
            mesh: kernel.find(names::MESH)?,
            mirrors: kernel.find(names::MIRRORS)?,
            config: kernel.find(names::CONFIGURATION)?,
            quotas: kernel.find(names::QUOTAS)?,
            metrics: kernel.find(names::METRICS)?,
            board: RefCell::new(TargetTable::new()),
            queues: RefCell::new(BTreeMap::new()),
            rng: RefCell::new(fastrand::Rng::new()),
            policy: Cell::new(PlacementPolicy::TwoChoices),
            queue_limit,
            drains: RefCell::new(BTreeMap::new()),
            cancelled: RefCell::new(VecDeque::new()),
        })
    }

    /// Sets how targets are picked; measurements compare policies.
    pub fn set_policy(&self, policy: PlacementPolicy) {
        self.policy.set(policy);
    }

    /// Takes over configurations as they come into force.
    pub async fn follow_config(self: Rc<Self>) {
        loop {
            let listener = self.config.listen();
            if let Some(config) = self.config.config() {
                let now = boot_time();
                self.board.borrow_mut().set_services(now, &config.services);
                self.apply_absences();
            }
            listener.await;
        }
    }

    /// Takes over drains as they change.
    pub async fn follow_commands(self: Rc<Self>) {
        loop {
            let listener = self.config.listen_commands();
            self.apply_absences();
            listener.await;
        }
    }

    /// Takes over the platform's list as it changes.
    pub async fn follow_list(self: Rc<Self>) {
        loop {
            let Some(listener) = self.mirrors.listen(kinds::HOSTS) else {
                return;
            };
            self.apply_absences();
            listener.await;
        }
    }

    /// Looks after waiting requests until the process stops.
    pub async fn keep(self: Rc<Self>) {
        loop {
            self.release_cancelled();
            let services: Vec<_> = self.queues.borrow().keys().cloned().collect();
            for service in services {
                self.pump(&service);
                self.ask_for_slots(&service);
            }
            self.note_drains();
            self.set_gauges();
            compio::time::sleep(PUMP_INTERVAL).await;
        }
    }

    /// Takes a slot of a target of this region at once, if one is free and nobody waits. Targets
    /// that look unhealthy count only as a last resort.
    pub fn acquire_now(
        self: &Rc<Self>,
        context: &RequestContext,
        tried: &[TargetId],
        last_resort: bool,
    ) -> Option<SlotLease> {
        let waiting = {
            let queues = self.queues.borrow();
            queues
                .get(&context.service)
                .is_some_and(|queue| !queue.queue.is_empty())
        };
        if waiting {
            return None;
        }
        let affinity = context.affinity();
        self.take_slot(
            &context.service,
            tried,
            affinity,
            context.deadline,
            last_resort,
        )
    }

    /// Waits in the fair queue for a slot of a target of this region.
    ///
    /// # Errors
    ///
    /// Returns a failure as early as it is known that the deadline cannot be met.
    pub async fn acquire(
        self: &Rc<Self>,
        context: &RequestContext,
        tried: &[TargetId],
    ) -> std::result::Result<SlotLease, AcquireFailure> {
        if let Some(lease) = self.acquire_now(context, tried, true) {
            return Ok(lease);
        }
        let wait = self.expected_wait(
            &context.service,
            context.organisation_name(),
            context.weight,
        );
        let now = boot_time();
        if now + wait > context.deadline {
            return Err(AcquireFailure::TooLong { wait });
        }
        let waiter = Rc::new(Waiter {
            organisation: context.organisation_name().to_owned(),
            weight: context.weight,
            deadline: context.deadline,
            tried: tried.to_vec(),
            affinity: context.affinity().map(str::to_owned),
            lease: RefCell::new(None),
            gone: Cell::new(false),
            evicted: Cell::new(false),
            ready: Event::new(),
        });
        let _guard = WaiterGuard(Rc::clone(&waiter));
        self.enqueue(context, &waiter)?;
        self.pump(&context.service);
        self.wait_for_lease(&waiter).await
    }

    /// Gets the wait that a new request of an organisation must expect.
    pub fn expected_wait(&self, service: &str, organisation: &str, weight: u64) -> Duration {
        let queues = self.queues.borrow();
        let Some(entry) = queues.get(service) else {
            return Duration::ZERO;
        };
        let ahead = entry.queue.requests_ahead(organisation, weight);
        let slots = self.held_slots(service).max(1);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let rounds = f64::from(ahead) / f64::from(slots);
        Duration::from_secs_f64((rounds * entry.service_time).min(3_600.0))
    }

    /// Tells whether this region has a target of a service that takes work.
    pub fn serves(&self, service: &str, region: &str) -> usize {
        let board = self.board.borrow();
        let mut count = 0;
        for name in board.targets_of(service) {
            let record = board.get(name);
            let takes = record
                .is_some_and(|record| record.target.region == region && record.drain.is_none());
            count += usize::from(takes);
        }
        count
    }

    /// Lists the regions that have targets of a service.
    pub fn regions_of(&self, service: &str) -> Vec<RegionId> {
        let board = self.board.borrow();
        let mut regions = Vec::new();
        for name in board.targets_of(service) {
            let Some(record) = board.get(name) else {
                continue;
            };
            if !regions.contains(&record.target.region) {
                regions.push(record.target.region.clone());
            }
        }
        regions
    }

    /// Gets the usual latency of a service.
    pub fn usual_latency(&self, service: &str) -> Option<Duration> {
        self.board.borrow().median_latency(service)
    }

    /// Lists the candidates for a request with what stands in the way of each.
    pub fn explain(&self, service: &str, region: &RegionId) -> Vec<CandidateView> {
        let query = PlacementQuery {
            service,
            region,
            zone: &self.identity.zone,
            tried: &[],
            policy: self.policy.get(),
            affinity: None,
            allow_ejected: false,
        };
        let board = self.board.borrow();
        list_candidates(&board, boot_time(), &query, |target| self.room(target))
    }

    /// Runs `read` over the board.
    pub fn with_board<T>(&self, read: impl FnOnce(&mut TargetTable) -> T) -> T {
        read(&mut self.board.borrow_mut())
    }

    /// Tells whether requests wait here for longer than they should.
    pub fn is_overloaded(&self) -> bool {
        let queues = self.queues.borrow();
        queues
            .values()
            .any(|entry| entry.queue.len() * 4 > self.queue_limit)
    }

    pub(crate) fn pick(
        &self,
        service: &str,
        tried: &[TargetId],
        affinity: Option<&str>,
        last_resort: bool,
    ) -> Option<TargetPlacement> {
        let query = PlacementQuery {
            service,
            region: &self.identity.region,
            zone: &self.identity.zone,
            tried,
            policy: self.policy.get(),
            affinity,
            allow_ejected: last_resort,
        };
        let mut board = self.board.borrow_mut();
        let mut rng = self.rng.borrow_mut();
        select_target(&mut board, boot_time(), &query, &mut rng, |target| {
            self.room(target)
        })
    }

    pub(crate) fn take_slot(
        self: &Rc<Self>,
        service: &str,
        tried: &[TargetId],
        affinity: Option<&str>,
        deadline: BootTime,
        last_resort: bool,
    ) -> Option<SlotLease> {
        let mut refused: Vec<TargetId> = tried.to_vec();
        loop {
            let placement = self.pick(service, &refused, affinity, last_resort)?;
            match self.quotas.occupy(&placement.target, deadline) {
                Some(ticket) => return self.new_lease(service, placement, ticket),
                // The free slots are borrowed and end too early for this request.
                None => refused.push(placement.target),
            }
        }
    }

    fn new_lease(
        self: &Rc<Self>,
        service: &str,
        placement: TargetPlacement,
        ticket: SlotPermit,
    ) -> Option<SlotLease> {
        let mut board = self.board.borrow_mut();
        let record = board.get_mut(&placement.target)?;
        record.in_flight += 1;
        let targets = Rc::clone(self);
        Some(SlotLease {
            watcher: Box::new(move |target, event| targets.take_event(target, event)),
            target: placement.target,
            address: record.target.address,
            region: record.target.region.clone(),
            connections: self.connection_share(&record.target),
            reason: placement.reason,
            runners_up: placement.runners_up,
            service: service.to_owned(),
            ticket: Some(ticket),
            taken_at: boot_time(),
            cancelled: Cell::new(false),
        })
    }

    fn connection_share(&self, target: &ServiceTarget) -> u32 {
        let members = self
            .config
            .config()
            .map_or(1, |config| config.fleet.members_in(&target.region));
        (target.connections / members.max(1)).max(1)
    }

    /// Gets the mesh, for views of other regions.
    pub fn mesh(&self) -> &PeerMesh {
        &self.mesh
    }
}
