//! What an attempt shows: its response, its outcome and its place on a connection.

use crate::{dialect::ResponseMetadata, sender::AttemptOutcome};
use fighall_core::value;
use fighall_net::pool::PooledConnection;

value! {
    /// `ConnectionUse` is one exchange's place on its connection.
    #[derive(Copy)]
    pub struct ConnectionUse {
        /// Number of the connection in its pool.
        pub connection: u64,
        /// Position of the exchange on the connection; the first one is 1.
        pub exchange: u64,
        /// Whether a request with the same identifier was sent on the connection before.
        pub repeated: bool,
    }
}

impl ConnectionUse {
    /// Records that the connection carries `request` and gets the place of the exchange.
    pub(crate) fn new(connection: &mut PooledConnection, request: &str) -> Self {
        let repeated = connection.carried.add(request);
        Self {
            connection: connection.number,
            exchange: connection.carried.exchange_count(),
            repeated,
        }
    }
}

/// `AttemptReport` is what an attempt shows.
#[derive(Debug)]
pub struct AttemptReport {
    /// Metadata of the response; empty without one.
    pub metadata: ResponseMetadata,
    /// Outcome.
    pub outcome: AttemptOutcome,
    /// Place of the exchange on its connection; absent if nothing was sent.
    pub connection_use: Option<ConnectionUse>,
}

impl AttemptReport {
    /// Tells whether the response bears the identifier of another request than `request`.
    pub fn is_surplus(&self, request: &str) -> bool {
        let identifier = self.metadata.request.as_deref();
        identifier.is_some_and(|identifier| identifier != request)
    }

    /// Creates the report of an attempt without a response.
    pub(crate) fn new(outcome: AttemptOutcome) -> Self {
        Self {
            metadata: ResponseMetadata::default(),
            outcome,
            connection_use: None,
        }
    }
}
