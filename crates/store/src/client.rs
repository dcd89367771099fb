//! Store client: timeouts, retries with jittered backoff, a rate limit, and conditional writes that
//! resolve a lost response by reading the object back.

mod calls;
mod lists;
mod writes;

use crate::{
    budget::CallBudget,
    era::{StoreEra, era_of},
    errors::{Error, Result},
    mapping::{StoreCall, StoreMapping},
    object::{ChangeBatch, StoreObject},
    stats::CallStats,
};
use bytes::Bytes;
use event_listener::{Event, EventListener};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
    value,
};
use fighall_net::pool::ConnectionPool;
use http::StatusCode;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

value! {
    /// `ClientOptions` configures a store client.
    pub struct ClientOptions {
        /// Addresses of the store, as `IP:PORT`; the client moves on to the next one after a failure.
        pub addresses: Vec<String>,
        /// Timeout of a single attempt.
        pub timeout: Duration,
        /// Time limit of a call including its retries.
        pub total_timeout: Duration,
        /// Upper bound of the delay before the first retry, doubled with each retry. The delay has full jitter.
        pub backoff: Duration,
        /// Cap of the delay between retries, before jitter.
        pub backoff_limit: Duration,
        /// Rate limit for this process, in calls per second.
        pub calls_per_second: u32,
    }
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            addresses: vec!["127.0.0.1:7700".to_owned()],
            timeout: Duration::from_millis(800),
            total_timeout: Duration::from_secs(3),
            backoff: Duration::from_millis(50),
            backoff_limit: Duration::from_secs(2),
            calls_per_second: 40,
        }
    }
}

impl ClientOptions {
    /// Creates the default options for a store at `address`.
    pub fn with_address(address: String) -> Self {
        Self {
            addresses: vec![address],
            ..Self::default()
        }
    }
}

impl ClientOptions {
    /// Creates the options for command-line tools, whose user would rather wait longer than be left with
    /// an unknown outcome.
    pub fn with_long_timeout(address: String) -> Self {
        Self {
            total_timeout: Duration::from_secs(12),
            backoff_limit: Duration::from_millis(250),
            ..Self::with_address(address)
        }
    }
}

value! {
    /// `WriteOutcome` is the known outcome of a conditional write.
    pub enum WriteOutcome {
        /// The write took effect.
        Written {
            /// Version of the object after the write; 0 for a deletion that found the object already gone.
            version: Version,
        },
        /// The precondition failed.
        Conflict {
            /// Current object, or `None` if it does not exist.
            current: Option<StoreObject>,
        },
    }
}

struct RawResponse {
    status: StatusCode,
    era: StoreEra,
    body: Bytes,
}

/// `StoreClient` is an asynchronous client of the store. A call suspends only the calling task.
pub struct StoreClient {
    options: ClientOptions,
    addresses: Vec<SocketAddr>,
    mapping: StoreMapping,
    pool: ConnectionPool,
    budget: RefCell<CallBudget>,
    stats: RefCell<CallStats>,
    rng: RefCell<fastrand::Rng>,
    // Latest era reported by the store; `None` before the first response.
    era: Cell<Option<StoreEra>>,
    era_changed: Event,
}

impl std::fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreClient")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl StoreClient {
    /// Creates a client without sending a request.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not valid.
    pub fn new(options: ClientOptions) -> Result<Self> {
        let addresses = options.addresses.iter();
        let addresses: std::result::Result<Vec<SocketAddr>, _> =
            addresses.map(|address| address.parse()).collect();
        Ok(Self {
            addresses: addresses.map_err(Error::exchange)?,
            budget: RefCell::new(CallBudget::new(options.calls_per_second, boot_time())),
            stats: RefCell::new(CallStats::default()),
            rng: RefCell::new(fastrand::Rng::new()),
            era: Cell::new(None),
            era_changed: Event::new(),
            pool: ConnectionPool::new(),
            mapping: StoreMapping::default(),
            options,
        })
    }

    /// Sets the mapping of calls to HTTP requests and responses.
    pub fn with_mapping(mut self, mapping: StoreMapping) -> Self {
        self.mapping = mapping;
        self
    }

    /// Returns a snapshot of the call statistics.
    pub fn stats(&self) -> CallStats {
        self.stats.borrow().clone()
    }

    /// Returns when the latest response arrived.
    pub fn last_response_at(&self) -> Option<BootTime> {
        self.stats.borrow().last_response_at
    }

    /// Returns the latest era reported by the store; 0 before the first response.
    pub fn era(&self) -> StoreEra {
        self.era.get().unwrap_or_default()
    }

    fn record_era(&self, era: StoreEra) {
        let previous = self.era.get();
        if previous.is_some_and(|previous| previous >= era) {
            return;
        }
        self.era.set(Some(era));
        if previous.is_some() {
            self.era_changed.notify(usize::MAX);
        }
    }

    /// Returns a listener for the start of a new era, in which earlier writes of this process may be lost.
    pub fn listen_era_change(&self) -> EventListener {
        self.era_changed.listen()
    }

    /// Returns whether the store is considered available.
    pub fn is_up(&self) -> bool {
        self.stats.borrow().is_up()
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived within the time limit for retries.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<StoreObject>> {
        let call = StoreCall::Get {
            kind: kind.to_owned(),
            name: name.to_owned(),
        };
        let response = self.call_with_retries(&call).await?;
        match response.status {
            StatusCode::NOT_FOUND => Ok(None),
            status if status.is_success() => {
                let object = (self.mapping.object)(&response.body)?;
                Ok(Some(object.in_era(response.era)))
            }
            status => Err(unexpected_status(status)),
        }
    }

    /// Waits up to `wait` for changes of a kind after version `after`, in a single attempt without
    /// retries. The batch is marked as compacted if `after` belongs to another era.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid response arrived within `wait` plus the attempt timeout.
    pub async fn watch(&self, kind: &str, after: Version, wait: Duration) -> Result<ChangeBatch> {
        let compacted_batch = ChangeBatch {
            version: after,
            compacted: true,
            ..ChangeBatch::default()
        };
        let call = StoreCall::Watch {
            kind: kind.to_owned(),
            after,
            wait,
        };
        if self.depends_on_old_era(&call) {
            return Ok(compacted_batch);
        }
        let response = self.call_once(&call, wait + self.options.timeout).await?;
        // Revisions are reused in a new era, so `after` does not identify the same state there.
        if response.status == StatusCode::GONE || response.era != era_of(after) {
            return Ok(compacted_batch);
        }
        expect_success(&response)?;
        let batch = (self.mapping.changes)(&response.body)?;
        Ok(batch.in_era(response.era))
    }
}

fn unexpected_status(status: StatusCode) -> Error {
    Error::Status {
        status: status.as_u16(),
    }
}

fn expect_success(response: &RawResponse) -> Result<()> {
    if response.status.is_success() {
        return Ok(());
    }
    Err(unexpected_status(response.status))
}
