//! Lingering close: after a response that was sent before its request was read to the end, the rest of the request is
//! read and discarded for a while. Closing the connection at once would reset it, and the client could lose the response
//! (RFC 9112, section 9.6).

use crate::stream::{READ_SIZE, SocketStream};
use compio::driver::SharedFd;
use futures_util::future::poll_fn;
use socket2::Socket;
use std::time::Duration;

/// Longest time for which a closing connection is read.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Reads and discards what the client still sends, until it closes the connection or the time is over.
pub(crate) async fn discard_rest(socket: SharedFd<Socket>) {
    let Ok(mut stream) = SocketStream::from_shared_socket(socket) else {
        return;
    };
    let discard = async {
        let mut bytes = vec![0; READ_SIZE];
        while let Ok(1..) = poll_fn(|cx| stream.poll_read_bytes(cx, &mut bytes)).await {}
    };
    // Nothing depends on whether the client has closed the connection.
    let _ = compio::time::timeout(LINGER_TIME, discard).await;
}
