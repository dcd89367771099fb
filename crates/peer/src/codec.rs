//! CBOR over WebSocket on a compio stream.

use crate::errors::{Error, Result};
use compio::{io::compat::AsyncStream, net::TcpStream};
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::pin::Pin;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Largest message, in bytes. A document of the configuration has at most a mebibyte.
const MESSAGE_LIMIT: usize = 4 << 20;

/// Bytes that one read may bring. The library clears its buffer before each read, so that a large
/// one costs more than the messages that it would save reads for.
const READ_BUFFER: usize = 8 << 10;

type LinkStream = Compat<Pin<Box<AsyncStream<TcpStream>>>>;

/// `MessageLink` sends and receives messages over one WebSocket.
pub struct MessageLink {
    socket: WebSocketStream<LinkStream>,
}

impl std::fmt::Debug for MessageLink {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MessageLink").finish_non_exhaustive()
    }
}

impl MessageLink {
    /// Opens the WebSocket of a connection that this side dialled.
    ///
    /// # Errors
    ///
    /// Returns an error when the handshake fails.
    pub async fn new_dialled(tcp: TcpStream) -> Result<Self> {
        let stream = wrap(tcp);
        let (socket, _) = tokio_tungstenite::client_async_with_config(
            "ws://fighall/peers",
            stream,
            Some(socket_config()),
        )
        .await
        .map_err(Error::link)?;
        Ok(Self { socket })
    }

    /// Opens the WebSocket of a connection that this side accepted.
    ///
    /// # Errors
    ///
    /// Returns an error when the handshake fails.
    pub async fn new_accepted(tcp: TcpStream) -> Result<Self> {
        let stream = wrap(tcp);
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(socket_config()))
            .await
            .map_err(Error::link)?;
        Ok(Self { socket })
    }

    /// Queues a message; it goes out with the next flush.
    ///
    /// # Errors
    ///
    /// Returns an error when the link failed.
    pub async fn feed<T: Serialize>(&mut self, message: &T) -> Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(Error::message)?;
        let frame = Message::binary(bytes);
        self.socket.feed(frame).await.map_err(Error::link)
    }

    /// Sends what was queued.
    ///
    /// # Errors
    ///
    /// Returns an error when the link failed.
    pub async fn flush(&mut self) -> Result<()> {
        self.socket.flush().await.map_err(Error::link)
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Returns an error when the link failed.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<()> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error when the link failed or ended, or the message cannot be read.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<T> {
        loop {
            let frame = self.socket.next().await.ok_or(Error::Closed)?;
            match frame.map_err(Error::link)? {
                Message::Binary(bytes) => {
                    return ciborium::from_reader(bytes.as_ref()).map_err(Error::message);
                }
                Message::Close(_) => return Err(Error::Closed),
                _ => continue,
            }
        }
    }
}

fn wrap(tcp: TcpStream) -> LinkStream {
    Box::pin(AsyncStream::new(tcp)).compat()
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
}
