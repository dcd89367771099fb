//! Probes of targets whose connections broke: whether their processes have ended.

use super::CallerProxy;
use crate::{decision::TargetPlacement, placement_log::log_blocks, router::RequestRouter};
use fighall_core::{clock::boot_time, ids::TargetId};
use fighall_net::pool::{ConnectError, ConnectionOptions, ConnectionPool};
use slog::Logger;
use std::{cell::RefCell, collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

/// Time limit for a connection to the target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Targets that are being probed.
pub(super) type ProbedTargets = Rc<RefCell<BTreeSet<TargetId>>>;

// What one probe needs.
struct TargetProbe {
    pool: Rc<ConnectionPool>,
    router: Rc<RefCell<RequestRouter>>,
    logger: Rc<Logger>,
    probed: ProbedTargets,
    target: TargetId,
    address: SocketAddr,
    need: ConnectionOptions,
}

impl CallerProxy {
    /// Finds out whether a target has ended, unless that is being done.
    pub(super) fn probe(&self, placement: &TargetPlacement) {
        if !self.probed.borrow_mut().insert(placement.target.clone()) {
            return;
        }
        let probe = TargetProbe {
            pool: Rc::clone(&self.pool),
            router: Rc::clone(&self.router),
            logger: Rc::clone(&self.logger),
            probed: Rc::clone(&self.probed),
            target: placement.target.clone(),
            address: placement.address,
            need: ConnectionOptions {
                max_idle_time: Duration::ZERO,
                max_connections: placement.max_connections,
            },
        };
        self.kernel.spawn_service(probe.run());
    }
}

impl TargetProbe {
    async fn run(self) {
        let taken = self.pool.take(self.address, None, self.need);
        let taken = compio::time::timeout(PROBE_TIMEOUT, taken).await;
        let now = boot_time();
        self.probed.borrow_mut().remove(&self.target);
        match taken {
            Ok(Ok(connection)) => {
                self.pool.put(connection);
                let mut router = self.router.borrow_mut();
                router.crashes.record_alive(&self.target, now);
            }
            Ok(Err(ConnectError::Refused {
                port_closed: true, ..
            })) => {
                let mut router = self.router.borrow_mut();
                router.reach.record_failure(&self.target);
                if !router.reach.hold_end(now, &self.target) {
                    let blocked = router.record_ended(now, &self.target);
                    log_blocks(&self.logger, &blocked, "probe");
                }
            }
            _ => {}
        }
    }
}
