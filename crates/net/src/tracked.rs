//! Streams that report their progress to the table of open connections.

use crate::{connections::OpenConnection, stream::SocketStream};
use compio::driver::SharedFd;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::Socket;
use std::{
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

/// `TrackedStream` is the stream of an open connection.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: SocketStream,
    connection: Rc<OpenConnection>,
}

impl TrackedStream {
    /// Wraps the stream of a connection.
    pub(crate) fn new(stream: SocketStream, connection: Rc<OpenConnection>) -> Self {
        Self { stream, connection }
    }

    /// Gets the state of the connection.
    pub(crate) fn connection(&self) -> &OpenConnection {
        &self.connection
    }

    /// Reads like [`SocketStream::poll_read_bytes`].
    pub(crate) fn poll_read_bytes(
        &mut self,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<Result<usize>> {
        let read = self.stream.poll_read_bytes(cx, bytes);
        if let Poll::Ready(Ok(_)) = read {
            self.connection.record_progress();
        }
        read
    }

    /// Returns a reference to the socket, see [`SocketStream::to_shared_socket`].
    pub(crate) fn to_shared_socket(&self) -> SharedFd<Socket> {
        self.stream.to_shared_socket()
    }

    /// Tells whether the client has closed the connection, see [`SocketStream::is_closed_by_peer`].
    pub(crate) fn is_closed_by_peer(&self) -> bool {
        self.stream.is_closed_by_peer()
    }

    fn record_write(&self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(_)) = written {
            self.connection.record_progress();
        }
        self.connection.set_write_blocked(written.is_pending());
        written
    }
}

impl Read for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, cursor);
        if let Poll::Ready(Ok(())) = read {
            self.connection.record_progress();
        }
        read
    }
}

impl Write for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
