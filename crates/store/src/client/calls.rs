//! Execution of calls: rate limit, timeouts and retries.

use super::{RawAnswer, StoreClient, unexpected};
use crate::{
    era::era_of,
    errors::{Error, Result},
    mapping::StoreCall,
};
use fighall_core::{clock::boot_time, ids::BootTime};
use http::StatusCode;
use std::time::Duration;

impl StoreClient {
    pub(super) async fn call_retried(&self, call: &StoreCall) -> Result<RawAnswer> {
        let started_at = boot_time();
        let mut pause = self.options.backoff;
        loop {
            let outcome = self.call_once(call, self.options.timeout).await;
            let error = match outcome {
                Ok(answer) if !is_turned_away(answer.status) => return Ok(answer),
                Ok(answer) => unexpected(answer.status),
                Err(error) if self.has_outdated_basis(call) => return Err(error),
                Err(error) => error,
            };
            let jittered = pause.mul_f64(self.random.borrow_mut().f64());
            let spent = boot_time().saturating_sub(started_at);
            if spent + jittered >= self.options.patience {
                return Err(error);
            }
            compio::time::sleep(jittered).await;
            pause = (pause * 2).min(self.options.backoff_limit);
        }
    }

    pub(super) async fn call_once(&self, call: &StoreCall, timeout: Duration) -> Result<RawAnswer> {
        self.wait_for_budget(timeout).await?;
        if self.has_outdated_basis(call) {
            let basis = call.basis().unwrap_or_default();
            let era = era_of(basis);
            return Err(Error::Outdated { era });
        }
        let operation = call.operation();
        self.stats.borrow_mut().count_call(&operation);
        let sent_at = boot_time();
        let outcome = compio::time::timeout(timeout, self.exchange(call)).await;
        let outcome = outcome.unwrap_or_else(|_| {
            Err(Error::Timeout {
                millis: timeout.as_millis(),
            })
        });
        self.count_outcome(&operation, sent_at, &outcome);
        outcome
    }

    // Revisions are reused in a new era: one of an earlier era may identify another value.
    pub(super) fn has_outdated_basis(&self, call: &StoreCall) -> bool {
        call.basis().is_some_and(|basis| era_of(basis) < self.era())
    }

    async fn wait_for_budget(&self, timeout: Duration) -> Result<()> {
        let give_up_at = boot_time() + timeout;
        loop {
            let now = boot_time();
            let taken = self.budget.borrow_mut().take(now);
            let Err(wait) = taken else {
                return Ok(());
            };
            if now + wait > give_up_at {
                return Err(Error::Budget);
            }
            compio::time::sleep(wait).await;
        }
    }

    fn count_outcome(&self, operation: &str, sent_at: BootTime, outcome: &Result<RawAnswer>) {
        let mut stats = self.stats.borrow_mut();
        match outcome {
            Ok(answer) if !is_turned_away(answer.status) => {
                stats.count_answer(sent_at, boot_time())
            }
            _ => stats.count_failure(operation),
        }
    }

    pub(super) fn address(&self) -> &str {
        let failed = usize::try_from(self.stats.borrow().failed_in_row).unwrap_or(0);
        let addresses = &self.options.addresses;
        let chosen = addresses.get(failed % addresses.len().max(1));
        chosen.map_or("", String::as_str)
    }

    pub(super) async fn exchange(&self, call: &StoreCall) -> Result<RawAnswer> {
        let parts = (self.mapping.parts)(call);
        let url = format!("http://{}{}", self.address(), parts.target);
        let mut request = self
            .http
            .request(parts.method, url)
            .map_err(Error::exchange)?;
        if let Some(condition) = &parts.condition {
            request = request
                .header(condition.header.as_str(), condition.value.as_str())
                .map_err(Error::exchange)?;
        }
        if !parts.body.is_empty() {
            request = request
                .header("content-type", "application/json")
                .map_err(Error::exchange)?;
        }
        let answer = request
            .body(parts.body)
            .send()
            .await
            .map_err(Error::exchange)?;
        let status = answer.status();
        let era = (self.mapping.era)(answer.headers()).unwrap_or_else(|| self.era());
        self.note_era(era);
        let body = answer.bytes().await.map_err(Error::exchange)?;
        if era < self.era() {
            return Err(Error::Outdated { era });
        }
        Ok(RawAnswer { status, era, body })
    }
}

// The store is overloaded or down and did not process the call.
fn is_turned_away(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}
