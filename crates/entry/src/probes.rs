//! Light probes of targets, by the one host of the region that rendezvous hashing picks, since
//! each costs the target time.

use crate::{
    configuration::ConfigService,
    exchange::{ExchangeBounds, ExchangeGuard, ReuseFlag, send},
    identity::HostIdentity,
    names,
    targets::TargetService,
};
use bytes::Bytes;
use fighall_config::service::{ServiceDocument, ServiceTarget};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, TargetId},
    message, rendezvous,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_net::{
    body::OutboundBody,
    pool::{ConnectionOptions, ConnectionPool},
};
use fighall_peer::mesh::PeerMesh;
use fighall_route::target_table::LoadReport;
use http::Request;
use http_body_util::BodyExt;
use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

/// Interval at which due probes are looked for.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a probe's answer.
const PROBE_LIMIT: Duration = Duration::from_millis(1_000);
/// Age of a peer's last sign beyond which it is not counted on to probe.
const ALIVE: Duration = Duration::from_secs(2);
/// Largest load report, in bytes.
const REPORT_LIMIT: usize = 4_096;

message! {
    /// `TargetLoad` is a target's load report.
    pub struct TargetLoad {
        /// Requests at the target now.
        pub in_flight: u32,
    }
}

/// `ProbeService` probes the targets that fall to this host.
#[derive(Debug)]
pub struct ProbeService {
    identity: Rc<HostIdentity>,
    config: Rc<ConfigService>,
    mesh: Rc<PeerMesh>,
    targets: Rc<TargetService>,
    pool: Rc<ConnectionPool>,
    due: RefCell<BTreeMap<TargetId, BootTime>>,
}

impl ProbeService {
    /// Creates a service.
    ///
    /// # Errors
    ///
    /// Returns an error when a service that it needs is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            identity: kernel.find(names::IDENTITY)?,
            config: kernel.find(names::CONFIGURATION)?,
            mesh: kernel.find(names::MESH)?,
            targets: kernel.find(names::TARGETS)?,
            pool: kernel.find(names::POOL)?,
            due: RefCell::new(BTreeMap::new()),
        })
    }

    /// Probes until the process stops.
    pub async fn keep(self: Rc<Self>) {
        loop {
            compio::time::sleep(LOOK_INTERVAL).await;
            self.pool.prune();
            let Some(config) = self.config.config() else {
                continue;
            };
            for service in config.services.values() {
                self.start_due(service);
            }
        }
    }

    fn start_due(self: &Rc<Self>, service: &ServiceDocument) {
        let paths = [&service.health_path, &service.load_path];
        if paths.iter().all(|path| path.is_empty()) {
            return;
        }
        let now = boot_time();
        let interval = Duration::from_millis(service.probe_ms);
        for target in &service.targets {
            if target.region != self.identity.region || !self.is_prober(&target.name) {
                continue;
            }
            let mut due = self.due.borrow_mut();
            let at = due.get(&target.name).copied().unwrap_or_default();
            if at > now {
                continue;
            }
            due.insert(target.name.clone(), now + interval);
            let task = Rc::clone(self);
            let (service, target) = (service.clone(), target.clone());
            compio::runtime::spawn(async move { task.probe(&service, &target).await }).detach();
        }
    }

    fn is_prober(&self, target: &str) -> bool {
        let now = boot_time();
        let mut hosts = vec![self.identity.host.clone()];
        self.mesh.with_views(|views| {
            for view in views {
                let near = view.peer.region == self.identity.region;
                if near && view.is_alive(now, ALIVE) && view.state.open {
                    hosts.push(view.peer.host.clone());
                }
            }
        });
        rendezvous::rank(target, &mut hosts, String::clone);
        hosts.first() == Some(&self.identity.host)
    }

    async fn probe(&self, service: &ServiceDocument, target: &ServiceTarget) {
        if !service.health_path.is_empty() {
            let answer = self.get(target, &service.health_path).await;
            self.targets.note_probe(&target.name, answer.is_some());
        }
        if !service.load_path.is_empty() {
            let answer = self.get(target, &service.load_path).await;
            let load = answer.and_then(|bytes| serde_json::from_slice::<TargetLoad>(&bytes).ok());
            if let Some(load) = load {
                self.note_load(&target.name, &load);
            }
        }
    }

    fn note_load(&self, target: &str, load: &TargetLoad) {
        let report = LoadReport {
            in_flight: load.in_flight,
            received_at: boot_time(),
        };
        self.targets.with_board(|board| {
            if let Some(record) = board.get_mut(target) {
                record.load = Some(report);
            }
        });
    }

    async fn get(&self, target: &ServiceTarget, path: &str) -> Option<Bytes> {
        let mut guard = ExchangeGuard::new(Rc::clone(&self.pool), None, ReuseFlag::default());
        let request = Request::builder()
            .uri(path)
            .header(http::header::HOST, target.name.as_str())
            .body(OutboundBody::full(Bytes::new()))
            .ok()?;
        let bounds = ExchangeBounds {
            need: ConnectionOptions {
                max_idle_time: PROBE_LIMIT * 5,
                max_connections: target.connections,
            },
            give_up_at: boot_time() + PROBE_LIMIT,
        };
        let response = send(&mut guard, target.address, request, bounds)
            .await
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        let limited = http_body_util::Limited::new(response.into_body(), REPORT_LIMIT);
        let collected = compio::time::timeout(PROBE_LIMIT, limited.collect()).await;
        let bytes = collected.ok()?.ok()?.to_bytes();
        guard.finish();
        Some(bytes)
    }
}
