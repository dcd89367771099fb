//! Execution of calls: rate limit, timeouts and retries.

use super::{RawResponse, StoreClient, unexpected_status};
use crate::{
    era::era_of,
    errors::{Error, Result},
    mapping::{RequestParts, StoreCall},
};
use bytes::Bytes;
use fighall_core::{clock::boot_time, ids::BootTime};
use fighall_net::call;
use http::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use std::{net::SocketAddr, time::Duration};

/// Largest body of a response, in bytes: several times the largest page of a list.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

impl StoreClient {
    pub(super) async fn call_with_retries(&self, call: &StoreCall) -> Result<RawResponse> {
        let started_at = boot_time();
        let mut delay = self.options.backoff;
        loop {
            let outcome = self.call_once(call, self.options.timeout).await;
            let error = match outcome {
                Ok(response) if !is_retryable(response.status) => return Ok(response),
                Ok(response) => unexpected_status(response.status),
                Err(error) if self.depends_on_old_era(call) => return Err(error),
                Err(error) => error,
            };
            let jittered_delay = delay.mul_f64(self.rng.borrow_mut().f64());
            let elapsed = boot_time().saturating_sub(started_at);
            if elapsed + jittered_delay >= self.options.total_timeout {
                return Err(error);
            }
            compio::time::sleep(jittered_delay).await;
            delay = (delay * 2).min(self.options.backoff_limit);
        }
    }

    pub(super) async fn call_once(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<RawResponse> {
        self.wait_for_budget(timeout).await?;
        if self.depends_on_old_era(call) {
            let base_version = call.base_version().unwrap_or_default();
            let era = era_of(base_version);
            return Err(Error::Outdated { era });
        }
        let operation = call.operation();
        self.stats.borrow_mut().count_call(&operation);
        let sent_at = boot_time();
        let outcome = compio::time::timeout(timeout, self.exchange(call)).await;
        let outcome = outcome.unwrap_or_else(|_| {
            self.drop_idle_connections();
            Err(Error::Timeout {
                millis: timeout.as_millis(),
            })
        });
        self.record_outcome(&operation, sent_at, &outcome);
        outcome
    }

    /// Drops the idle connections, which may have gone silent, so that later calls open new ones. Calls in
    /// progress keep theirs.
    pub fn drop_idle_connections(&self) {
        self.pool.close_all_idle();
    }

    // Revisions are reused in a new era: one of an earlier era may identify another value.
    pub(super) fn depends_on_old_era(&self, call: &StoreCall) -> bool {
        call.base_version()
            .is_some_and(|base_version| era_of(base_version) < self.era())
    }

    async fn wait_for_budget(&self, timeout: Duration) -> Result<()> {
        let deadline = boot_time() + timeout;
        loop {
            let now = boot_time();
            let token = self.budget.borrow_mut().take(now);
            let Err(wait) = token else {
                return Ok(());
            };
            if now + wait > deadline {
                return Err(Error::Budget);
            }
            compio::time::sleep(wait).await;
        }
    }

    fn record_outcome(&self, operation: &str, sent_at: BootTime, outcome: &Result<RawResponse>) {
        let mut stats = self.stats.borrow_mut();
        match outcome {
            Ok(response) if !is_retryable(response.status) => {
                stats.record_response(sent_at, boot_time())
            }
            _ => stats.record_failure(operation),
        }
    }

    // Gets the address of the next call; another one after each failure.
    fn address(&self) -> Result<SocketAddr> {
        let failures = usize::try_from(self.stats.borrow().consecutive_failures).unwrap_or(0);
        let index = failures % self.addresses.len().max(1);
        let address = self.addresses.get(index).copied();
        address.ok_or_else(|| Error::exchange("the store has no address"))
    }

    pub(super) async fn exchange(&self, call: &StoreCall) -> Result<RawResponse> {
        let address = self.address()?;
        let request = build_request((self.mapping.parts)(call), address)?;
        let response = call::call(&self.pool, address, &request).await;
        let response = response.map_err(Error::exchange)?;
        let status = response.head.status;
        let era = (self.mapping.era)(&response.head.headers).unwrap_or_else(|| self.era());
        self.record_era(era);
        let body = response.read_to_end(&self.pool, MAX_RESPONSE_BYTES).await;
        let body = body.map_err(Error::exchange)?;
        if era < self.era() {
            return Err(Error::Outdated { era });
        }
        Ok(RawResponse { status, era, body })
    }
}

fn build_request(parts: RequestParts, address: SocketAddr) -> Result<Request<Bytes>> {
    let mut request = Request::builder()
        .method(parts.method)
        .uri(parts.path_and_query)
        .header(HOST, address.to_string());
    if let Some(precondition) = parts.precondition {
        request = request.header(precondition.header.as_str(), precondition.value.as_str());
    }
    if !parts.body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let body = Bytes::from(parts.body);
    request.body(body).map_err(Error::exchange)
}

// The store is overloaded or down and did not process the call.
fn is_retryable(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}
