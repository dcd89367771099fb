//! Probes that show whether this host reaches any target.

use crate::{
    errors::Result,
    metrics::GatewayMetrics,
    names,
    placement_log::log_blocks,
    policy::TrafficPolicy,
    policy_copy::PolicyCopy,
    reach::ReachChange,
    router::{RequestRouter, reaches::ProbedTarget},
};
use fighall_core::clock::boot_time;
use fighall_kernel::kernel::MicroKernel;
use fighall_net::pool::{ConnectError, ConnectionOptions, ConnectionPool};
use slog::{Logger, info, warn};
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Interval of the checks whether probes are needed.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit for a connection: several round trips between regions, but less than the retransmission timeout of a lost
/// SYN.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// `ReachProber` opens connections to targets of different availability zones while it is in doubt whether this host
/// reaches any.
pub struct ReachProber {
    router: Rc<RefCell<RequestRouter>>,
    policy: Rc<RefCell<PolicyCopy>>,
    pool: Rc<ConnectionPool>,
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
}

impl std::fmt::Debug for ReachProber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ReachProber").finish_non_exhaustive()
    }
}

impl ReachProber {
    /// Creates a prober from the services that are registered in `kernel`.
    ///
    /// # Errors
    ///
    /// Returns an error when a required service is not registered.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            router: kernel.find(names::ROUTER)?,
            policy: kernel.find(names::POLICY)?,
            pool: kernel.find(names::POOL)?,
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
        })
    }

    /// Probes while it is needed, until the process ends.
    pub async fn run(self) {
        for round in 0.. {
            while !self.router.borrow().reach.needs_probes() {
                self.record_ends();
                compio::time::sleep(CHECK_INTERVAL).await;
            }
            self.probe(round).await;
            self.record_ends();
            compio::time::sleep(ROUND_INTERVAL).await;
        }
    }

    fn record_ends(&self) {
        let mut router = self.router.borrow_mut();
        for (at, target) in router.reach.take_ends() {
            let blocked = router.record_ended(at, &target);
            log_blocks(&self.logger, &blocked, "attempt");
        }
    }

    async fn probe(&self, round: usize) {
        let policy = self.policy.borrow().policy();
        let Some(policy) = policy else {
            return;
        };
        let targets = self.router.borrow().probed_targets(boot_time(), round);
        let probes = targets.iter().map(|target| self.connect(&policy, target));
        let outcomes = futures_util::future::join_all(probes).await;
        // Probes that were not made show nothing.
        let reached = outcomes.iter().flatten().copied().max();
        let Some(reached) = reached else {
            return;
        };
        let mut router = self.router.borrow_mut();
        let change = router.reach.record_probes(reached);
        match change {
            Some(ReachChange::Lost) => {
                warn!(self.logger, "no target reachable"; "probed" => outcomes.len());
            }
            Some(ReachChange::Regained) => info!(self.logger, "targets reachable again"),
            None => {}
        }
        let unreachable = i64::from(router.reach.is_unreachable());
        self.metrics.targets_unreachable.set(unreachable);
    }

    // Opens a connection, which the pool keeps. Returns none if the limit on connections leaves none.
    async fn connect(&self, policy: &TrafficPolicy, target: &ProbedTarget) -> Option<bool> {
        let service = policy.services.get(&target.service)?;
        let hosts = u32::try_from(self.router.borrow().fleet.host_count()).unwrap_or(u32::MAX);
        let options = ConnectionOptions {
            max_idle_time: Duration::ZERO,
            max_connections: (service.max_connections / hosts).max(1),
        };
        let taken = self.pool.take(target.address, None, options);
        match compio::time::timeout(PROBE_TIMEOUT, taken).await {
            Ok(Ok(connection)) => {
                self.pool.put(connection);
                Some(true)
            }
            Ok(Err(ConnectError::Full { .. })) => None,
            Ok(Err(_)) | Err(_) => Some(false),
        }
    }
}
