//! Requests that another host serves, because this one reaches no target.

use super::CallerProxy;
use crate::{
    dialect::CallerMetadata,
    placement_log::describe_use,
    refusal,
    request::{RefusalCause, RequestRefusal, RequestTrace, cut_off_refusal},
    sender::{
        self, AttemptOptions, AttemptOutcome, BufferedResponse, PASSED_HEADER, PreparedRequest,
    },
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, HostId, RegionId},
};
use fighall_net::body::IncomingBody;
use http::Request;
use slog::info;
use std::{net::SocketAddr, time::Duration};

/// Hosts to which a request is sent until one has received it.
const MAX_HOSTS: usize = 2;
/// Requests at one moment that this host passes to one other host, so that those that are left are not overloaded.
const MAX_PASSED: u32 = 16;
/// Longest idle time of a connection to another host that is reused.
const MAX_IDLE_TIME: Duration = Duration::from_millis(300);

impl CallerProxy {
    // Whether other hosts reach targets and this one does not.
    pub(super) fn is_cut_off(&self) -> bool {
        self.router.borrow().is_cut_off(boot_time())
    }

    // Lists the hosts that may serve a request for this one. None of them may serve one that was passed before, so that
    // it is not passed in circles; it is refused unless kept connections to targets still work.
    pub(super) fn hosts_to_pass_to(
        &self,
        request: &Request<IncomingBody>,
        metadata: &CallerMetadata,
        regions: Option<&[RegionId]>,
        deadline: BootTime,
    ) -> std::result::Result<Vec<(HostId, SocketAddr)>, RequestRefusal> {
        let now = boot_time();
        let router = self.router.borrow();
        let mut hosts = Vec::new();
        if !request.headers().contains_key(PASSED_HEADER) {
            hosts = router.serving_hosts(now, regions, &metadata.request);
        }
        if hosts.is_empty() && !router.reach.has_live_connections(now) {
            return Err(cut_off_refusal());
        }
        let time_left = deadline.saturating_sub(now);
        if !refusal::finishes_in_time(now, router.ends_at, time_left) {
            let refusal = RequestRefusal::new(RefusalCause::Ending);
            return Err(refusal.with_retry_after(Duration::ZERO));
        }
        Ok(hosts)
    }

    // Passes a request to another host, which admits it as one of its own. It is sent once at most: a request that may
    // have arrived is not sent again.
    pub(super) async fn pass(
        &self,
        request: &PreparedRequest,
        hosts: Vec<(HostId, SocketAddr)>,
        deadline: BootTime,
        trace: &mut RequestTrace,
    ) -> std::result::Result<BufferedResponse, RequestRefusal> {
        for (host, address) in hosts.into_iter().take(MAX_HOSTS) {
            let options = AttemptOptions {
                address,
                max_connections: MAX_PASSED,
                max_idle_time: MAX_IDLE_TIME,
                deadline,
            };
            let sent_at = boot_time();
            let report = sender::pass_to_host(
                &self.pool,
                &self.dialect,
                &self.response_budget,
                request,
                options,
            )
            .await;
            let connection_use = report.connection_use;
            let status = match &report.outcome {
                AttemptOutcome::Answered(response) => Some(response.status.as_u16()),
                _ => None,
            };
            let (label, result) = match report.outcome {
                AttemptOutcome::Answered(response) => ("answered", Some(Ok(response))),
                AttemptOutcome::Unknown {
                    timed_out: true, ..
                } => ("silent", Some(Err(RefusalCause::Timeout))),
                AttemptOutcome::Unknown { .. } => ("unknown", Some(Err(RefusalCause::Unknown))),
                AttemptOutcome::NotSent { .. } | AttemptOutcome::Rejected { .. } => {
                    ("not_sent", None)
                }
            };
            let place = describe_use(connection_use);
            trace
                .attempts
                .push(format!("host {host} at {address}, {place}: {label}"));
            info!(self.logger, "request passed";
                "request" => &request.id,
                "to" => host,
                "address" => address,
                "connection" => connection_use.map(|connection_use| connection_use.connection),
                "exchange" => connection_use.map(|connection_use| connection_use.exchange),
                "repeated" => connection_use.map(|connection_use| connection_use.repeated),
                "outcome" => label,
                "status" => status,
                "held_ms" => boot_time().saturating_sub(sent_at).as_millis(),
            );
            self.metrics.passed.with_label_values(&[label]).inc();
            if let Some(result) = result {
                return result.map_err(RequestRefusal::new);
            }
        }
        Err(cut_off_refusal())
    }
}
