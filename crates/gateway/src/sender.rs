//! Sends one attempt to one target. A response is accepted only with the request's identifier and a
//! complete body, and a success only with the header that shows that a target produced it.

use crate::{
    attempt_report::{AttemptReport, ConnectionUse},
    dialect::{ResponseMetadata, TargetMetadata, WireDialect},
    response_body::{BodyError, ResponseBudget, is_connection_end},
    reuse::DEFAULT_IDLE_LIMIT,
    validation::{incomplete_response, validate, validate_passed},
};
use bytes::Bytes;
use fighall_core::{clock::boot_time, ids::BootTime, value};
use fighall_net::{
    body::OutboundBody,
    headers::remove_hop_by_hop,
    pool::{ConnectError, ConnectionOptions, ConnectionPool, PooledConnection, SendError},
    segments::SegmentedBody,
};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header::EXPECT,
    uri::PathAndQuery,
};
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};

/// Timeout for opening a connection to a target: several round trips between regions, but less than
/// the retransmission timeout of a lost SYN.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection to another host is not reused: less than any idle timeout of its callers.
const HOST_IDLE_LIMIT: Duration = Duration::from_millis(500);
/// Marks a request that another host has passed on; its receiver does not pass it on again, and returns it in the
/// response with the request's identifier.
pub const PASSED_HEADER: HeaderName = HeaderName::from_static("fighall-passed");
/// Margin subtracted from the idle timeout that a target announces. A request takes up to a round trip
/// between regions to arrive, and targets announce whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

value! {
    /// `PreparedRequest` is a caller's request with its body read, ready to be sent to targets.
    pub struct PreparedRequest {
        /// Identifier that the dialect read or generated.
        pub id: String,
        /// Method.
        pub method: Method,
        /// Path and query.
        pub path_and_query: PathAndQuery,
        /// Headers, as the caller sent them.
        pub headers: HeaderMap,
        /// Complete body.
        pub body: SegmentedBody,
    }
}

/// `BufferedResponse` is a target's response with its complete body.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// `AttemptOutcome` is how an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The target returned a valid response, which may be an error.
    Answered(BufferedResponse),
    /// The target reported that it did not run the request.
    Rejected {
        /// Status of the rejection.
        status: StatusCode,
        /// Whether the address belongs to another target by now (status 421).
        misdirected: bool,
        /// Whether the response bears the request's identifier; otherwise it is the first one of its connection.
        identified: bool,
    },
    /// The request was not sent.
    NotSent {
        /// Description for logs.
        cause: String,
        /// Whether no connection to the target could be opened.
        unreachable: bool,
        /// Whether the target refused the connection, which shows that its process has ended.
        refused: bool,
    },
    /// The request was sent and may have run, but no valid response was received.
    Unknown {
        /// Description for logs.
        cause: String,
        /// Whether the deadline passed before the response was complete.
        timed_out: bool,
        /// Whether the target closed the connection before the response was complete.
        closed: bool,
        /// Idle time of a pooled connection that failed before any response; none for a new connection
        /// or another failure.
        stale_after: Option<Duration>,
    },
}

value! {
    /// `AttemptOptions` are the address and limits of one attempt.
    #[derive(Copy)]
    pub struct AttemptOptions {
        /// Address of the target.
        pub address: SocketAddr,
        /// Maximum number of open connections to the target from this host.
        pub max_connections: u32,
        /// Longest idle time at which a pooled connection is reused.
        pub max_idle_time: Duration,
        /// Deadline of the response.
        pub deadline: BootTime,
    }
}

/// Sends a request to a target and waits for the complete response. Calls `on_connected` with the time
/// that opening a new connection took.
pub async fn send_attempt(
    pool: &ConnectionPool,
    dialect: &WireDialect,
    budget: &ResponseBudget,
    request: &PreparedRequest,
    metadata: TargetMetadata,
    options: AttemptOptions,
    on_connected: impl FnOnce(Duration),
) -> AttemptReport {
    let started_at = boot_time();
    let mut connection = match connect(pool, &request.id, options).await {
        Ok(connection) => {
            if connection.idle_for.is_none() {
                on_connected(boot_time().saturating_sub(started_at));
            }
            connection
        }
        Err(outcome) => return AttemptReport::new(outcome),
    };
    let time_left = options.deadline.saturating_sub(boot_time());
    if time_left.is_zero() {
        pool.put(connection);
        return AttemptReport::new(deadline_passed());
    }
    let connection_use = Some(ConnectionUse::new(&mut connection, &request.id));
    let mut message = build_request(request);
    let metadata = TargetMetadata {
        time_left,
        ..metadata
    };
    (dialect.write_target_headers)(message.headers_mut(), &metadata);
    let exchange = exchange(&mut connection, dialect, budget, message);
    let Ok((response_metadata, outcome, complete)) =
        compio::time::timeout(time_left, exchange).await
    else {
        pool.close_idle(options.address);
        return AttemptReport {
            connection_use,
            ..AttemptReport::new(no_response(time_left))
        };
    };
    let identifier_matches = response_metadata.request.as_deref() == Some(request.id.as_str());
    let is_first = connection.idle_for.is_none();
    let outcome = validate(outcome, &response_metadata, identifier_matches, is_first);
    let reusable = complete && !matches!(outcome, AttemptOutcome::Unknown { .. });
    if reusable {
        connection.end_exchange();
    }
    if reusable && connection.sender.is_ready() {
        let idle_time = response_metadata
            .idle_timeout
            .map_or(DEFAULT_IDLE_LIMIT, |limit| {
                limit.saturating_sub(IDLE_MARGIN)
            });
        pool.put_with_idle_timeout(connection, idle_time);
    }
    AttemptReport {
        metadata: response_metadata,
        outcome,
        connection_use,
    }
}

/// Passes a request to the host at `options.address`, as its caller sent it, and waits for the complete response, which
/// may be a refusal of that host.
pub async fn pass_to_host(
    pool: &ConnectionPool,
    dialect: &WireDialect,
    budget: &ResponseBudget,
    request: &PreparedRequest,
    options: AttemptOptions,
) -> AttemptReport {
    let mut connection = match connect(pool, &request.id, options).await {
        Ok(connection) => connection,
        Err(outcome) => return AttemptReport::new(outcome),
    };
    let time_left = options.deadline.saturating_sub(boot_time());
    let connection_use = Some(ConnectionUse::new(&mut connection, &request.id));
    let mut message = build_request(request);
    let headers = message.headers_mut();
    headers.insert(PASSED_HEADER, HeaderValue::from_static("1"));
    (dialect.write_passed_headers)(headers, &request.id, time_left);
    let exchange = exchange(&mut connection, dialect, budget, message);
    let Ok((metadata, outcome, complete)) = compio::time::timeout(time_left, exchange).await else {
        return AttemptReport {
            connection_use,
            ..AttemptReport::new(no_response(time_left))
        };
    };
    let outcome = validate_passed(outcome, &metadata, request);
    let reusable = complete && matches!(outcome, AttemptOutcome::Answered(_));
    if reusable {
        connection.end_exchange();
    }
    if reusable && connection.sender.is_ready() {
        pool.put_with_idle_timeout(connection, HOST_IDLE_LIMIT);
    }
    AttemptReport {
        metadata,
        outcome,
        connection_use,
    }
}

fn no_response(time_left: Duration) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        cause: format!("no response within {} ms", time_left.as_millis()),
        timed_out: true,
        closed: false,
        stale_after: None,
    }
}

async fn connect(
    pool: &ConnectionPool,
    request: &str,
    options: AttemptOptions,
) -> Result<PooledConnection, AttemptOutcome> {
    let need = ConnectionOptions {
        max_idle_time: options.max_idle_time,
        max_connections: options.max_connections,
    };
    let time_left = options.deadline.saturating_sub(boot_time());
    let taken = compio::time::timeout(
        CONNECT_TIMEOUT.min(time_left),
        pool.take(options.address, Some(request), need),
    );
    match taken.await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(AttemptOutcome::NotSent {
            unreachable: !matches!(error, ConnectError::Full { .. }),
            refused: matches!(
                error,
                ConnectError::Refused {
                    port_closed: true,
                    ..
                }
            ),
            cause: error.to_string(),
        }),
        Err(_) => Err(AttemptOutcome::NotSent {
            cause: format!("connecting to {} timed out", options.address),
            unreachable: time_left >= CONNECT_TIMEOUT,
            refused: false,
        }),
    }
}

fn deadline_passed() -> AttemptOutcome {
    AttemptOutcome::NotSent {
        cause: "deadline passed before the request was sent".to_owned(),
        unreachable: false,
        refused: false,
    }
}

fn build_request(request: &PreparedRequest) -> Request<OutboundBody> {
    let mut message = Request::new(OutboundBody::segmented(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path_and_query.clone().into();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    remove_hop_by_hop(headers);
    // The body is already buffered, so the target is not asked for `100 Continue`.
    headers.remove(EXPECT);
    headers.remove(PASSED_HEADER);
    message
}

// Returns the response metadata, the outcome before the response is validated, and whether the
// connection may be reused.
async fn exchange(
    connection: &mut PooledConnection,
    dialect: &WireDialect,
    budget: &ResponseBudget,
    message: Request<OutboundBody>,
) -> (ResponseMetadata, AttemptOutcome, bool) {
    let response = match connection.send(message).await {
        Ok(response) => response,
        Err(error) => {
            let outcome = failed_send(&error, connection.idle_for);
            return (ResponseMetadata::default(), outcome, false);
        }
    };
    // The library returns 101, since the connection changes its protocol with it.
    if response.status().is_informational() {
        let cause = format!("status {} is not final", response.status().as_u16());
        let outcome = incomplete_response(cause, false);
        return (ResponseMetadata::default(), outcome, false);
    }
    let mut metadata = (dialect.read_response_headers)(response.headers());
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        metadata.retry_after = None;
    }
    match read_response(budget, response).await {
        Ok(response) => (metadata, AttemptOutcome::Answered(response), true),
        Err(error) => {
            let closed = matches!(error, BodyError::Truncated { closed: true, .. });
            (
                metadata,
                incomplete_response(error.to_string(), closed),
                false,
            )
        }
    }
}

fn failed_send(error: &SendError, idle_for: Option<Duration>) -> AttemptOutcome {
    match error {
        SendError::NotSent { source } => AttemptOutcome::NotSent {
            cause: describe(source),
            unreachable: false,
            refused: false,
        },
        SendError::Broken { source } => AttemptOutcome::Unknown {
            cause: describe(source),
            timed_out: false,
            closed: is_connection_end(source),
            stale_after: idle_for,
        },
        SendError::InterimLimit { .. } => incomplete_response(error.to_string(), false),
    }
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

async fn read_response(
    budget: &ResponseBudget,
    response: Response<Incoming>,
) -> Result<BufferedResponse, BodyError> {
    let (parts, body) = response.into_parts();
    let body = budget.read_to_end(body).await?;
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    Ok(BufferedResponse {
        status: parts.status,
        headers,
        body,
    })
}
