//! One exchange with a target or a peer, and what must be given back when it ends.

use crate::slots::SlotLease;
use fighall_core::{clock::boot_time, ids::BootTime, value};
use fighall_net::{
    body::OutboundBody,
    headers::REQUEST_HEADER,
    pool::{ConnectError, ConnectionOptions, ConnectionPool, PooledConnection, SendError},
};
use fighall_route::retry::AttemptResult;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

value! {
    /// `AttemptFailure` is how an attempt ended without an answer.
    pub struct AttemptFailure {
        /// Whether the request may have run.
        pub result: AttemptResult,
        /// What happened.
        pub cause: String,
        /// Whether the connection went silent.
        pub silent: bool,
    }
}

impl AttemptFailure {
    /// Creates the failure of a request that certainly did not run.
    pub fn not_run(cause: impl ToString) -> Self {
        Self {
            result: AttemptResult::NotRun,
            cause: cause.to_string(),
            silent: false,
        }
    }

    /// Creates the failure of a request whose connection went silent; it may have run.
    pub fn silent(cause: impl ToString) -> Self {
        Self {
            silent: true,
            ..Self::may_have_run(cause)
        }
    }

    /// Creates the failure of a request that may have run.
    pub fn may_have_run(cause: impl ToString) -> Self {
        Self {
            result: AttemptResult::MayHaveRun,
            cause: cause.to_string(),
            silent: false,
        }
    }
}

impl AttemptFailure {
    /// Joins the failures of two attempts at one request: it did not run only if neither did.
    pub fn join(self, other: Self) -> Self {
        if self.result == AttemptResult::NotRun {
            return other;
        }
        self
    }
}

/// `ReuseFlag` tells, while an exchange runs, whether its connection carried one before.
#[derive(Debug, Clone, Default)]
pub struct ReuseFlag(Rc<Cell<bool>>);

impl ReuseFlag {
    /// Tells whether the connection carried an exchange before.
    pub fn get(&self) -> bool {
        self.0.get()
    }
}

/// `ExchangeGuard` gives the connection and the slot back when an exchange has ended. Dropping it
/// cancels the exchange: the connection is closed, which the target sees.
#[derive(Debug)]
pub struct ExchangeGuard {
    pool: Rc<ConnectionPool>,
    connection: Option<PooledConnection>,
    slot: Option<SlotLease>,
    reused: ReuseFlag,
    // Whether the target may be at work on the request.
    running: bool,
}

impl ExchangeGuard {
    /// Creates the guard of an exchange; requests to peers hold no slot here.
    /// `reused` will tell whether the connection carried an exchange before.
    pub fn new(pool: Rc<ConnectionPool>, slot: Option<SlotLease>, reused: ReuseFlag) -> Self {
        Self {
            pool,
            connection: None,
            slot,
            reused,
            running: false,
        }
    }

    /// Ends an exchange whose answer came whole.
    pub fn finish(mut self) {
        self.running = false;
        if let Some(connection) = self.connection.take() {
            self.pool.put(connection);
        }
    }

    /// Ends an exchange whose answer was cut.
    pub fn fail(mut self) {
        self.running = false;
        if let Some(slot) = &self.slot {
            slot.note_failure();
        }
    }

    /// Tells whether the connection carried an exchange before.
    pub fn was_reused(&self) -> bool {
        self.reused.get()
    }

    /// Gets the slot.
    pub fn slot(&self) -> Option<&SlotLease> {
        self.slot.as_ref()
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        if let Some(slot) = &self.slot
            && self.running
        {
            slot.note_cancelled();
        }
    }
}

value! {
    /// `ExchangeBounds` are the bounds of one attempt.
    #[derive(Copy)]
    pub struct ExchangeBounds {
        /// What the connection must be like.
        pub need: ConnectionOptions,
        /// When the attempt is given up without the answer's head.
        pub give_up_at: BootTime,
    }
}

/// Sends a request over a connection and waits for the answer's head. An answer with the identifier of another
/// request is not accepted.
///
/// # Errors
///
/// Returns whether the request may have run. It certainly did not when no connection was had, or
/// when the connection closed before it took the request.
pub async fn send(
    guard: &mut ExchangeGuard,
    address: SocketAddr,
    request: Request<OutboundBody>,
    bounds: ExchangeBounds,
) -> Result<Response<Incoming>, AttemptFailure> {
    let pool = Rc::clone(&guard.pool);
    let id = request.headers().get(&REQUEST_HEADER).cloned();
    let text = id.as_ref().and_then(|id| id.to_str().ok());
    let connection = pool.take(address, text, bounds.need).await;
    let connection = connection.map_err(|error: ConnectError| AttemptFailure::not_run(error))?;
    guard.reused.0.set(connection.idle_for.is_some());
    let connection = guard.connection.insert(connection);
    let left = bounds.give_up_at.saturating_sub(boot_time());
    if left.is_zero() {
        return Err(AttemptFailure::not_run("the time was up before sending"));
    }
    guard.running = true;
    if let Some(text) = text {
        connection.carried.add(text);
    }
    let sending = connection.send(request);
    match compio::time::timeout(left, sending).await {
        Ok(Ok(response)) => {
            if is_of_another(&response, id.as_ref()) {
                guard.connection = None;
                let cause = "the answer belongs to another request";
                return Err(AttemptFailure::may_have_run(cause));
            }
            Ok(response)
        }
        Ok(Err(error)) => {
            guard.connection = None;
            if matches!(error, SendError::NotSent { .. }) {
                guard.running = false;
                return Err(AttemptFailure::not_run(error));
            }
            Err(AttemptFailure::may_have_run(error))
        }
        Err(_) => {
            guard.connection = None;
            pool.close_idle(address);
            let cause = format!("no answer within {} ms", millis(left));
            Err(AttemptFailure::silent(cause))
        }
    }
}

// Targets need not return the identifier; probes have none.
fn is_of_another(response: &Response<Incoming>, id: Option<&HeaderValue>) -> bool {
    let returned = response.headers().get(&REQUEST_HEADER);
    returned.is_some() && returned != id
}

fn millis(duration: Duration) -> u128 {
    duration.as_millis()
}
