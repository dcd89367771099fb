//! Opening of connections to targets and peers.

use crate::{
    body::OutboundBody, pool::ConnectError, reset::ExchangeReset, socket::connect,
    stream::SocketStream,
};
use compio::net::TcpStream;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::{SockRef, TcpKeepalive};
use std::{
    io::ErrorKind,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

/// Time after which the operating system closes a connection with unacknowledged data
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest head of a response, and largest read buffer of a connection, in bytes. A process has thousands of
/// connections, each of whose remote hosts may send a head without end.
const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1_024;
/// Idle time before the first TCP keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

// Gets the address and the number of an idle connection on which bytes arrived.
type SurplusObserver = Rc<dyn Fn(SocketAddr, u64)>;

/// `ConnectionOpener` opens the connections of a pool.
pub(crate) struct ConnectionOpener {
    /// Source address of connections; the operating system chooses one if it is absent.
    pub(crate) source_address: Option<IpAddr>,
    /// Called when bytes arrived on a connection while no request was sent.
    pub(crate) on_surplus: SurplusObserver,
}

impl Default for ConnectionOpener {
    fn default() -> Self {
        Self {
            source_address: None,
            on_surplus: Rc::new(|_, _| {}),
        }
    }
}

impl ConnectionOpener {
    /// Opens a connection to an address, with the number that it has in its pool.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        number: u64,
    ) -> Result<(SendRequest<OutboundBody>, ExchangeReset), ConnectError> {
        let refused = |cause: String| ConnectError::Refused {
            address,
            cause,
            port_closed: false,
        };
        let stream = connect(address, self.source_address).await;
        let stream = stream.map_err(|error| ConnectError::Refused {
            address,
            cause: error.to_string(),
            port_closed: error.kind() == ErrorKind::ConnectionRefused,
        })?;
        set_socket_options(&stream).map_err(|error| refused(error.to_string()))?;
        let stream = SocketStream::new(stream).map_err(|error| refused(error.to_string()))?;
        let reset = ExchangeReset::new(&stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(stream)
            .await
            .map_err(|error| refused(error.to_string()))?;
        let observe = Rc::clone(&self.on_surplus);
        let connection_task = async move {
            if connection.await.is_err_and(|error| is_surplus(&error)) {
                observe(address, number);
            }
        };
        compio::runtime::spawn(connection_task).detach();
        Ok((sender, reset))
    }
}

// Tells whether a connection ended because bytes arrived on it while no request was sent. Errors of the socket have a
// source; those of an exchange are returned to the exchange by the sender.
fn is_surplus(error: &hyper::Error) -> bool {
    let ended = error.is_closed() || error.is_canceled() || error.is_incomplete_message();
    !ended && std::error::Error::source(error).is_none()
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    let descriptor = stream.to_poll_fd()?;
    let socket = SockRef::from(&descriptor);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))
}
