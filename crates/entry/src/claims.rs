//! Claims of idempotency keys: one for the whole fleet, in the platform's store, by
//! create-if-absent.

use crate::{names, problem::RequestRefusal};
use fighall_core::{
    clock::wall_millis,
    event::RefusalReason,
    ids::{RequestId, Version},
    message,
    secret::content_digest,
    tag, value,
};
use fighall_kernel::{errors::Result, kernel::MicroKernel};
use fighall_store::{
    client::{StoreClient, WriteOutcome},
    object::kinds::CLAIMS,
};
use std::{rc::Rc, time::Duration};

tag! {
    /// `ClaimState` is how far the request of a claim is.
    pub enum ClaimState {
        /// It was sent or will be.
        Open,
        /// A target answered it.
        Answered,
    }
}

message! {
    /// `ClaimObject` is the value of a claim.
    pub struct ClaimObject {
        /// Request that holds the claim.
        pub request: RequestId,
        /// How far it is.
        pub state: ClaimState,
        /// HTTP status of the answer, once there is one.
        pub status: Option<u16>,
        /// Wall-clock milliseconds at the claim.
        pub claimed_at: u64,
    }
}

value! {
    /// `HeldClaim` is a claim that this request holds.
    pub struct HeldClaim {
        name: String,
        version: Version,
        object: ClaimObject,
    }
}

/// `ClaimService` makes and settles claims.
#[derive(Debug)]
pub struct ClaimService {
    store: Rc<StoreClient>,
}

impl ClaimService {
    /// Creates a service.
    ///
    /// # Errors
    ///
    /// Returns an error when the store's client is missing.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            store: kernel.find(names::STORE)?,
        })
    }

    /// Claims an idempotency key for a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal when another request holds the key, or when the store does not settle
    /// the claim within `patience`. The request did not run in either case.
    pub async fn claim(
        &self,
        scope: &str,
        key: &str,
        request: &str,
        patience: Duration,
    ) -> std::result::Result<HeldClaim, RequestRefusal> {
        let name = content_digest(format!("{scope}\0{key}").as_bytes());
        let object = ClaimObject {
            request: request.to_owned(),
            state: ClaimState::Open,
            status: None,
            claimed_at: wall_millis(),
        };
        let text = serde_json::to_string(&object).unwrap_or_default();
        let create = self.store.create(CLAIMS, &name, &text);
        let outcome = compio::time::timeout(patience, create).await;
        match outcome {
            Ok(Ok(WriteOutcome::Written { version })) => Ok(HeldClaim {
                name,
                version,
                object,
            }),
            Ok(Ok(WriteOutcome::Conflict { current })) => Err(duplicate(
                current.as_ref().map(|object| object.value.as_str()),
            )),
            Ok(Err(error)) => Err(unavailable(&error.to_string())),
            Err(_) => Err(unavailable("the store did not settle the claim in time")),
        }
    }

    /// Notes the answer of a claim's request, for those who ask with the same key later.
    pub async fn settle(&self, claim: HeldClaim, status: u16) {
        let object = ClaimObject {
            state: ClaimState::Answered,
            status: Some(status),
            ..claim.object
        };
        let text = serde_json::to_string(&object).unwrap_or_default();
        // Without this write the claim only tells less; it holds all the same.
        let _ = self
            .store
            .put(CLAIMS, &claim.name, &text, claim.version)
            .await;
    }

    /// Gives a claim up whose request certainly did not run, so that the caller may try again.
    pub async fn release(&self, claim: HeldClaim) {
        let _ = self.store.delete(CLAIMS, &claim.name, claim.version).await;
    }
}

fn duplicate(current: Option<&str>) -> RequestRefusal {
    let object = current.and_then(|text| serde_json::from_str::<ClaimObject>(text).ok());
    let evidence = match object {
        Some(ClaimObject {
            request,
            status: Some(status),
            ..
        }) => format!("request {request} used the idempotency key and was answered {status}"),
        Some(object) => format!(
            "request {} holds the idempotency key; its outcome is not recorded",
            object.request
        ),
        None => "another request holds the idempotency key".to_owned(),
    };
    RequestRefusal::not_run(RefusalReason::Duplicate, evidence)
}

fn unavailable(cause: &str) -> RequestRefusal {
    RequestRefusal::not_run(
        RefusalReason::ClaimUnavailable,
        format!("the idempotency key could not be claimed: {cause}"),
    )
    .with_retry_after(Duration::from_secs(1))
}

// Settles a claim in the background, so that the answer does not wait for the store. A request
// that is cancelled leaves its claim standing: it may have run.
pub(crate) struct ClaimGuard {
    claims: Rc<ClaimService>,
    claim: Option<HeldClaim>,
}

impl ClaimGuard {
    pub(crate) fn new(claims: Rc<ClaimService>, claim: HeldClaim) -> Self {
        Self {
            claims,
            claim: Some(claim),
        }
    }

    pub(crate) fn settle(&mut self, status: u16) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        let claims = Rc::clone(&self.claims);
        compio::runtime::spawn(async move { claims.settle(claim, status).await }).detach();
    }

    pub(crate) fn release(&mut self) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        let claims = Rc::clone(&self.claims);
        compio::runtime::spawn(async move { claims.release(claim).await }).detach();
    }
}
