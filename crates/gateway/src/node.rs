//! The gateway process: start-up, listeners, periodic maintenance and graceful shutdown.

mod peer_copies;
mod registration;

use crate::{
    decision::OwnHost,
    dialect::WireDialect,
    directory::{self, LookupResponse, OwnEndpoint},
    errors::Result,
    follow::{FOLLOWED_KINDS, StoreFollower},
    metrics::GatewayMetrics,
    names,
    peers::BeatService,
    placement_log::log_limit_changes,
    policy::CallerLimits,
    policy_copy::PolicyCopy,
    pressure::PressureReport,
    proxy::CallerProxy,
    reach_probe::ReachProber,
    reload::{SettingsFile, SettingsReload},
    response_body::process_budget,
    reuse::DEFAULT_IDLE_LIMIT,
    rollout::RolloutTracker,
    rollout_log::log_rollouts,
    roster::TargetRoster,
    router::RequestRouter,
    settings::GatewaySettings,
    settings_status::SettingsStatus,
    turn_report::DelayMonitor,
};
use bytes::Bytes;
use compio::net::TcpListener;
use fighall_core::{
    clock::{boot_time, wall_millis},
    ids::{BootTime, Incarnation, Version},
};
use fighall_kernel::{
    kernel::{MicroKernel, SIGHUP, SIGTERM, keep_signal_handler},
    stage::LifeStage,
};
use fighall_net::{
    body::ProxyBody,
    connections::{ConnectionTable, TableOptions, max_connections},
    listener::{ListenerLimits, bind, serve, serve_pipelined},
    pool::ConnectionPool,
};
use fighall_store::client::{ClientOptions, StoreClient};
use http::{HeaderValue, Request, Response, StatusCode, header::CONTENT_TYPE};
use hyper::body::Incoming;
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Interval at which averages, spill weights and expired entries are updated.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time to live of look-up responses: short, so that callers soon stop using a failed host.
const LOOKUP_TTL: Duration = Duration::from_millis(1_500);
/// Time after the stop signal during which new connections are accepted, until cached look-up responses
/// have expired.
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(2_000);
/// Margin before the shutdown timeout at which the process exits even with requests in flight, since
/// the platform's kill signal may come slightly early.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// Timeout for deleting the host's entry from the store at shutdown.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(800);

/// Bytes of a head beyond the limit on its fields, for the request line.
const REQUEST_LINE_ALLOWANCE: usize = 4 * 1_024;
/// Idle timeout of connections to the readiness, look-up and metrics listeners and that for hosts: several polling intervals.
const AUXILIARY_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

struct BoundListeners {
    callers: TcpListener,
    peers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    metrics: TcpListener,
}

/// `GatewayNode` is a running gateway process.
pub struct GatewayNode {
    settings: Rc<GatewaySettings>,
    dialect: Rc<WireDialect>,
    kernel: Rc<MicroKernel>,
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    pool: Rc<ConnectionPool>,
    connections: Rc<ConnectionTable>,
    pressure: PressureReport,
    store: Rc<StoreClient>,
    follower: Rc<StoreFollower>,
    beat_service: Rc<BeatService>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
    incarnation: Incarnation,
    registered_version: Cell<Option<Version>>,
    settings_status: Rc<Cell<SettingsStatus>>,
    rollouts: RefCell<RolloutTracker>,
    // When the copies that other hosts fetched are sent, at the rate for them.
    copies_sent_by: Cell<BootTime>,
}

impl std::fmt::Debug for GatewayNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatewayNode")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl GatewayNode {
    /// Binds the listening sockets, registers the services and spawns their tasks.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound or a service cannot be set up.
    pub async fn start(
        settings: GatewaySettings,
        file: SettingsFile,
        dialect: WireDialect,
        logger: Logger,
    ) -> Result<Rc<Self>> {
        let listeners = BoundListeners {
            callers: bind(settings.callers).await?,
            peers: bind(settings.peers).await?,
            ready: bind(settings.ready).await?,
            directory: bind(settings.directory).await?,
            metrics: bind(settings.metrics).await?,
        };
        let kernel = MicroKernel::new();
        register_services(&kernel, settings, dialect, logger)?;
        let follower = Rc::new(StoreFollower::new(&kernel)?);
        kernel.register(names::FOLLOWER, Rc::clone(&follower))?;
        let beat_service = Rc::new(BeatService::bind(&kernel).await?);
        let reload = Rc::new(SettingsReload::new(&kernel, file)?);
        kernel.spawn_service(reload.watch_file());
        kernel.spawn_service(ReachProber::new(&kernel)?.run());
        kernel.spawn_service(DelayMonitor::new(&kernel)?.run());
        for signal in [SIGHUP, SIGTERM] {
            kernel.spawn_service(keep_signal_handler(signal));
        }
        let incarnation: Rc<Incarnation> = kernel.find(names::INCARNATION)?;
        let gateway = Rc::new(Self {
            settings: kernel.find(names::SETTINGS)?,
            dialect: kernel.find(names::DIALECT)?,
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            pool: kernel.find(names::POOL)?,
            connections: kernel.find(names::CONNECTIONS)?,
            pressure: PressureReport::default(),
            store: kernel.find(names::STORE)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
            incarnation: *incarnation,
            registered_version: Cell::new(None),
            settings_status: kernel.find(names::SETTINGS_STATUS)?,
            rollouts: RefCell::new(RolloutTracker::default()),
            copies_sent_by: Cell::new(Duration::ZERO),
            kernel,
            follower,
            beat_service,
        });
        gateway.spawn_services();
        gateway.spawn_listeners(listeners)?;
        gateway.enter_stage(LifeStage::Running);
        Ok(gateway)
    }

    /// Shuts down gracefully: announces the stop to peers and in the directory, accepts new connections
    /// until cached look-up responses have expired, then waits for requests in flight.
    pub async fn stop(&self) {
        let started_at = boot_time();
        let stop_timeout = self.router.borrow().bounds.stop;
        let ends_at = started_at + stop_timeout.saturating_sub(STOP_MARGIN);
        self.router.borrow_mut().ends_at = Some(ends_at);
        self.enter_stage(LifeStage::Announcing);
        self.beat_service.send_heartbeats().await;
        let elapsed = boot_time().saturating_sub(started_at);
        compio::time::sleep(ANNOUNCE_PERIOD.saturating_sub(elapsed)).await;
        self.enter_stage(LifeStage::Refusing);
        self.connections_ended_by(ends_at.saturating_sub(UNREGISTER_TIMEOUT))
            .await;
        // Once this host is unregistered, the others take over its shares of rate limits and warm-up
        // rates. It therefore starts no attempt from here on; attempts in flight continue.
        self.enter_stage(LifeStage::Finishing);
        let (ended, ()) =
            futures_util::future::join(self.connections_ended_by(ends_at), self.unregister()).await;
        if !ended {
            warn!(self.logger, "stopped with requests in flight";
                "connections" => self.kernel.work_count());
        }
        self.enter_stage(LifeStage::Left);
    }

    // Waits until all connections have ended. Returns false if some are still open at `at`.
    async fn connections_ended_by(&self, at: BootTime) -> bool {
        let time_left = at.saturating_sub(boot_time());
        let ended = compio::time::timeout(time_left, self.kernel.wait_for_work()).await;
        ended.is_ok()
    }

    /// Tells whether the host accepts callers: it is running and its copies of the store are complete.
    pub fn is_ready(&self) -> bool {
        self.kernel.signal().stage() == LifeStage::Running && self.follower.has_synced()
    }

    fn enter_stage(&self, stage: LifeStage) {
        self.kernel.signal().enter(stage);
        info!(self.logger, "stage entered"; "stage" => format!("{stage:?}").to_lowercase());
    }

    fn spawn_services(self: &Rc<Self>) {
        for kind in FOLLOWED_KINDS {
            let follower = Rc::clone(&self.follower);
            self.kernel.spawn_service(follower.follow(kind));
        }
        let kernel = &self.kernel;
        kernel.spawn_service(Rc::clone(&self.follower).run_checks());
        kernel.spawn_service(Rc::clone(&self.follower).follow_eras());
        kernel.spawn_service(Rc::clone(&self.follower).check_start());
        kernel.spawn_service(Rc::clone(&self.beat_service).run_receiver());
        kernel.spawn_service(Rc::clone(&self.beat_service).run_sender());
        kernel.spawn_service(Rc::clone(&self.beat_service).run_forwarder());
        kernel.spawn_service(Rc::clone(self).register());
        kernel.spawn_service(Rc::clone(self).maintain());
    }

    fn spawn_listeners(self: &Rc<Self>, listeners: BoundListeners) -> Result<()> {
        let kernel = &self.kernel;
        let proxy = Rc::new(CallerProxy::new(kernel)?);
        let policy = Rc::clone(&self.policy);
        let callers = serve_pipelined(
            Rc::clone(kernel),
            listeners.callers,
            Rc::clone(&self.connections),
            move || {
                let policy = policy.borrow().policy();
                let limits =
                    policy.map_or_else(CallerLimits::default, |policy| policy.limits.clone());
                listener_limits(&limits)
            },
            move |request, turn| {
                let proxy = Rc::clone(&proxy);
                // Boxed, because hyper reserves space for the future also while a connection is idle.
                async move { Box::pin(proxy.serve(request, turn)).await }
            },
        );
        kernel.spawn_service(callers);
        kernel.spawn_service(self.serve_peers(listeners.peers));
        for listener in [listeners.ready, listeners.directory, listeners.metrics] {
            let gateway = Rc::clone(self);
            let server = serve(
                Rc::clone(kernel),
                listener,
                Rc::clone(&self.connections),
                auxiliary_limits,
                move |request, _| {
                    let gateway = Rc::clone(&gateway);
                    async move { gateway.handle_auxiliary(&request) }
                },
            );
            kernel.spawn_service(server);
        }
        Ok(())
    }

    // Handles readiness checks, look-ups and metrics requests.
    fn handle_auxiliary(&self, request: &Request<Incoming>) -> Response<ProxyBody> {
        let path = request.uri().path();
        if path == (self.dialect.ready_path)() {
            let status = if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return build_response(status, String::new(), None);
        }
        if path == (self.dialect.lookup_path)() {
            return self.look_up(request.uri().query().unwrap_or(""));
        }
        if path == "/metrics" {
            return match self.metrics.encode() {
                Ok(text) => build_response(StatusCode::OK, text, Some("text/plain; version=0.0.4")),
                Err(error) => {
                    warn!(self.logger, "encoding the metrics failed"; "error" => error.to_string());
                    build_response(StatusCode::INTERNAL_SERVER_ERROR, String::new(), None)
                }
            };
        }
        build_response(StatusCode::NOT_FOUND, String::new(), None)
    }

    fn look_up(&self, query: &str) -> Response<ProxyBody> {
        let query = (self.dialect.read_lookup)(query);
        let own = OwnEndpoint {
            region: self.settings.region.clone(),
            callers: self.settings.callers,
            accepts_callers: self.is_ready(),
            targets_unreachable: self.router.borrow().reach.is_unreachable(),
        };
        let router = self.router.borrow();
        let addresses = directory::select_addresses(&router.fleet, boot_time(), &own, &query);
        if addresses.is_empty() {
            return build_response(StatusCode::SERVICE_UNAVAILABLE, String::new(), None);
        }
        let response = LookupResponse {
            addresses,
            ttl: LOOKUP_TTL.min(router.bounds.lookup_lifetime),
        };
        match (self.dialect.write_lookup)(&response) {
            Ok(body) => build_response(StatusCode::OK, body, Some("application/json")),
            Err(error) => {
                warn!(self.logger, "encoding the look-up response failed"; "error" => error);
                build_response(StatusCode::INTERNAL_SERVER_ERROR, String::new(), None)
            }
        }
    }

    // Updates the metrics of what is in force. Completed rollouts are logged by the relays, so that each is
    // reported once for a zone.
    fn follow_rollouts(&self, now: BootTime) {
        let own = self.follower.copy_status(now);
        let router = self.router.borrow();
        let versions = router.fleet.versions(now, own);
        self.metrics
            .rollouts
            .update(&self.settings_status.get(), &versions);
        let events = self.rollouts.borrow_mut().update(now, &own, &versions);
        if router.fleet.is_relay(now, &self.settings.host) {
            log_rollouts(&self.logger, &self.settings.zone, &events);
        }
    }

    async fn maintain(self: Rc<Self>) {
        loop {
            compio::time::sleep(TICK_INTERVAL).await;
            let now = boot_time();
            self.pool.prune();
            self.connections.mark_time();
            self.pressure
                .update(&self.connections, &self.metrics, &self.logger);
            let policy = self.policy.borrow().policy();
            let Some(policy) = policy else {
                continue;
            };
            let expired = self.router.borrow_mut().tick(now, &policy);
            for target in expired {
                info!(self.logger, "target dropped"; "target" => target);
            }
            let changes = self.router.borrow_mut().update_limits(now);
            log_limit_changes(&self.logger, &changes, "expired");
            let age = self.policy.borrow().age(now).unwrap_or_default();
            let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
            self.metrics.policy_age_ms.set(age);
            self.metrics
                .limits
                .update(now, &self.router.borrow().roster);
            self.follow_rollouts(now);
            let blocked_count = self.router.borrow().crashes.blocked_count();
            self.metrics
                .blocked_requests
                .set(i64::try_from(blocked_count).unwrap_or(i64::MAX));
            let live_count = self.router.borrow().fleet.live_count(now);
            self.metrics
                .hosts
                .set(i64::try_from(live_count).unwrap_or(i64::MAX));
        }
    }
}

fn register_services(
    kernel: &Rc<MicroKernel>,
    settings: GatewaySettings,
    dialect: WireDialect,
    logger: Logger,
) -> Result<()> {
    let incarnation: Incarnation = wall_millis();
    let own = OwnHost {
        host: settings.host.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        incarnation,
    };

    let roster = TargetRoster::new(settings.zones.clone());
    let router = RequestRouter::new(boot_time(), own, settings.bounds, roster);
    let options = ClientOptions {
        calls_per_second: settings.store_calls,
        ..ClientOptions::with_address(settings.store.to_string())
    };
    let store = StoreClient::new(options)?.with_mapping(dialect.store);
    let logger = Rc::new(logger);
    let metrics = Rc::new(GatewayMetrics::new()?);
    let pool = ConnectionPool::new()
        .with_source_address(Some(settings.callers.ip()))
        .with_idle_timeout(DEFAULT_IDLE_LIMIT)
        .with_surplus_observer(surplus_observer(&logger, &metrics));
    let connections = ConnectionTable::new(TableOptions {
        budget: process_budget(settings.memory_mb),
        max_connections: max_connections(settings.max_descriptors),
    });
    kernel.register(names::CONNECTIONS, connections)?;
    let status = SettingsStatus::new(&settings);
    kernel.register(names::SETTINGS_STATUS, Rc::new(Cell::new(status)))?;
    kernel.register(names::SETTINGS, Rc::new(settings))?;
    kernel.register(names::DIALECT, Rc::new(dialect))?;
    kernel.register(names::LOGGER, logger)?;
    kernel.register(names::METRICS, metrics)?;
    kernel.register(names::STORE, Rc::new(store))?;
    kernel.register(names::POOL, Rc::new(pool))?;
    kernel.register(names::POLICY, Rc::new(RefCell::new(PolicyCopy::default())))?;
    kernel.register(names::ROUTER, Rc::new(RefCell::new(router)))?;
    kernel.register(names::INCARNATION, Rc::new(incarnation))?;
    Ok(())
}

// Counts and logs bytes that arrived on an idle connection to a target or host.
fn surplus_observer(
    logger: &Rc<Logger>,
    metrics: &Rc<GatewayMetrics>,
) -> impl Fn(SocketAddr, u64) + use<> {
    let (logger, metrics) = (Rc::clone(logger), Rc::clone(metrics));
    move |address, connection| {
        let labels = ["idle"];
        metrics.surplus_responses.with_label_values(&labels).inc();
        info!(logger, "surplus bytes on an idle connection";
            "address" => address, "connection" => connection);
    }
}

fn auxiliary_limits() -> ListenerLimits {
    ListenerLimits {
        idle_timeout: AUXILIARY_IDLE_TIMEOUT,
        ..ListenerLimits::default()
    }
}

fn listener_limits(limits: &CallerLimits) -> ListenerLimits {
    ListenerLimits {
        max_head_bytes: limits.max_head_bytes + REQUEST_LINE_ALLOWANCE,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
        max_body_bytes: limits.max_body_bytes,
    }
}

fn build_response(
    status: StatusCode,
    body: String,
    content_type: Option<&'static str>,
) -> Response<ProxyBody> {
    let mut response = Response::new(ProxyBody::full(Bytes::from(body)));
    *response.status_mut() = status;
    if let Some(content_type) = content_type {
        let value = HeaderValue::from_static(content_type);
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response
}
