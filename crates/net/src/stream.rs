//! Sockets as hyper reads and writes them. They hold no buffers of their own, as hyper has some for
//! each connection, and a host keeps hundreds of connections.

use compio::{net::TcpStream, runtime::fd::PollFd};
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;
use socket2::{SockRef, Socket};
use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
};

/// Bytes that are read at once: the size of hyper's first buffer.
pub(crate) const READ_SIZE: usize = 8 * 1_024;

/// `SocketStream` is a connected socket.
#[derive(Debug)]
pub struct SocketStream {
    socket: PollFd<Socket>,
}

impl SocketStream {
    /// Creates a stream of a connected socket.
    ///
    /// # Errors
    ///
    /// Returns the error of setting the socket up.
    pub fn new(stream: TcpStream) -> Result<Self> {
        let socket = stream.into_poll_fd()?;
        SockRef::from(&socket).set_nonblocking(true)?;
        Ok(Self { socket })
    }

    /// Reads what has come, at most as much as fits into `bytes`; nothing at the connection's end.
    pub fn poll_bytes(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<Result<usize>> {
        AsyncRead::poll_read(Pin::new(&mut self.socket), cx, bytes)
    }
}

impl hyper::rt::Read for SocketStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let mut bytes = [0; READ_SIZE];
        let most = cursor.remaining().min(READ_SIZE);
        let read = ready!(self.poll_bytes(cx, &mut bytes[..most]))?;
        cursor.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for SocketStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        AsyncWrite::poll_write(Pin::new(&mut self.socket), cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        AsyncWrite::poll_write_vectored(Pin::new(&mut self.socket), cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    // Bytes go to the kernel at once.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        AsyncWrite::poll_close(Pin::new(&mut self.socket), cx)
    }
}
