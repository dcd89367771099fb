//! A target that sends raw bytes.

#![allow(dead_code)]

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Time between two parts of a response.
const PART_DELAY: Duration = Duration::from_millis(2);

/// Reads a request. Returns its identifier; none at the end of the connection.
pub(crate) async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<String>> {
    let compio::BufResult(read, head) = stream.read(Vec::with_capacity(4_096)).await;
    if read? == 0 {
        return Ok(None);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let mut lines = head.lines();
    let id = lines.find_map(|line| line.strip_prefix("fighall-request: "));
    Ok(Some(id.unwrap_or("").to_owned()))
}

// Answers each request on a connection with what `respond` returns for the number of the request and its
// identifier, and closes the connection if it returns true.
async fn serve_raw(
    mut stream: TcpStream,
    requests: Rc<Cell<usize>>,
    part_bytes: usize,
    respond: impl Fn(usize, &str) -> (Vec<u8>, bool),
) -> std::io::Result<()> {
    while let Some(id) = read_request(&mut stream).await? {
        let number = requests.get();
        requests.set(number + 1);
        let (response, closes) = respond(number, &id);
        for part in response.chunks(part_bytes) {
            stream.write_all(part.to_vec()).await.0?;
            if response.len() > part_bytes {
                compio::time::sleep(PART_DELAY).await;
            }
        }
        if closes {
            break;
        }
    }
    Ok(())
}

/// Starts a target that responds to each request with the bytes that `respond` returns for the number of the request and
/// its identifier, and closes the connection if it returns true.
pub(crate) async fn start_raw_target(
    respond: impl Fn(usize, &str) -> (Vec<u8>, bool) + Clone + 'static,
) -> SocketAddr {
    start_raw_target_in_parts(usize::MAX, respond).await
}

/// Starts a target like [`start_raw_target`] whose responses arrive in parts of `part_bytes`.
pub(crate) async fn start_raw_target_in_parts(
    part_bytes: usize,
    respond: impl Fn(usize, &str) -> (Vec<u8>, bool) + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let requests = Rc::new(Cell::new(0));
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = serve_raw(stream, Rc::clone(&requests), part_bytes, respond.clone());
            compio::runtime::spawn(async move {
                let _ = served.await;
            })
            .detach();
        }
    })
    .detach();
    address
}
