//! A relay of TCP connections whose faults are set from outside: a delay, bytes held back in one
//! direction or both, connections reset, open connections gone silent for good, as a middlebox that has lost
//! track of them would leave them, and new connections refused or never opened.

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::JoinHandle,
};
use event_listener::Event;
use fighall_core::value;
use futures_util::{FutureExt, pin_mut, select_biased};
use socket2::{Domain, Socket, Type};
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1_024;
/// Interval at which held bytes look for the end of the fault.
const HOLD_STEP: Duration = Duration::from_millis(20);
/// Time within which a cancelled accept has closed its listener.
const CLOSE_TIME: Duration = Duration::from_millis(30);
/// Connections that fill the queue of a listener with a backlog of 0.
const QUEUE_FILL: usize = 2;

value! {
    /// `RelayFaults` is what a relay does wrong until it is told otherwise.
    #[derive(Copy, Eq, Default)]
    pub struct RelayFaults {
        /// Delay of each chunk.
        pub delay: Duration,
        /// Holds back what goes to the target.
        pub hold_there: bool,
        /// Holds back what comes from the target.
        pub hold_back: bool,
    }
}

#[derive(Debug, Default)]
struct RelayState {
    accepted: Cell<u64>,
    silent_before: Cell<u64>,
    // Connections that are silent, whatever their number.
    silent: RefCell<BTreeSet<u64>>,
    // When bytes last passed on each connection.
    passed_at: RefCell<BTreeMap<u64, Instant>>,
    reset_before: Cell<u64>,
    faults: Cell<RelayFaults>,
    target: RefCell<String>,
    changed: Event,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayDirection {
    There,
    Back,
}

/// `FaultRelay` passes connections on to one address.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    state: Rc<RelayState>,
    accept_task: RefCell<Option<JoinHandle<()>>>,
    full_queue: RefCell<Vec<Socket>>,
}

impl FaultRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the relay's address.
    pub async fn start(target: String) -> std::io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let state = Rc::new(RelayState::default());
        state.target.replace(target);
        let accept_task = compio::runtime::spawn(accept(listener, Rc::clone(&state)));
        Ok(Self {
            address,
            state,
            accept_task: RefCell::new(Some(accept_task)),
            full_queue: RefCell::default(),
        })
    }

    /// Gets the relay's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets the number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.get()
    }

    /// Sets the address that new connections are passed on to.
    pub fn set_target(&self, target: String) {
        self.state.target.replace(target);
    }

    /// Sets the faults of all connections.
    pub fn set_faults(&self, faults: RelayFaults) {
        self.state.faults.set(faults);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn silence(&self) {
        self.state.silent_before.set(self.state.accepted.get() + 1);
        self.state.changed.notify(usize::MAX);
    }

    /// Lets the open connections go silent for good on which nothing has passed for `idle_time`.
    pub fn silence_idle(&self, idle_time: Duration) {
        for (number, passed_at) in &*self.state.passed_at.borrow() {
            if passed_at.elapsed() >= idle_time {
                self.state.silent.borrow_mut().insert(*number);
            }
        }
        self.state.changed.notify(usize::MAX);
    }

    /// Refuses new connections; open ones go on.
    pub async fn refuse_new(&self) {
        self.full_queue.borrow_mut().clear();
        self.accept_task.borrow_mut().take();
        compio::time::sleep(CLOSE_TIME).await;
    }

    /// Lets new connections hang before they open; open ones go on.
    ///
    /// # Errors
    ///
    /// Returns the error of a socket.
    pub async fn hang_new(&self) -> std::io::Result<()> {
        self.refuse_new().await;
        let address = self.address.into();
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&address)?;
        listener.listen(0)?;
        let mut sockets = vec![listener];
        for _ in 0..QUEUE_FILL {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None)?;
            filler.set_nonblocking(true)?;
            // The connection is opened, or hangs, without the socket.
            let _ = filler.connect(&address);
            sockets.push(filler);
        }
        self.full_queue.replace(sockets);
        Ok(())
    }

    /// Accepts new connections again.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the relay's address.
    pub async fn accept_new(&self) -> std::io::Result<()> {
        self.refuse_new().await;
        let listener = TcpListener::bind(self.address).await?;
        let accept_task = compio::runtime::spawn(accept(listener, Rc::clone(&self.state)));
        self.accept_task.replace(Some(accept_task));
        Ok(())
    }

    /// Resets all open connections; new ones work.
    pub fn reset(&self) {
        self.state.reset_before.set(self.state.accepted.get() + 1);
        self.state.changed.notify(usize::MAX);
    }
}

async fn accept(listener: TcpListener, state: Rc<RelayState>) {
    while let Ok((stream, _)) = listener.accept().await {
        state.accepted.set(state.accepted.get() + 1);
        let number = state.accepted.get();
        compio::runtime::spawn(connect(stream, number, Rc::clone(&state))).detach();
    }
}

async fn connect(stream: TcpStream, number: u64, state: Rc<RelayState>) {
    let target = state.target.borrow().clone();
    let Ok(onward) = TcpStream::connect(target.as_str()).await else {
        return;
    };
    state.record_pass(number);
    let _ = stream.set_nodelay(true);
    let _ = onward.set_nodelay(true);
    let there = copy(
        stream.clone(),
        onward.clone(),
        number,
        Rc::clone(&state),
        RelayDirection::There,
    );
    let back = copy(onward, stream, number, state, RelayDirection::Back);
    compio::runtime::spawn(there).detach();
    compio::runtime::spawn(back).detach();
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    number: u64,
    state: Rc<RelayState>,
    direction: RelayDirection,
) {
    loop {
        let changed = state.changed.listen();
        if number < state.reset_before.get() {
            // Both sockets close when both directions have ended.
            return;
        }
        if state.is_silent(number) {
            // Both ends keep their sockets and hear nothing any more.
            std::future::pending::<()>().await;
        }
        let read = from.read(Vec::with_capacity(CHUNK)).fuse();
        let changed = changed.fuse();
        pin_mut!(read, changed);
        let BufResult(outcome, bytes) = select_biased! {
            () = changed => continue,
            outcome = read => outcome,
        };
        match outcome {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
        state.record_pass(number);
        state.pass(direction).await;
        let BufResult(written, _) = to.write_all(bytes).await;
        if written.is_err() {
            break;
        }
    }
}

impl RelayState {
    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_before.get() || self.silent.borrow().contains(&number)
    }

    fn record_pass(&self, number: u64) {
        self.passed_at.borrow_mut().insert(number, Instant::now());
    }

    async fn pass(&self, direction: RelayDirection) {
        let delay = self.faults.get().delay;
        if !delay.is_zero() {
            compio::time::sleep(delay).await;
        }
        while self.holds(direction) {
            compio::time::sleep(HOLD_STEP).await;
        }
    }

    fn holds(&self, direction: RelayDirection) -> bool {
        let faults = self.faults.get();
        match direction {
            RelayDirection::There => faults.hold_there,
            RelayDirection::Back => faults.hold_back,
        }
    }
}
