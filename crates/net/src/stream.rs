//! Adapter from sockets to the I/O traits of hyper and of futures. It has no buffers of its own: hyper already has some for
//! each connection, and a host has hundreds of connections.

use compio::{
    driver::{SharedFd, ToSharedFd},
    net::TcpStream,
    runtime::fd::PollFd as SocketFd,
};
use fighall_kernel::turn::TaskTurn;
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::{SockRef, Socket};
use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Largest number of bytes in one read: the initial size of hyper's read buffer.
pub(crate) const READ_SIZE: usize = 8 * 1_024;
/// Number of bytes that a task transfers on one connection before it gives way to others.
const TURN_BYTES: usize = 4 * READ_SIZE;

/// `SocketStream` is a connected socket.
#[derive(Debug)]
pub struct SocketStream {
    socket: SocketFd<Socket>,
    turn: TaskTurn,
}

impl SocketStream {
    /// Wraps a connected socket and sets it to non-blocking mode.
    ///
    /// # Errors
    ///
    /// Returns the error of registering the socket or of changing its mode.
    pub fn new(stream: TcpStream) -> Result<Self> {
        let socket = stream.into_poll_fd()?;
        SockRef::from(&socket).set_nonblocking(true)?;
        Ok(Self::with_socket(socket))
    }

    /// Wraps a socket that another stream was wrapped around.
    ///
    /// # Errors
    ///
    /// Returns the error of registering the socket.
    pub(crate) fn from_shared_socket(socket: SharedFd<Socket>) -> Result<Self> {
        let socket = SocketFd::from_shared_fd(socket)?;
        Ok(Self::with_socket(socket))
    }

    fn with_socket(socket: SocketFd<Socket>) -> Self {
        Self {
            socket,
            turn: TaskTurn::new(TURN_BYTES),
        }
    }

    /// Returns a reference to the socket, which stays open until all references are dropped.
    pub(crate) fn to_shared_socket(&self) -> SharedFd<Socket> {
        self.socket.to_shared_fd()
    }

    /// Reads the bytes received so far into `bytes` and returns their number, 0 at the end of the
    /// stream. A remote host that sends faster than the task processes does not keep others from running.
    pub fn poll_read_bytes(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        ready!(self.turn.poll_proceed(cx));
        let read = AsyncRead::poll_read(Pin::new(&mut self.socket), cx, bytes);
        self.record_turn(&read);
        read
    }

    fn poll_write_bytes(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        ready!(self.turn.poll_proceed(cx));
        let written = AsyncWrite::poll_write(Pin::new(&mut self.socket), cx, bytes);
        self.record_turn(&written);
        written
    }

    fn record_turn(&mut self, transferred: &Poll<Result<usize>>) {
        let Self { socket, turn } = self;
        match transferred {
            Poll::Ready(Ok(length)) => turn.count(*length, || describe_peer(socket)),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => turn.wait(),
        }
    }

    /// Tells whether the other side has closed or reset the connection, also while bytes that it sent before
    /// have not been read.
    pub fn is_closed_by_peer(&self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut descriptors = [PollFd::new(&self.socket, PollFlags::RDHUP)];
        let at_once = Timespec::default();
        let polled = poll(&mut descriptors, Some(&at_once));
        polled.is_ok() && descriptors[0].revents().intersects(closed)
    }
}

fn describe_peer(socket: &SocketFd<Socket>) -> String {
    let peer = SockRef::from(socket).peer_addr();
    let peer = peer.ok().and_then(|peer| peer.as_socket());
    peer.map_or_else(
        || "closed connection".to_owned(),
        |peer| format!("connection with {peer}"),
    )
}

impl hyper::rt::Read for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut bytes = [0; READ_SIZE];
        let max_bytes = cursor.remaining().min(READ_SIZE);
        let read = ready!(self.poll_read_bytes(cx, &mut bytes[..max_bytes]))?;
        cursor.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        self.poll_read_bytes(cx, bytes)
    }
}

impl AsyncWrite for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_write_bytes(cx, bytes)
    }

    // Writes go to the socket directly; there is nothing to flush.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        AsyncWrite::poll_close(Pin::new(&mut self.socket), cx)
    }
}

impl hyper::rt::Write for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_write_bytes(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        ready!(self.turn.poll_proceed(cx));
        let written = AsyncWrite::poll_write_vectored(Pin::new(&mut self.socket), cx, slices);
        self.record_turn(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        AsyncWrite::poll_flush(self, cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        AsyncWrite::poll_close(self, cx)
    }
}
