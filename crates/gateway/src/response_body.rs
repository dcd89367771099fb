//! Buffering of targets' response bodies, within a memory budget.
//!
//! A faulty target may send an endless body. All responses share one budget until they have been delivered, so
//! that many endless bodies take no more memory than one, and neither do many callers that read slowly.

use bytes::Bytes;
use fighall_net::{
    connections::{ConnectionTable, TableOptions},
    memory::{MemoryBudget, ReservedBytes},
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use std::{io::ErrorKind, rc::Rc};

/// Largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Part of the process memory that connections, requests and responses may take, in percent.
const BUDGET_PERCENT: usize = 75;
/// Divisor of the process memory that gives the share of response bodies.
const RESPONSE_DIVISOR: usize = 8;

/// `BodyError` is the reason for which a response body is not complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body did not arrive completely.
    #[snafu(display("response body truncated: {cause}"))]
    Truncated {
        /// Error of the connection, as text.
        cause: String,
        /// Whether the target closed the connection; otherwise what it sent is not valid.
        closed: bool,
    },
    /// The body is too large, or all bodies in progress are.
    #[snafu(display("{cause}"))]
    TooLarge {
        /// The limit that is exceeded.
        cause: String,
    },
}

/// Gets the budget of connections, requests and responses of a process that may use `memory_mb` MiB of memory. The rest
/// is left to the process's own state and to the allocator.
pub fn process_budget(memory_mb: usize) -> MemoryBudget {
    MemoryBudget::new((memory_mb << 20) / 100 * BUDGET_PERCENT)
}

/// `ResponseBudget` limits the memory of all response bodies that are being read or delivered. It is a share of the
/// budget of the process.
#[derive(Debug, Clone)]
pub struct ResponseBudget {
    budget: MemoryBudget,
    connections: Rc<ConnectionTable>,
}

impl ResponseBudget {
    /// Creates the budget of a process that may use `memory_mb` MiB of memory and has no other connections.
    pub fn new(memory_mb: usize) -> Self {
        let options = TableOptions {
            budget: process_budget(memory_mb),
            ..TableOptions::default()
        };
        Self::with_connections(memory_mb, ConnectionTable::new(options))
    }

    /// Creates the budget of a process that may use `memory_mb` MiB of memory, as a share of that of `connections`.
    pub fn with_connections(memory_mb: usize, connections: Rc<ConnectionTable>) -> Self {
        let share_bytes = (memory_mb << 20) / RESPONSE_DIVISOR;
        Self {
            budget: connections.budget().share(share_bytes),
            connections,
        }
    }

    /// Reads a body to its end. Its bytes are given back to the budget when the last copy of it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was truncated, is too large, or the budget is used up.
    pub async fn read_to_end(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let max_bytes = u64::try_from(MAX_RESPONSE_BYTES).unwrap_or(u64::MAX);
        if body.size_hint().lower() > max_bytes {
            let cause = format!("the announced body exceeds {MAX_RESPONSE_BYTES} bytes");
            return Err(BodyError::TooLarge { cause });
        }
        let mut buffer = BudgetBuffer {
            bytes: Vec::new(),
            reserved: ReservedBytes::new(&self.budget),
        };
        // Chunks are copied, since each small one would keep a whole read buffer alive.
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Truncated {
                cause: error.to_string(),
                closed: is_connection_end(&error),
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let is_appended = buffer.append(&data, &self.connections).await;
            is_appended.map_err(|cause| BodyError::TooLarge { cause })?;
        }
        Ok(Bytes::from_owner(buffer))
    }
}

/// Tells whether an exchange failed because the other side closed the connection, rather than by what it sent.
pub fn is_connection_end(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    let is_closed = source.is_some_and(|source| {
        matches!(
            source.kind(),
            ErrorKind::UnexpectedEof
                | ErrorKind::ConnectionReset
                | ErrorKind::ConnectionAborted
                | ErrorKind::BrokenPipe
        )
    });
    error.is_incomplete_message() || is_closed
}

// A body with the memory that it occupies.
struct BudgetBuffer {
    bytes: Vec<u8>,
    reserved: ReservedBytes,
}

impl AsRef<[u8]> for BudgetBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BudgetBuffer {
    async fn append(&mut self, data: &[u8], connections: &ConnectionTable) -> Result<(), String> {
        let length = self.bytes.len() + data.len();
        if length > MAX_RESPONSE_BYTES {
            return Err(format!("response body exceeds {MAX_RESPONSE_BYTES} bytes"));
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            // While the bytes are copied, both buffers exist.
            let larger_capacity = length.max(capacity * 2).min(MAX_RESPONSE_BYTES);
            let reserved = connections.reserve_body(&mut self.reserved, larger_capacity);
            reserved.await.map_err(|error| error.to_string())?;
            self.bytes.reserve_exact(larger_capacity - self.bytes.len());
            self.reserved.shrink(capacity);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}
