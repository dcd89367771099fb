//! Conditional writes whose outcome is known even if a response was lost.

use super::{RawResponse, StoreClient, WriteOutcome, unexpected_status};
use crate::{
    era,
    errors::{Error, Result},
    mapping::StoreCall,
    object::VALUE_LIMIT,
};
use fighall_core::ids::Version;
use http::StatusCode;

impl StoreClient {
    /// Creates an object that must not exist. After a lost response the object is read back and compared
    /// with `value`, so `value` has to be unique to this caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is still unknown at the time limit for retries.
    pub async fn create(&self, kind: &str, name: &str, value: &str) -> Result<WriteOutcome> {
        let call = StoreCall::Create {
            kind: kind.to_owned(),
            name: name.to_owned(),
            value: value.to_owned(),
        };
        self.write_conditional(&call, kind, name, Some(value)).await
    }

    /// Replaces an object that must be at version `expected`. After a lost response the object is read
    /// back and compared with `value`, so `value` has to be unique to this caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is still unknown at the time limit for retries.
    pub async fn put(
        &self,
        kind: &str,
        name: &str,
        value: &str,
        expected: Version,
    ) -> Result<WriteOutcome> {
        let call = StoreCall::Put {
            kind: kind.to_owned(),
            name: name.to_owned(),
            value: value.to_owned(),
            expected,
        };
        self.write_conditional(&call, kind, name, Some(value)).await
    }

    /// Deletes an object that must be at version `expected`.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome is still unknown at the time limit for retries.
    pub async fn delete(&self, kind: &str, name: &str, expected: Version) -> Result<WriteOutcome> {
        let call = StoreCall::Delete {
            kind: kind.to_owned(),
            name: name.to_owned(),
            expected,
        };
        self.write_conditional(&call, kind, name, None).await
    }

    // Conditional writes are safe to retry: a successful attempt changes the version, so later attempts
    // fail the precondition. After a failed precondition the stored object is compared with the value,
    // since an earlier attempt may have succeeded.
    async fn write_conditional(
        &self,
        call: &StoreCall,
        kind: &str,
        name: &str,
        value: Option<&str>,
    ) -> Result<WriteOutcome> {
        if let Some(value) = value
            && value.len() > VALUE_LIMIT
        {
            return Err(Error::TooLarge {
                bytes: value.len(),
                limit: VALUE_LIMIT,
            });
        }
        if !self.depends_on_old_era(call) {
            let response = self.call_with_retries(call).await?;
            if response.status.is_success() {
                let version = (self.mapping.version)(&response.body)?;
                let version = era::version(response.era, version);
                return Ok(WriteOutcome::Written { version });
            }
            expect_precondition_failure(&response)?;
        }
        let current = self.get(kind, name).await?;
        match (&current, value) {
            (Some(object), Some(value)) if object.value == value => Ok(WriteOutcome::Written {
                version: object.version,
            }),
            (None, None) => Ok(WriteOutcome::Written { version: 0 }),
            _ => Ok(WriteOutcome::Conflict { current }),
        }
    }
}

// Accepts the statuses of a failed precondition only.
fn expect_precondition_failure(response: &RawResponse) -> Result<()> {
    let precondition_failures = [
        StatusCode::PRECONDITION_FAILED,
        StatusCode::CONFLICT,
        StatusCode::NOT_FOUND,
    ];
    if precondition_failures.contains(&response.status) {
        return Ok(());
    }
    Err(unexpected_status(response.status))
}
