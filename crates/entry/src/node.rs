//! The daemon as a whole: start, the inbox of peers' messages, and the staged stop.

use crate::{
    authority::KeyAuthority,
    claims::ClaimService,
    configuration::ConfigService,
    errors::{Error, Result},
    forward::ForwardService,
    identity::HostIdentity,
    members::MemberService,
    metrics::EntryMetrics,
    mirrors::{MIRRORED, MirrorService},
    names,
    operator::OperatorService,
    probes::ProbeService,
    proxy::CallerProxy,
    quotas::QuotaService,
    settings::EntrySettings,
    targets::TargetService,
};
use compio::net::TcpListener;
use fighall_core::{
    clock::{boot_time, wall_millis},
    event::{EventKind, EventSubject},
    ring::EventRing,
};
use fighall_kernel::{kernel::MicroKernel, stage::LifeStage};
use fighall_net::{
    connections::{ConnectionTable, TableOptions},
    listener::{ListenerLimits, bind, serve},
    pool::ConnectionPool,
};
use fighall_peer::{
    accept::accept_links,
    mesh::PeerMesh,
    message::{HostState, PeerMessage, RecentPeer},
    notice::PeerNotice,
    options::MeshOptions,
};
use fighall_store::client::{ClientOptions, StoreClient};
use slog::{Logger, info};
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Interval at which the state that heartbeats carry is renewed.
const STATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time that is added to the lifetime of look-up answers before new connections are refused.
const ANNOUNCE_MARGIN: Duration = Duration::from_millis(500);
/// Time for the last messages to peers to go out.
const FLUSH_TIME: Duration = Duration::from_millis(300);

struct BoundListeners {
    callers: TcpListener,
    peers: TcpListener,
    forwards: TcpListener,
    operators: TcpListener,
}

/// `EntryNode` is a running entry host.
pub struct EntryNode {
    settings: EntrySettings,
    logger: Logger,
    kernel: Rc<MicroKernel>,
    identity: Rc<HostIdentity>,
    ring: Rc<EventRing>,
    mesh: Rc<PeerMesh>,
    mirrors: Rc<MirrorService>,
    config: Rc<ConfigService>,
    members: Rc<MemberService>,
    quotas: Rc<QuotaService>,
    targets: Rc<TargetService>,
}

impl std::fmt::Debug for EntryNode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryNode")
            .field("identity", &self.identity)
            .finish_non_exhaustive()
    }
}

impl EntryNode {
    /// Binds the listening sockets, registers the services and starts their tasks.
    ///
    /// # Errors
    ///
    /// Returns an error when a socket cannot be bound or a service cannot be set up.
    pub async fn start(settings: EntrySettings, logger: Logger) -> Result<Rc<Self>> {
        let listeners = bind_all(&settings).await?;
        let identity = Rc::new(new_identity(&settings, &listeners)?);
        let kernel = MicroKernel::new();
        let ring = Rc::new(EventRing::new(identity.host.clone(), settings.events));
        kernel.register(names::IDENTITY, Rc::clone(&identity))?;
        kernel.register(names::EVENTS, Rc::clone(&ring))?;
        kernel.register(names::METRICS, Rc::new(EntryMetrics::new()?))?;
        kernel.register(names::STORE, Rc::new(new_store(&settings)?))?;
        kernel.register(
            names::POOL,
            Rc::new(ConnectionPool::new().with_source_address(settings.source)),
        )?;
        let mesh = PeerMesh::new(
            mesh_options(&settings, &identity),
            Rc::clone(&kernel),
            Rc::clone(&ring),
        );
        kernel.register(names::MESH, Rc::clone(&mesh))?;
        let mirrors = Rc::new(MirrorService::new(&kernel)?);
        kernel.register(names::MIRRORS, Rc::clone(&mirrors))?;
        let config = Rc::new(ConfigService::new(&kernel)?);
        kernel.register(names::CONFIGURATION, Rc::clone(&config))?;
        let authority = Rc::new(KeyAuthority::new(&kernel)?);
        kernel.register(names::AUTHORITY, Rc::clone(&authority))?;
        kernel.spawn_service(authority.keep());
        let members = Rc::new(MemberService::new(&kernel, settings.seeds.clone())?);
        kernel.register(names::MEMBERS, Rc::clone(&members))?;
        let quotas = Rc::new(QuotaService::new(&kernel)?);
        kernel.register(names::QUOTAS, Rc::clone(&quotas))?;
        let targets = Rc::new(TargetService::new(&kernel, settings.queue)?);
        kernel.register(names::TARGETS, Rc::clone(&targets))?;
        kernel.register(names::CLAIMS, Rc::new(ClaimService::new(&kernel)?))?;
        let node = Rc::new(Self {
            settings,
            logger,
            kernel,
            identity,
            ring,
            mesh,
            mirrors,
            config,
            members,
            quotas,
            targets,
        });
        node.spawn_services();
        node.spawn_listeners(listeners)?;
        node.enter(LifeStage::Running);
        Ok(node)
    }

    /// Gets the host's identity, with the addresses that it is bound to.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Gets the micro-kernel, to find services by name.
    pub fn kernel(&self) -> &Rc<MicroKernel> {
        &self.kernel
    }

    /// Waits until the host has a configuration and may use its member id's shares.
    pub async fn ready(&self) {
        loop {
            if self.config.generation() > 0 && self.quotas.is_active() {
                return;
            }
            compio::time::sleep(STATE_INTERVAL / 5).await;
        }
    }

    /// Stops in stages, without cutting a request: look-ups and peers are told; new connections
    /// are taken until look-up answers have aged out; requests in flight end; shares go back and
    /// the member id is released.
    pub async fn stop(&self) {
        self.enter(LifeStage::Announcing);
        self.mesh.set_state(self.host_state());
        let ttl = self.config.config().map_or(Duration::ZERO, |config| {
            Duration::from_millis(config.fleet.lookup_ttl_ms)
        });
        compio::time::sleep(ttl + ANNOUNCE_MARGIN).await;
        self.enter(LifeStage::Refusing);
        let ended = self.kernel.wait_for_work();
        let _ = compio::time::timeout(self.settings.stop_limit, ended).await;
        self.enter(LifeStage::Finishing);
        self.quotas.give_all_back();
        compio::time::sleep(FLUSH_TIME).await;
        self.members.release(self.quotas.outstanding()).await;
        self.enter(LifeStage::Left);
    }

    /// Ends all tasks at once, as a crash would: nothing is told to anybody.
    pub fn kill(&self) {
        self.kernel.signal().enter(LifeStage::Left);
    }

    fn enter(&self, stage: LifeStage) {
        self.kernel.signal().enter(stage);
        let stage = format!("{stage:?}").to_lowercase();
        info!(self.logger, "stage entered"; "stage" => &stage);
        let kind = EventKind::StageEntered { stage };
        self.ring.record(EventSubject::default(), kind);
    }

    fn spawn_services(self: &Rc<Self>) {
        let kernel = &self.kernel;
        for kind in MIRRORED {
            let task = Rc::clone(&self.mirrors).follow((*kind).to_owned());
            kernel.spawn_service(task);
        }
        kernel.spawn_service(Rc::clone(&self.mirrors).guard_keys());
        kernel.spawn_service(Rc::clone(&self.config).follow());
        kernel.spawn_service(Rc::clone(&self.config).follow_commands());
        kernel.spawn_service(Rc::clone(&self.members).keep());
        kernel.spawn_service(Rc::clone(&self.members).follow_peers());
        kernel.spawn_service(Rc::clone(&self.quotas).keep());
        let targets = &self.targets;
        kernel.spawn_service(Rc::clone(targets).follow_config());
        kernel.spawn_service(Rc::clone(targets).follow_commands());
        kernel.spawn_service(Rc::clone(targets).follow_list());
        kernel.spawn_service(Rc::clone(targets).keep());
        kernel.spawn_service(Rc::clone(self).read_inbox());
        kernel.spawn_service(Rc::clone(self).renew_state());
    }

    fn spawn_listeners(&self, listeners: BoundListeners) -> Result<()> {
        let kernel = &self.kernel;
        let pause = self.settings.caller_timeout;
        kernel.spawn_service(Rc::new(ProbeService::new(kernel)?).keep());
        kernel.spawn_service(accept_links(Rc::clone(&self.mesh), listeners.peers));
        let proxy = Rc::new(CallerProxy::new(kernel, pause)?);
        let connections = ConnectionTable::new(TableOptions::default());
        let limits = |idle_timeout: Duration| {
            move || ListenerLimits {
                idle_timeout,
                ..ListenerLimits::default()
            }
        };
        let callers = serve(
            Rc::clone(kernel),
            listeners.callers,
            Rc::clone(&connections),
            limits(pause),
            move |request, remote| {
                let proxy = Rc::clone(&proxy);
                async move { proxy.serve(request, remote).await }
            },
        );
        kernel.spawn_service(callers);
        let forward = Rc::new(ForwardService::new(kernel, pause)?);
        let forwards = serve(
            Rc::clone(kernel),
            listeners.forwards,
            Rc::clone(&connections),
            limits(pause * 6),
            move |request, _| {
                let forward = Rc::clone(&forward);
                async move { forward.serve(request).await }
            },
        );
        kernel.spawn_service(forwards);
        let operator = Rc::new(OperatorService::new(kernel)?);
        let operators = serve(
            Rc::clone(kernel),
            listeners.operators,
            connections,
            limits(pause),
            move |request, _| {
                let operator = Rc::clone(&operator);
                async move { operator.serve(request).await }
            },
        );
        kernel.spawn_service(operators);
        Ok(())
    }

    async fn read_inbox(self: Rc<Self>) {
        loop {
            match self.mesh.next_notice().await {
                PeerNotice::Received { peer, message } => self.take_message(&peer, message),
                PeerNotice::Confirmed {
                    peer,
                    mirrors,
                    sent_at,
                } => {
                    self.members.note_heard(sent_at);
                    self.mirrors.take_confirmation(&peer, &mirrors, sent_at);
                }
                PeerNotice::Up { peer } => {
                    info!(self.logger, "link up"; "peer" => peer);
                }
                PeerNotice::Down { peer } => {
                    info!(self.logger, "link down"; "peer" => &peer);
                    self.targets
                        .with_board(|board| board.remove_peer_reports(&peer));
                }
            }
        }
    }

    fn take_message(&self, peer: &str, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(state) => self.targets.take_reports(peer, &state.targets),
            PeerMessage::Loan(loan) => self.quotas.handle(peer, &loan),
            PeerMessage::MirrorRequest { kind, after } => {
                if let Some(delta) = self.mirrors.delta(&kind, after) {
                    self.mesh.send(peer, PeerMessage::MirrorDelta(delta));
                }
            }
            PeerMessage::MirrorDelta(delta) => self.mirrors.take_delta(&delta),
            PeerMessage::DocumentRequest { digests } => {
                for digest in digests {
                    if let Some(text) = self.config.document(&digest) {
                        self.mesh.send(peer, PeerMessage::Document { digest, text });
                    }
                }
            }
            PeerMessage::Document { digest, text } => self.config.take_document(&digest, &text),
        }
    }

    async fn renew_state(self: Rc<Self>) {
        loop {
            self.mesh.set_state(self.host_state());
            compio::time::sleep(STATE_INTERVAL).await;
        }
    }

    fn host_state(&self) -> HostState {
        let running = self.kernel.signal().stage() == LifeStage::Running;
        let generation = self.config.generation();
        HostState {
            member: self.members.member(),
            generation,
            settled: self.quotas.settled(),
            open: running && self.quotas.is_active() && generation > 0,
            overloaded: self.targets.is_overloaded(),
            store_up: self.mirrors.is_store_up(),
            caller_address: self.identity.caller_address.clone(),
            forward_address: self.identity.forward_address.clone(),
            targets: self.targets.uses(),
            capacities: self.targets.rooms(),
            recent_peers: self.heard_peers(),
            demands: self.quotas.demands(),
        }
    }

    fn heard_peers(&self) -> Vec<RecentPeer> {
        let now = boot_time();
        let lease_time = self.members.lease_time();
        self.mesh.with_views(|views| {
            let mut heard = Vec::new();
            for view in views {
                let Some(incarnation) = view.last_incarnation else {
                    continue;
                };
                if view.is_alive(now, lease_time) {
                    heard.push(RecentPeer {
                        host: view.peer.host.clone(),
                        incarnation,
                    });
                }
            }
            heard
        })
    }
}

async fn bind_all(settings: &EntrySettings) -> Result<BoundListeners> {
    Ok(BoundListeners {
        callers: bind(settings.callers).await?,
        peers: bind(settings.peers).await?,
        forwards: bind(settings.forwards).await?,
        operators: bind(settings.operators).await?,
    })
}

fn new_identity(settings: &EntrySettings, listeners: &BoundListeners) -> Result<HostIdentity> {
    let address = |listener: &TcpListener| advertised(settings, listener);
    Ok(HostIdentity {
        host: settings.host.clone(),
        incarnation: wall_millis(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        caller_address: address(&listeners.callers)?,
        peer_address: address(&listeners.peers)?,
        forward_address: address(&listeners.forwards)?,
        operator_address: address(&listeners.operators)?,
        fleet_secret: settings.fleet_secret.clone(),
        operator_token: settings.operator_token.clone(),
    })
}

fn advertised(settings: &EntrySettings, listener: &TcpListener) -> Result<String> {
    let bound = listener
        .local_addr()
        .map_err(|error| Error::io("reading a bound address", error))?;
    let ip = settings.advertise.unwrap_or_else(|| bound.ip());
    Ok(SocketAddr::new(ip, bound.port()).to_string())
}

fn new_store(settings: &EntrySettings) -> Result<StoreClient> {
    let options = ClientOptions {
        addresses: settings.store.clone(),
        timeout: settings.store_timeout,
        calls_per_second: settings.store_calls,
        ..ClientOptions::default()
    };
    Ok(StoreClient::new(options)?)
}

fn mesh_options(settings: &EntrySettings, identity: &HostIdentity) -> MeshOptions {
    let secret = settings.fleet_secret.clone();
    let mut options = MeshOptions::with_host(&identity.host, identity.incarnation, secret);
    options.region = identity.region.clone();
    options.zone = identity.zone.clone();
    options.source_address = settings.source;
    options.heartbeat_interval = settings.heartbeat;
    options.link_timeout = settings.silence;
    options
}
