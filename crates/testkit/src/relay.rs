//! A relay of TCP connections that can let the open ones go silent, as a middlebox that has lost
//! track of them would.

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use event_listener::Event;
use futures_util::{FutureExt, pin_mut, select_biased};
use std::{cell::Cell, net::SocketAddr, rc::Rc};

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1_024;

#[derive(Debug, Default)]
struct RelayState {
    accepted: Cell<u64>,
    silent_before: Cell<u64>,
    silenced: Event,
}

/// `SilentRelay` passes connections on to one address.
#[derive(Debug)]
pub struct SilentRelay {
    address: SocketAddr,
    state: Rc<RelayState>,
}

impl SilentRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the relay's address.
    pub async fn start(target: String) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(RelayState::default());
        compio::runtime::spawn(accept(listener, target, Rc::clone(&state))).detach();
        Ok(Self { address, state })
    }

    /// Gets the relay's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.get()
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.state.silent_before.set(self.state.accepted.get() + 1);
        self.state.silenced.notify(usize::MAX);
    }
}

async fn accept(listener: TcpListener, target: String, state: Rc<RelayState>) {
    while let Ok((stream, _)) = listener.accept().await {
        state.accepted.set(state.accepted.get() + 1);
        let number = state.accepted.get();
        let Ok(onward) = TcpStream::connect(target.as_str()).await else {
            continue;
        };
        let there = copy(stream.clone(), onward.clone(), number, Rc::clone(&state));
        let back = copy(onward, stream, number, Rc::clone(&state));
        compio::runtime::spawn(there).detach();
        compio::runtime::spawn(back).detach();
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, state: Rc<RelayState>) {
    loop {
        let silenced = state.silenced.listen();
        if number < state.silent_before.get() {
            // Both ends keep their sockets and hear nothing any more.
            std::future::pending::<()>().await;
        }
        let read = from.read(Vec::with_capacity(CHUNK)).fuse();
        let silenced = silenced.fuse();
        pin_mut!(read, silenced);
        let BufResult(outcome, bytes) = select_biased! {
            () = silenced => continue,
            outcome = read => outcome,
        };
        match outcome {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
        let BufResult(written, _) = to.write_all(bytes).await;
        if written.is_err() {
            break;
        }
    }
}
