//! Check at the start of a host: a store that came back from an older copy may lack a policy that other hosts have in
//! force. A host that starts queries them before it serves.

use super::{STARTUP_GRACE, StoreFollower};
use crate::message::{CopyStatus, FollowedKind};
use bytes::Bytes;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
};
use fighall_net::{
    call::{CallError, call},
    pool::{ConnectError, ConnectionPool},
};
use fighall_store::era::era_of;
use futures_util::future::join_all;
use http::{Request, StatusCode, header::HOST};
use slog::info;
use std::{net::SocketAddr, rc::Rc, time::Duration};

/// Path at which a host reports the versions of its copies to others.
pub const STATUS_PATH: &str = "/status";
/// Time within which a host responds.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest report, in bytes.
const MAX_STATUS_BYTES: usize = 4 << 10;
/// Number of hosts that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 24;
/// Interval at which a host that starts looks whether it has listed the store's objects.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which a report counts: until heartbeats arrive, and their senders have read what the store has.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// `StartReport` is what other hosts had in force when this one started.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartReport {
    received_at: BootTime,
    copies: CopyStatus,
}

/// `StatusOutcome` is the outcome of a status request to a host.
enum StatusOutcome {
    /// The host serves callers and has reported its versions.
    Reported(CopyStatus),
    /// The host is starting as well, or has no process.
    NotServing,
    /// The host may have a later policy: it did not respond, or is of an earlier build.
    Undetermined,
}

impl StoreFollower {
    /// Gets this host's report to one that starts; none before this host may serve.
    pub fn status_report(&self) -> Option<CopyStatus> {
        self.has_synced().then(|| self.copy_status(boot_time()))
    }

    /// Queries other hosts once this one has read the store, and then lets it serve.
    pub async fn check_start(self: Rc<Self>) {
        let state = |kind| self.kinds.get(&kind);
        let is_listed = |kind| state(kind).is_some_and(|state| state.listed.get());
        while !is_listed(FollowedKind::Hosts) || !is_listed(FollowedKind::Policy) {
            compio::time::sleep(LIST_CHECK_INTERVAL).await;
        }
        if self.may_lack_policies() {
            self.query_hosts(boot_time() + STARTUP_GRACE).await;
        }
        self.start_checked.set(true);
    }

    // A store that has never come back from a copy has all that it acknowledged.
    pub(super) fn may_lack_policies(&self) -> bool {
        self.store.era() > 0
    }

    async fn query_hosts(&self, ends_at: BootTime) {
        let mut addresses = self.router.borrow().fleet.peer_addresses();
        fastrand::shuffle(&mut addresses);
        let (mut report_count, mut is_complete) = (0_usize, true);
        for addresses in addresses.chunks(MAX_CONCURRENT_QUERIES) {
            if report_count > 0 || boot_time() >= ends_at {
                break;
            }
            let requests = addresses.iter().map(|address| request_status(*address));
            for outcome in join_all(requests).await {
                match outcome {
                    StatusOutcome::Reported(copies) => {
                        report_count += 1;
                        self.start_reports.borrow_mut().push(StartReport {
                            received_at: boot_time(),
                            copies,
                        });
                    }
                    StatusOutcome::NotServing => {}
                    StatusOutcome::Undetermined => is_complete = false,
                }
            }
        }
        let now = boot_time();
        self.compare_with_peers(now);
        info!(self.logger, "start compared with other hosts";
            "hosts" => addresses.len(),
            "reports" => report_count,
            "outdated" => self.policy.borrow().is_outdated(),
        );
        // Heartbeats of hosts that did not respond arrive within this time.
        if report_count == 0 && !is_complete {
            compio::time::sleep(ends_at.saturating_sub(now)).await;
            self.compare_with_peers(boot_time());
        }
    }

    // Gets the latest policy number that another host reports and that shows, with the version of the store that the host
    // has read, that the store lacks a policy.
    pub(super) fn latest_peer_number(&self, now: BootTime, version: Version) -> u64 {
        let router = self.router.borrow();
        let reports = self.start_reports.borrow();
        let reports = reports
            .iter()
            .filter(|report| now.saturating_sub(report.received_at) < REPORT_LIFETIME)
            .map(|report| &report.copies);
        let shows_loss = |copies: &&CopyStatus| {
            copies.policy == version || era_of(copies.policy) < era_of(version)
        };
        let copies = router.fleet.copies(now).chain(reports).filter(shows_loss);
        copies.map(|copies| copies.policy_number).max().unwrap_or(0)
    }
}

async fn request_status(address: SocketAddr) -> StatusOutcome {
    let outcome = compio::time::timeout(STATUS_TIMEOUT, exchange(address)).await;
    outcome.unwrap_or(StatusOutcome::Undetermined)
}

async fn exchange(address: SocketAddr) -> StatusOutcome {
    let request = Request::get(STATUS_PATH).header(HOST, address.to_string());
    let Ok(request) = request.body(Bytes::new()) else {
        return StatusOutcome::Undetermined;
    };
    let pool = ConnectionPool::new();
    let response = match call(&pool, address, &request).await {
        Ok(response) => response,
        Err(CallError::Connect {
            source: ConnectError::Refused {
                port_closed: true, ..
            },
        }) => return StatusOutcome::NotServing,
        Err(_) => return StatusOutcome::Undetermined,
    };
    match response.head.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return StatusOutcome::NotServing,
        _ => return StatusOutcome::Undetermined,
    }
    let body = response.read_to_end(&pool, MAX_STATUS_BYTES).await;
    let copies = body
        .ok()
        .and_then(|body| ciborium::from_reader(&body[..]).ok());
    copies.map_or(StatusOutcome::Undetermined, StatusOutcome::Reported)
}
