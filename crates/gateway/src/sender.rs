//! Sends one attempt to one target. A response is accepted only with the request's identifier and a
//! complete body, and a success only with the header that shows that a target produced it.

use crate::{
    answer::AnswerBudget,
    dialect::{AnswerMarks, TargetMarks, WireDialect},
    reuse::REUSE_LIMIT,
};
use bytes::Bytes;
use fighall_core::{clock::boot_time, ids::BootTime, value};
use fighall_net::{
    body::UpstreamBody,
    headers::remove_hop_by_hop,
    pool::{ConnectError, ConnectionNeed, ConnectionPool, PooledConnection},
};
use http::{HeaderMap, Method, Request, Response, StatusCode, header::EXPECT, uri::PathAndQuery};
use hyper::body::Incoming;
use std::{net::SocketAddr, time::Duration};

/// Timeout for opening a connection to a target: several round trips between regions, but less than
/// the retransmission timeout of a lost SYN.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// Margin subtracted from the idle timeout that a target announces. A request takes up to a round trip
/// between regions to arrive, and targets announce whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

value! {
    /// `PreparedRequest` is a caller's request with its body read, ready to be sent to targets.
    pub struct PreparedRequest {
        /// Identifier, from the caller or generated.
        pub id: String,
        /// Method.
        pub method: Method,
        /// Path and query.
        pub target: PathAndQuery,
        /// Headers, as the caller sent them.
        pub headers: HeaderMap,
        /// Complete body.
        pub body: Bytes,
    }
}

/// `WholeAnswer` is a target's response with its complete body.
#[derive(Debug)]
pub struct WholeAnswer {
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
    Answered(WholeAnswer),
    /// The target reported that it did not run the request.
    Rejected {
        /// Whether the address belongs to another target by now (status 421).
        misdirected: bool,
    },
    /// The request was not sent.
    NotSent {
        /// Description for logs.
        cause: String,
        /// Whether no connection to the target could be opened.
        unreachable: bool,
    },
    /// The request was sent and may have run, but no valid response was received.
    Unknown {
        /// Description for logs.
        cause: String,
        /// Whether the deadline passed before the response was complete.
        silent: bool,
        /// Idle time of a pooled connection that failed before any response; none for a new connection
        /// or another failure.
        dead_after: Option<Duration>,
    },
}

value! {
    /// `AttemptBounds` are the address and limits of one attempt.
    #[derive(Copy)]
    pub struct AttemptBounds {
        /// Address of the target.
        pub address: SocketAddr,
        /// Maximum number of open connections to the target from this host.
        pub connections: u32,
        /// Longest idle time at which a pooled connection is reused.
        pub reuse_within: Duration,
        /// Deadline of the response.
        pub give_up_at: BootTime,
    }
}

/// Sends a request to a target and waits for the complete response. Calls `connected` with the time
/// that opening a new connection took. Returns the metadata of the response, empty without one, and the
/// outcome.
pub async fn attempt(
    pool: &ConnectionPool,
    dialect: &WireDialect,
    budget: &AnswerBudget,
    request: &PreparedRequest,
    marks: TargetMarks,
    bounds: AttemptBounds,
    connected: impl FnOnce(Duration),
) -> (AnswerMarks, AttemptOutcome) {
    let started_at = boot_time();
    let mut connection = match connect(pool, bounds).await {
        Ok(connection) => {
            if connection.idle_for.is_none() {
                connected(boot_time().saturating_sub(started_at));
            }
            connection
        }
        Err(outcome) => return (AnswerMarks::default(), outcome),
    };
    let left = bounds.give_up_at.saturating_sub(boot_time());
    if left.is_zero() {
        pool.put(connection);
        return (AnswerMarks::default(), late());
    }
    let message = build(dialect, request, &TargetMarks { left, ..marks });
    let exchange = exchange(&mut connection, dialect, budget, message);
    let Ok((answer_marks, outcome, clean)) = compio::time::timeout(left, exchange).await else {
        pool.flush(bounds.address);
        let cause = format!("no response within {} ms", left.as_millis());
        let outcome = AttemptOutcome::Unknown {
            cause,
            silent: true,
            dead_after: None,
        };
        return (AnswerMarks::default(), outcome);
    };
    let own = answer_marks.request.as_deref() == Some(request.id.as_str());
    let outcome = judge(outcome, &answer_marks, own);
    let reusable = clean && !matches!(outcome, AttemptOutcome::Unknown { .. });
    if reusable && connection.sender.is_ready() {
        let idle_time = answer_marks
            .idle_limit
            .map_or(REUSE_LIMIT, |limit| limit.saturating_sub(IDLE_MARGIN));
        pool.put_for(connection, idle_time);
    }
    (answer_marks, outcome)
}

async fn connect(
    pool: &ConnectionPool,
    bounds: AttemptBounds,
) -> Result<PooledConnection, AttemptOutcome> {
    let need = ConnectionNeed {
        reuse_within: bounds.reuse_within,
        limit: bounds.connections,
    };
    let left = bounds.give_up_at.saturating_sub(boot_time());
    let taken = compio::time::timeout(CONNECT_LIMIT.min(left), pool.take(bounds.address, need));
    match taken.await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(AttemptOutcome::NotSent {
            unreachable: !matches!(error, ConnectError::Full { .. }),
            cause: error.to_string(),
        }),
        Err(_) => Err(AttemptOutcome::NotSent {
            cause: format!("connecting to {} timed out", bounds.address),
            unreachable: left >= CONNECT_LIMIT,
        }),
    }
}

fn late() -> AttemptOutcome {
    AttemptOutcome::NotSent {
        cause: "deadline passed before the request was sent".to_owned(),
        unreachable: false,
    }
}

fn build(
    dialect: &WireDialect,
    request: &PreparedRequest,
    marks: &TargetMarks,
) -> Request<UpstreamBody> {
    let mut message = Request::new(UpstreamBody::full(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.target.clone().into();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    remove_hop_by_hop(headers);
    // The body is already buffered, so the target is not asked for `100 Continue`.
    headers.remove(EXPECT);
    (dialect.write_target)(headers, marks);
    message
}

// Returns the response metadata, the outcome before the response is validated, and whether the
// connection may be reused.
async fn exchange(
    connection: &mut PooledConnection,
    dialect: &WireDialect,
    budget: &AnswerBudget,
    message: Request<UpstreamBody>,
) -> (AnswerMarks, AttemptOutcome, bool) {
    let answer = match connection.sender.try_send_request(message).await {
        Ok(answer) => answer,
        Err(mut error) => {
            let unsent = error.take_message().is_some();
            let cause = error.into_error().to_string();
            let outcome = if unsent {
                AttemptOutcome::NotSent {
                    cause,
                    unreachable: false,
                }
            } else {
                AttemptOutcome::Unknown {
                    cause,
                    silent: false,
                    dead_after: connection.idle_for,
                }
            };
            return (AnswerMarks::default(), outcome, false);
        }
    };
    let marks = (dialect.read_answer)(answer.headers());
    match read_whole(budget, answer).await {
        Ok(answer) => (marks, AttemptOutcome::Answered(answer), true),
        Err(cause) => (marks, unknown(cause), false),
    }
}

async fn read_whole(
    budget: &AnswerBudget,
    answer: Response<Incoming>,
) -> Result<WholeAnswer, String> {
    let (parts, body) = answer.into_parts();
    let body = budget.read_whole(body).await?;
    let mut headers = parts.headers;
    remove_hop_by_hop(&mut headers);
    Ok(WholeAnswer {
        status: parts.status,
        headers,
        body,
    })
}

fn judge(outcome: AttemptOutcome, marks: &AnswerMarks, own: bool) -> AttemptOutcome {
    let AttemptOutcome::Answered(answer) = &outcome else {
        return outcome;
    };
    let misdirected = answer.status == StatusCode::MISDIRECTED_REQUEST;
    // A target that rejects a request may leave out the identifier. A response to another request
    // would carry that request's identifier.
    let rejected = misdirected || marks.not_run;
    if rejected && (own || marks.request.is_none()) {
        return AttemptOutcome::Rejected { misdirected };
    }
    let whole = !answer.status.is_success() || marks.sealed;
    if own && whole {
        return outcome;
    }
    let cause = if own {
        "response lacks the header of a target"
    } else {
        "response identifier does not match the request"
    };
    unknown(cause.to_owned())
}

// A response arrived but was truncated or failed validation.
fn unknown(cause: String) -> AttemptOutcome {
    AttemptOutcome::Unknown {
        cause,
        silent: false,
        dead_after: None,
    }
}
