//! Pipelining: requests with a safe method start while earlier ones on their connection are still being
//! served (RFC 9112, section 9.3.2). Responses are sent in the order of the requests.

use crate::{
    announced::MAX_LENGTH,
    body::ProxyBody,
    connections::ConnectionPhase,
    errors::BodyTooLarge,
    framing::parse_head,
    request_queue::{QueueLimits, RequestQueue},
    stream::READ_SIZE,
    tracked::TrackedStream,
};
use compio::runtime::JoinHandle;
use event_listener::Event;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{Response, header::CONNECTION, request::Parts};
use hyper::rt::ReadBufCursor;
use std::{
    cell::{Cell, RefCell},
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

/// Number of bytes to read ahead while a request is being served, after which the connection is not read.
const READ_AHEAD_BYTES: usize = READ_SIZE;
/// Interval at which a connection with that many bytes is checked for its end, which reading would not show.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// `EarlyResponse` is the task of a request that was started ahead of its turn; it yields the response.
pub type EarlyResponse = JoinHandle<Response<ProxyBody>>;
/// `EarlyHandler` handles a request without a body, given its head and turn.
pub type EarlyHandler =
    Box<dyn Fn(Parts, RequestTurn) -> LocalBoxFuture<'static, Response<ProxyBody>>>;

#[derive(Debug, Default)]
struct ResponseCount {
    answered: Cell<u64>,
    changed: Event,
}

/// `RequestPlace` is where a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestPlace {
    /// Number of the connection, unique in its process.
    pub connection: u64,
    /// Position of the request on the connection; the first one is 0.
    pub position: u64,
    /// Whether the request was started ahead of its turn.
    pub is_early: bool,
}

/// `RequestTurn` is the position of a request on its connection.
#[derive(Debug, Clone)]
pub struct RequestTurn {
    place: RequestPlace,
    response_count: Rc<ResponseCount>,
}

impl RequestTurn {
    /// Gets where the request arrived.
    pub fn place(&self) -> RequestPlace {
        self.place
    }

    /// Waits until all earlier requests have been answered. A request that may run at most once must
    /// wait for this: if an earlier response closes the connection, the caller sends the request again.
    pub async fn reached(&self) {
        loop {
            let changed = self.response_count.changed.listen();
            if self.response_count.answered.get() >= self.place.position {
                return;
            }
            changed.await;
        }
    }
}

/// `BodyLimit` gets the largest body of a request in bytes, which may change while a connection is open.
pub type BodyLimit = Box<dyn Fn() -> usize>;

/// `HeadLimits` are the limits on the head of a request.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Largest head in bytes.
    pub max_bytes: usize,
    /// Longest time from the first to the last byte of a head.
    pub timeout: Duration,
}

/// `RequestPipeline` is the state that the requests of one connection share.
pub struct RequestPipeline {
    queue: RefCell<RequestQueue>,
    response_count: Rc<ResponseCount>,
    handler: EarlyHandler,
    head_limits: HeadLimits,
    body_limit: BodyLimit,
    connection: u64,
}

impl std::fmt::Debug for RequestPipeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestPipeline")
            .field("queue", &self.queue)
            .finish_non_exhaustive()
    }
}

impl RequestPipeline {
    /// Creates the pipeline of a new connection with its number; `handler` handles requests that start
    /// ahead of their turn.
    pub fn new(
        connection: u64,
        handler: EarlyHandler,
        head_limits: HeadLimits,
        body_limit: BodyLimit,
    ) -> Self {
        Self {
            connection,
            queue: RefCell::new(RequestQueue::default()),
            response_count: Rc::new(ResponseCount::default()),
            handler,
            head_limits,
            body_limit,
        }
    }

    fn limits(&self) -> QueueLimits {
        QueueLimits {
            head_bytes: self.head_limits.max_bytes,
            body_bytes: u64::try_from((self.body_limit)())
                .map_or(MAX_LENGTH, |limit| limit.min(MAX_LENGTH)),
        }
    }

    /// Gets what the connection waits for.
    pub fn phase(&self) -> ConnectionPhase {
        let queue = self.queue.borrow();
        if queue.has_early_response() || queue.awaits_response() && queue.is_received() {
            ConnectionPhase::Serving
        } else if queue.awaits_response() || queue.len() > 0 {
            ConnectionPhase::Receiving
        } else {
            ConnectionPhase::Idle
        }
    }

    /// Tells whether the client has not sent all of its requests, or not all that it has sent was read.
    pub(crate) fn has_unread_request(&self) -> bool {
        self.queue.borrow().has_unread_request()
    }

    /// Gets the turn of the current request.
    pub fn turn(&self) -> RequestTurn {
        self.turn_at(self.response_count.answered.get(), false)
    }

    fn turn_at(&self, position: u64, is_early: bool) -> RequestTurn {
        RequestTurn {
            place: RequestPlace {
                connection: self.connection,
                position,
                is_early,
            },
            response_count: Rc::clone(&self.response_count),
        }
    }

    /// Takes the task of the current request, if it was started ahead of its turn.
    pub fn take_early_response(&self) -> Option<EarlyResponse> {
        self.queue.borrow_mut().take_early_response()
    }

    /// Records the response to the current request. Removes the response's `connection: close` while
    /// later requests are running, since the caller would send those again.
    pub fn record_response(&self, response: &mut Response<ProxyBody>) {
        let mut queue = self.queue.borrow_mut();
        queue.record_response();
        if queue.has_early_response() {
            response.headers_mut().remove(CONNECTION);
        }
        self.response_count
            .answered
            .set(self.response_count.answered.get() + 1);
        self.response_count.changed.notify(usize::MAX);
    }

    /// Stops starting requests ahead of their turn, and waits until those already started are handed to
    /// hyper.
    pub async fn drain(&self) {
        self.queue.borrow_mut().stop();
        loop {
            let changed = self.response_count.changed.listen();
            if !self.queue.borrow().has_early_response() {
                return;
            }
            changed.await;
        }
    }

    fn start_early(&self) {
        let mut queue = self.queue.borrow_mut();
        for request in queue.concurrent_requests() {
            if request.response.is_some() {
                continue;
            }
            let Some(parts) = parse_head(request.head()) else {
                return;
            };
            let turn = self.turn_at(request.position, true);
            request.response = Some(compio::runtime::spawn((self.handler)(parts, turn)));
        }
    }

    // Hands the bytes to hyper that it may read now. Returns their number.
    fn hand_over(
        &self,
        cursor: &mut ReadBufCursor<'_>,
    ) -> std::result::Result<usize, BodyTooLarge> {
        let limits = self.limits();
        let length = self.queue.borrow_mut().hand_over(cursor, limits)?;
        if length > 0 {
            self.response_count.changed.notify(usize::MAX);
        }
        Ok(length)
    }

    fn is_full(&self) -> bool {
        let queue = self.queue.borrow();
        let max_bytes = if queue.awaits_response() {
            READ_AHEAD_BYTES
        } else {
            self.head_limits.max_bytes
        };
        queue.len() >= max_bytes
    }
}

/// `PipelinedStream` is a caller's connection that hands its requests to hyper one at a time.
pub struct PipelinedStream {
    stream: TrackedStream,
    pipeline: Rc<RequestPipeline>,
    close_check: Option<LocalBoxFuture<'static, ()>>,
    head_timer: Option<LocalBoxFuture<'static, ()>>,
}

impl std::fmt::Debug for PipelinedStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PipelinedStream")
            .field("stream", &self.stream)
            .field("pipeline", &self.pipeline)
            .finish_non_exhaustive()
    }
}

impl PipelinedStream {
    /// Wraps a connection; `pipeline` must not be shared with another one.
    pub(crate) fn new(stream: TrackedStream, pipeline: Rc<RequestPipeline>) -> Self {
        Self {
            stream,
            pipeline,
            close_check: None,
            head_timer: None,
        }
    }

    // Fails once a head has taken too long.
    fn poll_head_timeout(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.pipeline.queue.borrow().awaits_head() {
            self.head_timer = None;
            return Poll::Pending;
        }
        let timeout = self.pipeline.head_limits.timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| compio::time::sleep(timeout).boxed_local());
        ready!(timer.poll_unpin(cx));
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }

    // Completes once the caller has closed a connection that is not read.
    fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.stream.is_closed_by_peer() {
            let check = self
                .close_check
                .get_or_insert_with(|| compio::time::sleep(CLOSE_CHECK_INTERVAL).boxed_local());
            ready!(check.poll_unpin(cx));
            self.close_check = None;
        }
        Poll::Ready(())
    }
}

impl hyper::rt::Read for PipelinedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        let pipeline = Rc::clone(&self.pipeline);
        loop {
            let length = pipeline.hand_over(&mut cursor).map_err(Error::other)?;
            pipeline.start_early();
            let (held_bytes, awaits_response) = {
                let queue = pipeline.queue.borrow();
                (queue.held_bytes(), queue.awaits_response())
            };
            let reserved = self.stream.connection().set_buffer_bytes(held_bytes);
            if length > 0 {
                self.head_timer = None;
                return Poll::Ready(Ok(()));
            }
            if reserved.is_err() && !awaits_response {
                return Poll::Ready(Err(Error::from(ErrorKind::OutOfMemory)));
            }
            // The task of the connection also wakes when the response is ready, and then reads from the
            // queue.
            if reserved.is_err() || pipeline.is_full() {
                return self.poll_closed(cx).map(Ok);
            }
            let mut bytes = [0; READ_SIZE];
            let Poll::Ready(read) = self.stream.poll_read_bytes(cx, &mut bytes) else {
                return self.poll_head_timeout(cx);
            };
            let read = read?;
            if read == 0 {
                if !awaits_response {
                    pipeline.queue.borrow_mut().end();
                    pipeline.hand_over(&mut cursor).map_err(Error::other)?;
                }
                return Poll::Ready(Ok(()));
            }
            let limits = pipeline.limits();
            pipeline.queue.borrow_mut().append(&bytes[..read], limits);
        }
    }
}

impl hyper::rt::Write for PipelinedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
