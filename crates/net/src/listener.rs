//! Listening sockets and HTTP servers with one task for each connection.

use crate::{
    body::{IncomingBody, ProxyBody},
    connections::{ConnectionPhase, ConnectionSlot, ConnectionTable, run_until_evicted},
    errors::{Error, Result},
    linger::discard_rest,
    pipeline::{HeadLimits, PipelinedStream, RequestPipeline, RequestTurn},
    stream::SocketStream,
    tracked::TrackedStream,
};
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use fighall_kernel::{kernel::MicroKernel, stage::LifeStage};
use futures_util::{FutureExt, pin_mut, select_biased};
use http::{Request, Response};
use http_body_util::Empty;
use hyper::{
    body::Incoming,
    rt::{Read, Write},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use std::{
    cell::Cell,
    convert::Infallible,
    future::{Future, ready},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Largest number of headers in a request.
pub const MAX_HEADERS: usize = 100;
/// Largest head of a request without a configured limit, in bytes.
const DEFAULT_HEAD_BYTES: usize = 20 * 1_024;
/// Longest time for a head without a configured limit.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time to wait for a request without a configured limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Smallest limit on heads that the HTTP library supports, in bytes.
const MIN_HEAD_BYTES: usize = 8 * 1_024;

/// `ListenerLimits` are limits on the clients of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Longest time from the first to the last byte of a head.
    pub head_timeout: Duration,
    /// Longest time to wait for a request.
    pub idle_timeout: Duration,
    /// Largest body of a request, in bytes. A chunk beyond it ends the body with [`BodyTooLarge`].
    ///
    /// [`BodyTooLarge`]: crate::errors::BodyTooLarge
    pub max_body_bytes: usize,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_body_bytes: usize::MAX,
        }
    }
}

impl ListenerLimits {
    fn head_limits(&self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.max_head_bytes.max(MIN_HEAD_BYTES),
            timeout: self.head_timeout,
        }
    }
}

/// Binds a listening socket.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

/// Serves the connections of a listener until the process refuses new ones. Each one has a place in `connections`.
/// `limits` is called for each new connection; its limit on the time of a head also covers the time between requests
/// here.
pub async fn serve<H, F>(
    kernel: Rc<MicroKernel>,
    listener: TcpListener,
    connections: Rc<ConnectionTable>,
    limits: impl Fn() -> ListenerLimits,
    handler: H,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + 'static,
    F: Future<Output = Response<ProxyBody>> + 'static,
{
    let serve_stream = |kernel: Rc<MicroKernel>, accepted: AcceptedConnection| {
        let (limits, handler) = (limits(), handler.clone());
        async move {
            let is_serving = Rc::new(Cell::new(false));
            accepted.slot.connection().set_phase({
                let is_serving = Rc::clone(&is_serving);
                move || match is_serving.get() {
                    true => ConnectionPhase::Serving,
                    false => ConnectionPhase::Idle,
                }
            });
            let remote = accepted.remote.ip();
            let service = service_fn(|request| {
                is_serving.set(true);
                let (response, is_serving) = (handler(request, remote), Rc::clone(&is_serving));
                async move {
                    let response = response.await;
                    is_serving.set(false);
                    Ok::<_, Infallible>(response)
                }
            });
            let builder = http_builder(&limits);
            let connection = builder.serve_connection(accepted.stream, service);
            let driven = drive_connection(&kernel, connection, ready(()));
            run_until_evicted(accepted.slot, driven).await;
        }
    };
    accept(kernel, listener, connections, serve_stream).await;
}

/// Serves callers' connections like [`serve`], and runs pipelined requests with a safe method
/// concurrently. The handler gets a [`RequestTurn`] to wait for the responses to earlier requests.
pub async fn serve_pipelined<H, F>(
    kernel: Rc<MicroKernel>,
    listener: TcpListener,
    connections: Rc<ConnectionTable>,
    limits: impl Fn() -> ListenerLimits + 'static,
    handler: H,
) where
    H: Fn(Request<IncomingBody>, RequestTurn) -> F + Clone + 'static,
    F: Future<Output = Response<ProxyBody>> + 'static,
{
    let limits: Rc<dyn Fn() -> ListenerLimits> = Rc::new(limits);
    let serve_stream = |kernel: Rc<MicroKernel>, accepted| {
        let (limits, handler) = (Rc::clone(&limits), handler.clone());
        async move { serve_connection(&kernel, accepted, limits, handler).await }
    };
    accept(kernel, listener, connections, serve_stream).await;
}

async fn serve_connection<H, F>(
    kernel: &MicroKernel,
    accepted: AcceptedConnection,
    current_limits: Rc<dyn Fn() -> ListenerLimits>,
    handler: H,
) where
    H: Fn(Request<IncomingBody>, RequestTurn) -> F + Clone + 'static,
    F: Future<Output = Response<ProxyBody>> + 'static,
{
    let limits = current_limits();
    let early_handler = handler.clone();
    let start_early = move |parts, turn| {
        let request = Request::from_parts(parts, IncomingBody::Right(Empty::new()));
        early_handler(request, turn).boxed_local()
    };
    let number = accepted.slot.number();
    let body_limit = Box::new(move || current_limits().max_body_bytes);
    let head_limits = limits.head_limits();
    let pipeline = RequestPipeline::new(number, Box::new(start_early), head_limits, body_limit);
    let pipeline = Rc::new(pipeline);
    accepted.slot.connection().set_phase({
        let pipeline = Rc::clone(&pipeline);
        move || pipeline.phase()
    });
    let socket = accepted.stream.to_shared_socket();
    let stream = PipelinedStream::new(accepted.stream, Rc::clone(&pipeline));
    let service = service_fn(|request: Request<Incoming>| {
        let pipeline = Rc::clone(&pipeline);
        let handler = &handler;
        async move {
            let mut response = match pipeline.take_early_response() {
                // Only a task that panicked has no response; the panic itself was already printed.
                Some(task) => task.await.map_err(|_| Error::Unanswered)?,
                None => handler(request.map(IncomingBody::Left), pipeline.turn()).await,
            };
            pipeline.record_response(&mut response);
            Ok::<_, Error>(response)
        }
    });
    let connection = http_builder(&limits).serve_connection(stream, service);
    let driven = drive_connection(kernel, connection, pipeline.drain());
    let driven = async {
        driven.await;
        if pipeline.has_unread_request() {
            discard_rest(socket).await;
        }
    };
    run_until_evicted(accepted.slot, driven).await;
}

// A new connection with its place in the table.
struct AcceptedConnection {
    stream: TrackedStream,
    remote: SocketAddr,
    slot: ConnectionSlot,
}

async fn accept<F>(
    kernel: Rc<MicroKernel>,
    listener: TcpListener,
    connections: Rc<ConnectionTable>,
    serve_stream: impl Fn(Rc<MicroKernel>, AcceptedConnection) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    loop {
        let accepted = {
            let accept = listener.accept().fuse();
            let refusing = kernel.signal().wait_for(LifeStage::Refusing).fuse();
            pin_mut!(accept, refusing);
            select_biased! {
                () = refusing => return,
                accepted = accept => accepted,
            }
        };
        let Ok((stream, remote)) = accepted else {
            connections.free_descriptor();
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Setting the options fails only if the caller has already reset the connection.
        let Ok(stream) = configure_stream(stream) else {
            continue;
        };
        let Some(slot) = connections.admit().await else {
            continue;
        };
        let stream = TrackedStream::new(stream, Rc::clone(slot.connection()));
        let accepted = AcceptedConnection {
            stream,
            remote,
            slot,
        };
        kernel.spawn_work(serve_stream(Rc::clone(&kernel), accepted));
    }
}

fn configure_stream(stream: TcpStream) -> std::io::Result<SocketStream> {
    stream.set_nodelay(true)?;
    SocketStream::new(stream)
}

fn http_builder(limits: &ListenerLimits) -> http1::Builder {
    let mut http_builder = http1::Builder::new();
    http_builder
        .timer(CompioTimer)
        .header_read_timeout(limits.idle_timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head_limits().max_bytes);
    http_builder
}

// Drives a connection until it ends. Once the process refuses new connections and `drained` has
// completed, it shuts down gracefully: an idle connection at once, another one after the response to its
// request.
async fn drive_connection<I, S>(
    kernel: &MicroKernel,
    connection: http1::Connection<I, S>,
    drained: impl Future<Output = ()>,
) where
    I: Read + Write + Unpin,
    S: HttpService<Incoming, ResBody = ProxyBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    pin_mut!(connection);
    {
        let ended = connection.as_mut().fuse();
        let stopping = async {
            kernel.signal().wait_for(LifeStage::Refusing).await;
            drained.await;
        };
        let stopping = stopping.fuse();
        pin_mut!(ended, stopping);
        select_biased! {
            // The error of a connection needs no handling: its requests have already seen it.
            _ = ended => return,
            () = stopping => {}
        }
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
