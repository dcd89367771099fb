//! CBOR messages over WebSocket on a compio stream.

use crate::errors::{Error, Result};
use compio::net::TcpStream;
use fighall_net::stream::SocketStream;
use futures_util::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{Message, protocol::WebSocketConfig},
};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Size limit of a message, in bytes. A configuration document has at most 1 MiB.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Size of the read buffer, in bytes. The WebSocket library zeroes the buffer before each read, so that a
/// larger buffer costs more than the reads it would save.
const READ_BUFFER_BYTES: usize = 8 << 10;

type LinkStream = Compat<SocketStream>;

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
    /// Performs the WebSocket handshake as the client of a dialled connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails.
    pub async fn new_dialled(tcp: TcpStream) -> Result<Self> {
        let stream = link_stream(tcp)?;
        let (socket, _) = tokio_tungstenite::client_async_with_config(
            "ws://fighall/peers",
            stream,
            Some(websocket_config()),
        )
        .await
        .map_err(Error::link)?;
        Ok(Self { socket })
    }

    /// Performs the WebSocket handshake as the server of an accepted connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the handshake fails.
    pub async fn new_accepted(tcp: TcpStream) -> Result<Self> {
        let stream = link_stream(tcp)?;
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()))
            .await
            .map_err(Error::link)?;
        Ok(Self { socket })
    }

    /// Buffers a message until the next flush.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded or the link fails.
    pub async fn feed<T: Serialize>(&mut self, message: &T) -> Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).map_err(Error::message)?;
        let frame = Message::binary(bytes);
        self.socket.feed(frame).await.map_err(Error::link)
    }

    /// Sends all buffered messages.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded or the link fails.
    pub async fn flush(&mut self) -> Result<()> {
        self.socket.flush().await.map_err(Error::link)
    }

    /// Sends a message and flushes the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded or the link fails.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<()> {
        self.feed(message).await?;
        self.flush().await
    }

    /// Receives the next message; frames other than binary ones are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the link fails or is closed, or the message cannot be decoded.
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

fn link_stream(tcp: TcpStream) -> Result<LinkStream> {
    let stream = SocketStream::new(tcp).map_err(Error::link)?;
    Ok(stream.compat())
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}
