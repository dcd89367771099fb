//! Calls of services whose responses are small: a request, sent on any connection, and its complete response.

use crate::{
    body::OutboundBody,
    pool::{ConnectError, ConnectionOptions, ConnectionPool, PooledConnection, SendError},
};
use bytes::Bytes;
use http::{Request, response::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use snafu::{ResultExt, Snafu};
use std::{net::SocketAddr, time::Duration};

/// `CallError` is the reason why a call has no response.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection was available.
    #[snafu(display("{source}"))]
    Connect {
        /// Error of the pool.
        source: ConnectError,
    },
    /// There is no head of a response.
    #[snafu(display("{source}"))]
    Send {
        /// Error of the exchange.
        source: SendError,
    },
    /// The body was truncated or is too large.
    #[snafu(display("the body was not read to its end: {cause}"))]
    Body {
        /// Error of the connection or of the limit, as text.
        cause: String,
    },
}

/// `CallResponse` is a response whose body was not read yet.
#[derive(Debug)]
pub struct CallResponse {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: PooledConnection,
}

/// Sends a request with a complete head, again on another connection if an idle one closed before it accepted the request.
///
/// # Errors
///
/// Returns an error if there is no connection or no response.
pub async fn call(
    pool: &ConnectionPool,
    address: SocketAddr,
    request: &Request<Bytes>,
) -> Result<CallResponse, CallError> {
    let options = ConnectionOptions {
        max_idle_time: Duration::MAX,
        max_connections: u32::MAX,
    };
    loop {
        let connection = pool.take(address, None, options).await;
        let mut connection = connection.context(ConnectSnafu)?;
        let message = request.clone().map(OutboundBody::full);
        match connection.send(message).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                return Ok(CallResponse {
                    head,
                    body,
                    connection,
                });
            }
            Err(SendError::NotSent { .. }) if connection.idle_for.is_some() => {}
            Err(source) => return Err(CallError::Send { source }),
        }
    }
}

impl CallResponse {
    /// Reads the body, of at most `max_bytes`, and returns the connection to its pool.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or too large.
    pub async fn read_to_end(
        self,
        pool: &ConnectionPool,
        max_bytes: usize,
    ) -> Result<Bytes, CallError> {
        let announced_bytes = self.body.size_hint().lower();
        if usize::try_from(announced_bytes).map_or(true, |bytes| bytes > max_bytes) {
            let cause = format!("{announced_bytes} bytes are announced, {max_bytes} allowed");
            return Err(CallError::Body { cause });
        }
        let body = Limited::new(self.body, max_bytes).collect().await;
        let body = body.map_err(|error| CallError::Body {
            cause: error.to_string(),
        })?;
        pool.put(self.connection);
        Ok(body.to_bytes())
    }
}
