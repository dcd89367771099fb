//! Pipelining: requests with a safe method start while earlier ones on their connection are still being
//! served (RFC 9112, section 9.3.2). Responses are sent in the order of the requests.

use crate::{
    body::ProxyBody,
    chunks::{ChunkScanner, ScanResult},
    connections::ConnectionPhase,
    framing::{FrameResult, RequestFrame, parse_frame, parse_head},
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
    collections::VecDeque,
    io::{Error, ErrorKind, IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

/// Largest number of requests on one connection that run concurrently with the first one.
const MAX_CONCURRENT: usize = 16;
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

/// `RequestPlace` tells where a request arrived.
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

// A request that was read ahead and is not yet handed to hyper.
#[derive(Debug)]
struct QueuedRequest {
    frame: RequestFrame,
    number: u64,
    response: Option<EarlyResponse>,
}

impl QueuedRequest {
    // Whether later requests may run concurrently with this one.
    fn allows_concurrency(&self) -> bool {
        self.frame.may_run_concurrently() && !self.frame.closes_connection
    }
}

/// `HeadLimits` are the limits on the head of a request.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Largest head in bytes.
    pub max_bytes: usize,
    /// Longest time from the first to the last byte of a head.
    pub timeout: Duration,
}

#[derive(Debug, Default)]
struct PipelineState {
    // Bytes that were read and are not yet handed to hyper.
    buffer: Vec<u8>,
    // Requests at the start of these bytes, and the number of bytes that they cover.
    requests: VecDeque<QueuedRequest>,
    framed_bytes: u64,
    request_count: u64,
    // Position in the chunked body of the last of these requests or of the current one, until its end.
    scanner: Option<ChunkScanner>,
    // Bytes still to hand over of the current request.
    remaining_bytes: u64,
    // Whether the current request awaits its response, and whether others may run concurrently with it.
    awaits_response: bool,
    allows_concurrency: bool,
    response: Option<EarlyResponse>,
    // Whether the rest of the bytes is handed over without framing.
    unframed: bool,
    stopping: bool,
}

/// `RequestPipeline` is the state that the requests of one connection share.
pub struct RequestPipeline {
    state: RefCell<PipelineState>,
    response_count: Rc<ResponseCount>,
    handler: EarlyHandler,
    head_limits: HeadLimits,
    connection: u64,
}

impl std::fmt::Debug for RequestPipeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestPipeline")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl RequestPipeline {
    /// Creates the pipeline of a new connection with its number; `handler` handles requests that start
    /// ahead of their turn.
    pub fn new(connection: u64, handler: EarlyHandler, head_limits: HeadLimits) -> Self {
        Self {
            connection,
            state: RefCell::new(PipelineState::default()),
            response_count: Rc::new(ResponseCount::default()),
            handler,
            head_limits,
        }
    }

    /// Gets what the connection waits for.
    pub fn phase(&self) -> ConnectionPhase {
        let state = self.state.borrow();
        if state.has_early_response() || state.awaits_response && state.has_complete_request() {
            ConnectionPhase::Serving
        } else if state.awaits_response || !state.buffer.is_empty() {
            ConnectionPhase::Receiving
        } else {
            ConnectionPhase::Idle
        }
    }

    /// Tells whether the client has not sent all of its requests, or not all that it has sent was read.
    pub(crate) fn has_unread_request(&self) -> bool {
        let state = self.state.borrow();
        state.remaining_bytes > 0 || state.scanner.is_some() || !state.buffer.is_empty()
    }

    // Whether a head has begun whose request is the next one to be served.
    fn awaits_head(&self) -> bool {
        let state = self.state.borrow();
        let is_between = !state.awaits_response && state.remaining_bytes == 0;
        let is_framed = state.requests.is_empty() && !state.unframed;
        is_between && is_framed && !state.buffer.is_empty()
    }

    fn buffer_bytes(&self) -> usize {
        self.state.borrow().buffer.capacity()
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
        self.state.borrow_mut().response.take()
    }

    /// Records the response to the current request. Removes the response's `connection: close` while
    /// later requests are running, since the caller would send those again.
    pub fn record_response(&self, response: &mut Response<ProxyBody>) {
        let mut state = self.state.borrow_mut();
        state.awaits_response = false;
        if state.has_early_response() {
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
        self.state.borrow_mut().stopping = true;
        loop {
            let changed = self.response_count.changed.listen();
            if !self.state.borrow().has_early_response() {
                return;
            }
            changed.await;
        }
    }

    // Appends bytes of the connection and splits them into requests.
    fn append(&self, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        state.buffer.extend_from_slice(bytes);
        state.frame_requests(self.head_limits.max_bytes);
    }

    fn start_early(&self) {
        let mut state = self.state.borrow_mut();
        if !state.awaits_response || !state.allows_concurrency || state.stopping {
            return;
        }
        let PipelineState {
            buffer, requests, ..
        } = &mut *state;
        let mut bytes = buffer.as_slice();
        for request in requests.iter_mut().take(MAX_CONCURRENT) {
            if request.response.is_none() && request.frame.may_run_concurrently() {
                let Some(parts) = parse_head(bytes) else {
                    return;
                };
                let turn = self.turn_at(request.number, true);
                request.response = Some(compio::runtime::spawn((self.handler)(parts, turn)));
            }
            if !request.allows_concurrency() {
                return;
            }
            bytes = &bytes[request.frame.head_length..];
        }
    }

    // Hands the bytes to hyper that it may read now, at most those of the current request. Returns their
    // number.
    fn read_into(&self, cursor: &mut ReadBufCursor<'_>) -> usize {
        let copied = self.state.borrow_mut().read_into(cursor);
        if copied > 0 {
            self.response_count.changed.notify(usize::MAX);
        }
        copied
    }

    fn is_full(&self) -> bool {
        let state = self.state.borrow();
        let max_bytes = if state.awaits_response {
            READ_AHEAD_BYTES
        } else {
            self.head_limits.max_bytes
        };
        state.buffer.len() >= max_bytes
    }

    // At the end of the stream, hyper gets the incomplete head that is left.
    fn end_stream(&self) {
        self.state.borrow_mut().unframed = true;
    }

    fn awaits_response(&self) -> bool {
        self.state.borrow().awaits_response
    }
}

impl PipelineState {
    fn has_early_response(&self) -> bool {
        self.requests
            .iter()
            .any(|request| request.response.is_some())
    }

    // A stopping host begins no further pipelined request; the caller sends it to another host.
    fn must_not_begin_next(&self) -> bool {
        let first = self.requests.front();
        self.stopping && first.is_some_and(|request| request.response.is_none())
    }

    // Whether all bytes of the current request were received.
    fn has_complete_request(&self) -> bool {
        let buffered_bytes = u64::try_from(self.buffer.len()).unwrap_or(u64::MAX);
        let is_scanned = self.scanner.is_none() || !self.requests.is_empty();
        is_scanned && self.remaining_bytes <= buffered_bytes
    }

    fn frame_requests(&mut self, max_head_bytes: usize) {
        while !self.unframed {
            let framed_bytes = usize::try_from(self.framed_bytes).unwrap_or(usize::MAX);
            let Some(bytes) = self
                .buffer
                .get(framed_bytes..)
                .filter(|bytes| !bytes.is_empty())
            else {
                return;
            };
            if let Some(scanner) = &mut self.scanner {
                let scanned = scanner.scan(bytes);
                let length = match scanned {
                    ScanResult::Partial | ScanResult::Malformed => bytes.len(),
                    ScanResult::Complete(length) => length,
                };
                if scanned != ScanResult::Partial {
                    self.scanner = None;
                }
                // hyper rejects a malformed body when it reaches it.
                self.unframed = scanned == ScanResult::Malformed;
                self.extend_last_request(length);
                continue;
            }
            match parse_frame(bytes, max_head_bytes) {
                FrameResult::Partial => return,
                FrameResult::Unframed => self.unframed = true,
                FrameResult::Complete(frame) => {
                    self.framed_bytes += frame.length();
                    self.scanner = frame.is_chunked.then(ChunkScanner::default);
                    self.requests.push_back(QueuedRequest {
                        frame,
                        number: self.request_count,
                        response: None,
                    });
                    self.request_count += 1;
                }
            }
        }
    }

    // Adds bytes of a chunked body to the request that they belong to.
    fn extend_last_request(&mut self, length: usize) {
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        self.framed_bytes += length;
        match self.requests.back_mut() {
            Some(request) => request.frame.body_length += length,
            None => self.remaining_bytes += length,
        }
    }

    fn read_into(&mut self, cursor: &mut ReadBufCursor<'_>) -> usize {
        let may_begin =
            self.remaining_bytes == 0 && !self.awaits_response && !self.must_not_begin_next();
        if may_begin && let Some(request) = self.requests.pop_front() {
            self.remaining_bytes = request.frame.length();
            self.awaits_response = true;
            self.allows_concurrency = request.allows_concurrency();
            self.response = request.response;
        }
        let unframed = self.unframed && self.requests.is_empty() && self.remaining_bytes == 0;
        let max_bytes = if unframed {
            usize::MAX
        } else {
            usize::try_from(self.remaining_bytes).unwrap_or(usize::MAX)
        };
        let copied = max_bytes.min(self.buffer.len()).min(cursor.remaining());
        cursor.put_slice(&self.buffer[..copied]);
        self.buffer.drain(..copied);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
        if !unframed {
            let length = u64::try_from(copied).unwrap_or(u64::MAX);
            self.remaining_bytes -= length;
            self.framed_bytes -= length;
        }
        copied
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
        if !self.pipeline.awaits_head() {
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
            let copied = pipeline.read_into(&mut cursor);
            pipeline.start_early();
            let reserved = self
                .stream
                .connection()
                .set_buffer_bytes(pipeline.buffer_bytes());
            if copied > 0 {
                self.head_timer = None;
                return Poll::Ready(Ok(()));
            }
            if reserved.is_err() && !pipeline.awaits_response() {
                return Poll::Ready(Err(Error::from(ErrorKind::OutOfMemory)));
            }
            // The task of the connection also wakes when the response is ready, and then reads from the
            // buffer.
            if reserved.is_err() || pipeline.is_full() {
                return self.poll_closed(cx).map(Ok);
            }
            let mut bytes = [0; READ_SIZE];
            let Poll::Ready(read) = self.stream.poll_read_bytes(cx, &mut bytes) else {
                return self.poll_head_timeout(cx);
            };
            let read = read?;
            if read == 0 {
                if !pipeline.awaits_response() {
                    pipeline.end_stream();
                    pipeline.read_into(&mut cursor);
                }
                return Poll::Ready(Ok(()));
            }
            pipeline.append(&bytes[..read]);
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
