//! Stand-in of the network between regions: relays of TCP connections with a delay, which can cut
//! a region off from the others.
//!
//! Each region has one loopback address from which its hosts connect and one at which they are
//! reached, so that a relay knows both ends of a connection. Bytes on a link that is cut are held
//! and arrive late, as after retransmission.

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use event_listener::Event;
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, RegionId},
    value,
};
use futures_util::{FutureExt, pin_mut, select_biased};
use std::{
    cell::RefCell,
    collections::{BTreeSet, VecDeque},
    io::Result,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

/// Bytes passed on at once.
const CHUNK: usize = 64 * 1_024;
/// Chunks under way in one direction of a connection.
const CHUNKS_LIMIT: usize = 64;
/// Second byte of the addresses from which the hosts of the first region connect.
const SOURCE_NET: u8 = 1;
/// Second byte of the addresses at which the hosts of the first region are reached.
const ADVERTISED_NET: u8 = 101;

value! {
    /// `NetworkDelays` are the one-way delays of a network.
    #[derive(Copy, Eq, Default)]
    pub struct NetworkDelays {
        /// Between hosts of one region.
        pub zones: Duration,
        /// Between regions.
        pub regions: Duration,
        /// Between callers and entry hosts.
        pub callers: Duration,
    }
}

/// `NetworkStandIn` is the network of a deployment on loopback.
#[derive(Debug)]
pub struct NetworkStandIn {
    regions: Vec<RegionId>,
    delays: NetworkDelays,
    cut: RefCell<BTreeSet<RegionId>>,
    // Relays to hosts that have gone.
    closed: RefCell<BTreeSet<SocketAddr>>,
    changed: Event,
}

// One direction of a connection. Callers have no region.
#[derive(Debug, Clone)]
struct NetworkPath {
    from: Option<RegionId>,
    to: RegionId,
}

impl NetworkStandIn {
    /// Creates a network of regions.
    pub fn new(regions: &[RegionId], delays: NetworkDelays) -> Rc<Self> {
        Rc::new(Self {
            regions: regions.to_vec(),
            delays,
            cut: RefCell::new(BTreeSet::new()),
            closed: RefCell::new(BTreeSet::new()),
            changed: Event::new(),
        })
    }

    /// Gets the address from which the hosts of a region connect.
    pub fn source(&self, region: &str) -> IpAddr {
        self.address(region, SOURCE_NET)
    }

    /// Gets the address at which the hosts of a region are reached.
    pub fn advertised(&self, region: &str) -> IpAddr {
        self.address(region, ADVERTISED_NET)
    }

    /// Cuts a region off from all others; callers still reach it.
    pub fn cut(&self, region: &str) {
        self.cut.borrow_mut().insert(region.to_owned());
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.cut.borrow_mut().clear();
        self.changed.notify(usize::MAX);
    }

    /// Ends the relay to a host that has gone, so that new connections to it are refused.
    pub fn close_host(&self, address: SocketAddr) {
        self.closed.borrow_mut().insert(address);
        self.changed.notify(usize::MAX);
    }

    /// Starts a relay to a host of a region, at the region's address and the same port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the relay's address.
    pub async fn relay_host(self: &Rc<Self>, region: &str, host: SocketAddr) -> Result<()> {
        let address = SocketAddr::new(self.advertised(region), host.port());
        let listener = TcpListener::bind(address).await?;
        let network = Rc::clone(self);
        let region = region.to_owned();
        let accept = async move {
            while let Some((stream, remote)) = network.accept(&listener, address).await {
                let path = NetworkPath {
                    from: network.region_of(remote.ip()),
                    to: region.clone(),
                };
                let serve = Rc::clone(&network).serve(stream, host, path);
                compio::runtime::spawn(serve).detach();
            }
        };
        compio::runtime::spawn(accept).detach();
        Ok(())
    }

    /// Starts a relay for the hosts of a region to a server in another one. Returns its address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the relay's address.
    pub async fn relay_from(
        self: &Rc<Self>,
        from: &str,
        to: &str,
        server: SocketAddr,
    ) -> Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::new(self.source(from), 0)).await?;
        let address = listener.local_addr()?;
        let network = Rc::clone(self);
        let path = NetworkPath {
            from: Some(from.to_owned()),
            to: to.to_owned(),
        };
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serve = Rc::clone(&network).serve(stream, server, path.clone());
                compio::runtime::spawn(serve).detach();
            }
        };
        compio::runtime::spawn(accept).detach();
        Ok(address)
    }

    // Accepts a connection, unless the relay was closed.
    async fn accept(
        &self,
        listener: &TcpListener,
        address: SocketAddr,
    ) -> Option<(TcpStream, SocketAddr)> {
        loop {
            let changed = self.changed.listen().fuse();
            if self.closed.borrow().contains(&address) {
                return None;
            }
            let accepted = listener.accept().fuse();
            pin_mut!(changed, accepted);
            select_biased! {
                () = changed => {}
                accepted = accepted => return accepted.ok(),
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, target: SocketAddr, path: NetworkPath) {
        // The handshake takes a round trip.
        compio::time::sleep(self.delay(&path) * 2).await;
        self.wait_for_link(&path).await;
        let Ok(onward) = TcpStream::connect(target).await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let _ = onward.set_nodelay(true);
        let there = Rc::clone(&self).pass(stream.clone(), onward.clone(), path.clone());
        compio::runtime::spawn(there).detach();
        compio::runtime::spawn(self.pass(onward, stream, path)).detach();
    }

    async fn pass(self: Rc<Self>, mut from: TcpStream, to: TcpStream, path: NetworkPath) {
        let delay = self.delay(&path);
        let transit = Rc::new(TransitQueue::default());
        let deliver = Rc::clone(&self).deliver(to, path, Rc::clone(&transit));
        compio::runtime::spawn(deliver).detach();
        loop {
            transit.wait_for_room().await;
            let BufResult(outcome, bytes) = from.read(Vec::with_capacity(CHUNK)).await;
            let bytes = if outcome.is_ok() { bytes } else { Vec::new() };
            let last = bytes.is_empty();
            transit.push(boot_time() + delay, bytes);
            if last || transit.is_closed() {
                return;
            }
        }
    }

    async fn deliver(
        self: Rc<Self>,
        mut to: TcpStream,
        path: NetworkPath,
        transit: Rc<TransitQueue>,
    ) {
        loop {
            let chunk = transit.pop().await;
            let wait = chunk.due.saturating_sub(boot_time());
            if !wait.is_zero() {
                compio::time::sleep(wait).await;
            }
            self.wait_for_link(&path).await;
            if chunk.bytes.is_empty() {
                let _ = to.shutdown().await;
                return;
            }
            let BufResult(written, _) = to.write_all(chunk.bytes).await;
            if written.is_err() {
                transit.close();
                return;
            }
        }
    }

    async fn wait_for_link(&self, path: &NetworkPath) {
        loop {
            let changed = self.changed.listen();
            if !self.is_cut(path) {
                return;
            }
            changed.await;
        }
    }

    fn is_cut(&self, path: &NetworkPath) -> bool {
        let Some(from) = &path.from else {
            return false;
        };
        let cut = self.cut.borrow();
        *from != path.to && (cut.contains(from) || cut.contains(&path.to))
    }

    fn delay(&self, path: &NetworkPath) -> Duration {
        match &path.from {
            None => self.delays.callers,
            Some(from) if *from == path.to => self.delays.zones,
            Some(_) => self.delays.regions,
        }
    }

    fn address(&self, region: &str, net: u8) -> IpAddr {
        let index = self.regions.iter().position(|known| known == region);
        let index = index.and_then(|index| u8::try_from(index).ok());
        let second = net.saturating_add(index.unwrap_or(0));
        IpAddr::V4(Ipv4Addr::new(127, second, 0, 1))
    }

    fn region_of(&self, source: IpAddr) -> Option<RegionId> {
        let mut regions = self.regions.iter();
        regions
            .find(|region| self.source(region) == source)
            .cloned()
    }
}

#[derive(Debug)]
struct TransitChunk {
    due: BootTime,
    // Empty at the end of the stream.
    bytes: Vec<u8>,
}

// What is under way in one direction of a connection.
#[derive(Debug, Default)]
struct TransitQueue {
    chunks: RefCell<VecDeque<TransitChunk>>,
    closed: std::cell::Cell<bool>,
    changed: Event,
}

impl TransitQueue {
    fn push(&self, due: BootTime, bytes: Vec<u8>) {
        let chunk = TransitChunk { due, bytes };
        self.chunks.borrow_mut().push_back(chunk);
        self.changed.notify(usize::MAX);
    }

    async fn pop(&self) -> TransitChunk {
        loop {
            let changed = self.changed.listen();
            if let Some(chunk) = self.chunks.borrow_mut().pop_front() {
                self.changed.notify(usize::MAX);
                return chunk;
            }
            changed.await;
        }
    }

    async fn wait_for_room(&self) {
        loop {
            let changed = self.changed.listen();
            if self.chunks.borrow().len() < CHUNKS_LIMIT || self.is_closed() {
                return;
            }
            changed.await;
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.changed.notify(usize::MAX);
    }

    fn is_closed(&self) -> bool {
        self.closed.get()
    }
}
