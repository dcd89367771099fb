//! Connection pools for targets and peers. A connection carries one exchange at a time. It is reset if
//! its exchange was cancelled or cut off, so that the request is not delivered later, and a late response
//! cannot be taken for that of another request. It carries one identifier once, so that the copy of a
//! response cannot be taken for that of a later attempt.

use crate::{
    body::OutboundBody,
    carried::CarriedRequests,
    interim::{MAX_INTERIM_RESPONSES, listen_excess},
    opener::ConnectionOpener,
    reset::ExchangeReset,
};
use fighall_core::{clock::boot_time, ids::BootTime, value};
use futures_util::{FutureExt, select_biased};
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use snafu::Snafu;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    pin::pin,
    rc::Rc,
    time::Duration,
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Time after which an idle connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// `ConnectError` is the reason why no connection was available. The request was not sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// The connection could not be opened.
    #[snafu(display("connecting to {address} failed: {cause}"))]
    Refused {
        /// Address that was connected to.
        address: SocketAddr,
        /// Error of the socket or of the handshake, as text.
        cause: String,
        /// Whether no process accepts connections at the address.
        port_closed: bool,
    },
    /// The connection was not open within the time limit.
    #[snafu(display("connecting to {address} timed out"))]
    Timeout {
        /// Address that was connected to.
        address: SocketAddr,
    },
    /// The limit on connections to the address is reached, and all are in use.
    #[snafu(display("the limit on connections to {address} is reached"))]
    Full {
        /// Address whose limit is reached.
        address: SocketAddr,
    },
}

/// `SendError` is the reason why there is no response to a request. The connection cannot be used again.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The connection closed before it accepted the request.
    #[snafu(display("the request was not sent: {source}"))]
    NotSent {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The connection failed; the request may have run.
    #[snafu(display("{source}"))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The remote host sent too many interim responses; the request may have run.
    #[snafu(display("more than {limit} interim responses"))]
    InterimLimit {
        /// The limit.
        limit: usize,
    },
}

value! {
    /// `ConnectionOptions` holds the conditions for taking a connection from the pool.
    #[derive(Copy)]
    pub struct ConnectionOptions {
        /// Longest idle time of a connection to reuse; zero opens a new one.
        pub max_idle_time: Duration,
        /// Largest number of open connections to the address from this pool, idle ones included.
        pub max_connections: u32,
    }
}

struct IdleConnection {
    sender: SendRequest<OutboundBody>,
    reset: ExchangeReset,
    guard: ConnectionGuard,
    number: u64,
    carried: CarriedRequests,
    idle_since: BootTime,
    idle_timeout: Duration,
}

impl IdleConnection {
    fn idle_duration(&self) -> Duration {
        boot_time().saturating_sub(self.idle_since)
    }

    fn is_usable(&self) -> bool {
        self.idle_duration() < self.idle_timeout && !self.sender.is_closed()
    }
}

#[derive(Default)]
struct AddressPool {
    idle: Vec<IdleConnection>,
    open_count: Rc<Cell<u32>>,
}

// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Cell<u32>>);

impl ConnectionGuard {
    fn new(open_count: &Rc<Cell<u32>>) -> Self {
        open_count.set(open_count.get() + 1);
        Self(Rc::clone(open_count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// `PooledConnection` is a connection taken from the pool for one exchange.
pub struct PooledConnection {
    /// Remote address.
    pub address: SocketAddr,
    /// Time since the previous exchange; absent for a new connection.
    pub idle_for: Option<Duration>,
    /// Number of the connection, unique in its pool.
    pub number: u64,
    /// Requests that were sent on the connection.
    pub carried: CarriedRequests,
    /// Sends requests on the connection.
    pub sender: SendRequest<OutboundBody>,
    reset: ExchangeReset,
    guard: ConnectionGuard,
}

impl PooledConnection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response; the connection must be dropped then.
    pub async fn send(
        &mut self,
        mut request: Request<OutboundBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut excess = listen_excess(&mut request).fuse();
        let mut response = pin!(self.sender.try_send_request(request).fuse());
        select_biased! {
            response = response => response.map_err(|mut error| {
                let is_unsent = error.take_message().is_some();
                let source = error.into_error();
                if is_unsent {
                    return SendError::NotSent { source };
                }
                SendError::Broken { source }
            }),
            () = excess => Err(SendError::InterimLimit {
                limit: MAX_INTERIM_RESPONSES,
            }),
        }
    }

    /// Ends the exchange in order: the connection is not reset if it is dropped instead of returned to the pool.
    pub fn end_exchange(&self) {
        self.reset.disarm();
    }
}

impl std::fmt::Debug for PooledConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PooledConnection")
            .field("address", &self.address)
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

/// `ConnectionPool` holds idle connections by remote address.
pub struct ConnectionPool {
    opener: ConnectionOpener,
    idle_timeout: Duration,
    addresses: RefCell<BTreeMap<SocketAddr, AddressPool>>,
    opened_count: Cell<u64>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConnectionPool").finish_non_exhaustive()
    }
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new()
    }
}

impl ConnectionPool {
    /// Creates an empty pool; the operating system chooses the source address of connections.
    pub fn new() -> Self {
        Self {
            opener: ConnectionOpener::default(),
            idle_timeout: IDLE_TIMEOUT,
            addresses: RefCell::new(BTreeMap::new()),
            opened_count: Cell::new(0),
        }
    }

    /// Sets what is called with the address and the number of a connection that is closed because bytes arrived on
    /// it while no request was sent.
    pub fn with_surplus_observer(mut self, observe: impl Fn(SocketAddr, u64) + 'static) -> Self {
        self.opener.on_surplus = Rc::new(observe);
        self
    }

    /// Sets the time after which an idle connection is not reused and is closed.
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the source address of connections; without one, the operating system chooses it.
    pub fn with_source_address(mut self, source_address: Option<IpAddr>) -> Self {
        self.opener.source_address = source_address;
        self
    }

    /// Takes an idle connection whose idle time is within the limit, or opens a new one. With the identifier of a
    /// `request`, the connection has not carried it before.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is available; nothing was sent.
    pub async fn take(
        &self,
        address: SocketAddr,
        request: Option<&str>,
        options: ConnectionOptions,
    ) -> Result<PooledConnection, ConnectError> {
        while let Some(idle) = self.take_idle(address, request, options.max_idle_time) {
            let idle_for = Some(idle.idle_duration());
            let mut sender = idle.sender;
            // The connection's task may not yet have processed the end of the last exchange.
            let ready = compio::time::timeout(CONNECT_TIMEOUT, sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                idle.reset.arm();
                return Ok(PooledConnection {
                    address,
                    idle_for,
                    number: idle.number,
                    carried: idle.carried,
                    sender,
                    reset: idle.reset,
                    guard: idle.guard,
                });
            }
        }
        let guard = self.reserve(address, options.max_connections)?;
        let number = self.opened_count.get() + 1;
        self.opened_count.set(number);
        let opened =
            compio::time::timeout(CONNECT_TIMEOUT, self.opener.open(address, number)).await;
        let (sender, reset) = opened.map_err(|_| ConnectError::Timeout { address })??;
        reset.arm();
        Ok(PooledConnection {
            address,
            idle_for: None,
            number,
            carried: CarriedRequests::default(),
            sender,
            reset,
            guard,
        })
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn put(&self, connection: PooledConnection) {
        self.put_with_idle_timeout(connection, self.idle_timeout);
    }

    /// Returns a connection to the pool that must not be reused after it was idle for `idle_timeout`, or
    /// for the pool's own idle time if that is shorter.
    pub fn put_with_idle_timeout(&self, connection: PooledConnection, idle_timeout: Duration) {
        connection.end_exchange();
        if connection.sender.is_closed() || connection.carried.is_full() {
            return;
        }
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.entry(connection.address).or_default();
        if pool.idle.len() < MAX_IDLE_PER_ADDRESS {
            pool.idle.push(IdleConnection {
                sender: connection.sender,
                reset: connection.reset,
                guard: connection.guard,
                number: connection.number,
                carried: connection.carried,
                idle_since: boot_time(),
                idle_timeout: idle_timeout.min(self.idle_timeout),
            });
        }
    }

    /// Closes all idle connections to an address: if one stopped responding, the others may be dead too.
    pub fn close_idle(&self, address: SocketAddr) {
        if let Some(pool) = self.addresses.borrow_mut().get_mut(&address) {
            pool.idle.clear();
        }
    }

    /// Closes the idle connections to all addresses.
    pub fn close_all_idle(&self) {
        for pool in self.addresses.borrow_mut().values_mut() {
            pool.idle.clear();
        }
    }

    /// Closes all idle connections to an address, if one is given.
    pub fn close_idle_to(&self, address: Option<SocketAddr>) {
        if let Some(address) = address {
            self.close_idle(address);
        }
    }

    /// Closes idle connections whose idle time has passed, and those closed by the other side.
    pub fn prune(&self) {
        let mut addresses = self.addresses.borrow_mut();
        for pool in addresses.values_mut() {
            pool.idle.retain(IdleConnection::is_usable);
        }
        addresses.retain(|_, pool| pool.open_count.get() > 0);
    }

    // The connection used last is the least likely to be dead.
    fn take_idle(
        &self,
        address: SocketAddr,
        request: Option<&str>,
        max_idle_time: Duration,
    ) -> Option<IdleConnection> {
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.get_mut(&address)?;
        pool.idle.retain(IdleConnection::is_usable);
        let index = pool.idle.iter().rposition(|idle| {
            let repeated = request.is_some_and(|request| idle.carried.contains(request));
            idle.idle_duration() <= max_idle_time && !repeated
        })?;
        Some(pool.idle.remove(index))
    }

    fn reserve(&self, address: SocketAddr, limit: u32) -> Result<ConnectionGuard, ConnectError> {
        let mut addresses = self.addresses.borrow_mut();
        let pool = addresses.entry(address).or_default();
        // Closes the oldest idle connection to stay within the limit.
        if pool.open_count.get() >= limit && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
        if pool.open_count.get() >= limit {
            return Err(ConnectError::Full { address });
        }
        Ok(ConnectionGuard::new(&pool.open_count))
    }
}
