//! Reset of connections whose exchange was given up.

use crate::stream::SocketStream;
use compio::driver::SharedFd;
use socket2::{SockRef, Socket};
use std::time::Duration;

/// `ExchangeReset` makes the operating system reset a connection that is closed while it is armed, also by the end of
/// the process (`SO_LINGER` of zero). Bytes that the remote host has not acknowledged are then dropped, and not
/// delivered once the network allows it.
#[derive(Debug)]
pub(crate) struct ExchangeReset {
    // Keeps the socket open until the reset was disarmed or is to take effect.
    socket: SharedFd<Socket>,
}

impl ExchangeReset {
    /// Creates the reset of a connection, which is not armed.
    pub(crate) fn new(stream: &SocketStream) -> Self {
        Self {
            socket: stream.to_shared_socket(),
        }
    }

    /// Makes closing the connection a reset.
    pub(crate) fn arm(&self) {
        self.set_linger(Some(Duration::ZERO));
    }

    /// Makes closing the connection orderly: bytes that were sent are still delivered.
    pub(crate) fn disarm(&self) {
        self.set_linger(None);
    }

    // The option can be set on any open socket.
    fn set_linger(&self, duration: Option<Duration>) {
        let _ = SockRef::from(&self.socket).set_linger(duration);
    }
}
