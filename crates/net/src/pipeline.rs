//! Pipelining: requests with a safe method start while earlier ones on their connection are still being
//! served (RFC 9112, section 9.3.2). Responses are sent in the order of the requests.

use crate::{
    body::ProxyBody,
    framing::{FrameStep, RequestFrame, read_frame, read_parts},
    stream::{READ_SIZE, SocketStream},
};
use compio::runtime::JoinHandle;
use event_listener::Event;
use futures_util::future::LocalBoxFuture;
use http::{Response, header::CONNECTION, request::Parts};
use hyper::rt::ReadBufCursor;
use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    io::{IoSlice, Result},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

/// Largest number of requests on one connection that run concurrently with the first one.
const EARLY_LIMIT: usize = 16;
/// Largest number of bytes to read ahead while a request is being served.
const AHEAD_LIMIT: usize = 64 * 1_024;

/// `EarlyAnswer` is the task of a request that was started ahead of its turn; it yields the response.
pub type EarlyAnswer = JoinHandle<Response<ProxyBody>>;
/// `EarlyStart` handles a request without a body, given its head and turn.
pub type EarlyStart =
    Box<dyn Fn(Parts, RequestTurn) -> LocalBoxFuture<'static, Response<ProxyBody>>>;

#[derive(Debug, Default)]
struct AnswerCount {
    answered: Cell<u64>,
    changed: Event,
}

/// `RequestTurn` is the position of a request on its connection.
#[derive(Debug, Clone)]
pub struct RequestTurn {
    number: u64,
    count: Rc<AnswerCount>,
}

impl RequestTurn {
    /// Waits until all earlier requests have been answered. A request that may run at most once must
    /// wait for this: if an earlier response closes the connection, the caller sends the request again.
    pub async fn reached(&self) {
        loop {
            let changed = self.count.changed.listen();
            if self.count.answered.get() >= self.number {
                return;
            }
            changed.await;
        }
    }
}

// A request that was read ahead and is not yet handed to hyper.
#[derive(Debug)]
struct AheadRequest {
    frame: RequestFrame,
    number: u64,
    answer: Option<EarlyAnswer>,
}

impl AheadRequest {
    // Whether later requests may run concurrently with this one.
    fn lets_others_run(&self) -> bool {
        self.frame.may_run_beside() && !self.frame.is_last
    }
}

#[derive(Debug, Default)]
struct PipelineState {
    // Bytes that were read and are not yet handed to hyper.
    ahead: Vec<u8>,
    // Requests at the start of these bytes, and the number of bytes that they cover.
    requests: VecDeque<AheadRequest>,
    scanned: u64,
    count: u64,
    // Bytes still to hand over of the current request.
    left: u64,
    // Whether the current request awaits its response, and whether others may run concurrently with it.
    serving: bool,
    shared: bool,
    answer: Option<EarlyAnswer>,
    // Whether the rest of the bytes is handed over without framing.
    unframed: bool,
    stopping: bool,
}

/// `RequestPipeline` is the state that the requests of one connection share.
pub struct RequestPipeline {
    state: RefCell<PipelineState>,
    count: Rc<AnswerCount>,
    start: EarlyStart,
}

impl std::fmt::Debug for RequestPipeline {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestPipeline")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl RequestPipeline {
    /// Creates the pipeline of a new connection; `start` handles requests that start ahead of their
    /// turn.
    pub fn new(start: EarlyStart) -> Self {
        Self {
            state: RefCell::new(PipelineState::default()),
            count: Rc::new(AnswerCount::default()),
            start,
        }
    }

    /// Gets the turn of the current request.
    pub fn turn(&self) -> RequestTurn {
        self.turn_of(self.count.answered.get())
    }

    fn turn_of(&self, number: u64) -> RequestTurn {
        RequestTurn {
            number,
            count: Rc::clone(&self.count),
        }
    }

    /// Takes the task of the current request, if it was started ahead of its turn.
    pub fn take_early(&self) -> Option<EarlyAnswer> {
        self.state.borrow_mut().answer.take()
    }

    /// Records the response to the current request. Removes the response's `connection: close` while
    /// later requests are running, since the caller would send those again.
    pub fn note_answered(&self, response: &mut Response<ProxyBody>) {
        let mut state = self.state.borrow_mut();
        state.serving = false;
        if state.has_early() {
            response.headers_mut().remove(CONNECTION);
        }
        self.count.answered.set(self.count.answered.get() + 1);
        self.count.changed.notify(usize::MAX);
    }

    /// Stops starting requests ahead of their turn, and waits until those already started are handed to
    /// hyper.
    pub async fn drain(&self) {
        self.state.borrow_mut().stopping = true;
        loop {
            let changed = self.count.changed.listen();
            if !self.state.borrow().has_early() {
                return;
            }
            changed.await;
        }
    }

    // Appends bytes of the connection and splits them into requests.
    fn take_in(&self, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        state.ahead.extend_from_slice(bytes);
        state.scan();
    }

    fn start_early(&self) {
        let mut state = self.state.borrow_mut();
        if !state.serving || !state.shared || state.stopping {
            return;
        }
        let PipelineState {
            ahead, requests, ..
        } = &mut *state;
        let mut bytes = ahead.as_slice();
        for request in requests.iter_mut().take(EARLY_LIMIT) {
            if request.answer.is_none() && request.frame.may_run_beside() {
                let Some(parts) = read_parts(bytes) else {
                    return;
                };
                let turn = self.turn_of(request.number);
                request.answer = Some(compio::runtime::spawn((self.start)(parts, turn)));
            }
            if !request.lets_others_run() {
                return;
            }
            bytes = &bytes[request.frame.head_length..];
        }
    }

    // Hands the bytes to hyper that it may read now, at most those of the current request. Returns their
    // number.
    fn pass_on(&self, cursor: &mut ReadBufCursor<'_>) -> usize {
        let passed = self.state.borrow_mut().pass_on(cursor);
        if passed > 0 {
            self.count.changed.notify(usize::MAX);
        }
        passed
    }

    fn is_full(&self) -> bool {
        self.state.borrow().ahead.len() >= AHEAD_LIMIT
    }

    // At the end of the stream, hyper gets the incomplete head that is left.
    fn end(&self) {
        self.state.borrow_mut().unframed = true;
    }

    fn is_serving(&self) -> bool {
        self.state.borrow().serving
    }
}

impl PipelineState {
    fn has_early(&self) -> bool {
        self.requests.iter().any(|request| request.answer.is_some())
    }

    // A stopping host begins no further pipelined request; the caller sends it to another host.
    fn is_held_back(&self) -> bool {
        let first = self.requests.front();
        self.stopping && first.is_some_and(|request| request.answer.is_none())
    }

    fn scan(&mut self) {
        while !self.unframed {
            let scanned = usize::try_from(self.scanned).unwrap_or(usize::MAX);
            let Some(bytes) = self.ahead.get(scanned..).filter(|bytes| !bytes.is_empty()) else {
                return;
            };
            match read_frame(bytes) {
                FrameStep::Partial => return,
                FrameStep::Unframed => self.unframed = true,
                FrameStep::Whole(frame) => {
                    self.scanned += frame.length();
                    self.requests.push_back(AheadRequest {
                        frame,
                        number: self.count,
                        answer: None,
                    });
                    self.count += 1;
                }
            }
        }
    }

    fn pass_on(&mut self, cursor: &mut ReadBufCursor<'_>) -> usize {
        let may_begin = self.left == 0 && !self.serving && !self.is_held_back();
        if may_begin && let Some(request) = self.requests.pop_front() {
            self.left = request.frame.length();
            self.serving = true;
            self.shared = request.lets_others_run();
            self.answer = request.answer;
        }
        let unframed = self.unframed && self.requests.is_empty() && self.left == 0;
        let most = if unframed {
            usize::MAX
        } else {
            usize::try_from(self.left).unwrap_or(usize::MAX)
        };
        let passed = most.min(self.ahead.len()).min(cursor.remaining());
        cursor.put_slice(&self.ahead[..passed]);
        self.ahead.drain(..passed);
        if self.ahead.is_empty() {
            self.ahead = Vec::new();
        }
        if !unframed {
            let length = u64::try_from(passed).unwrap_or(u64::MAX);
            self.left -= length;
            self.scanned -= length;
        }
        passed
    }
}

/// `PipelinedStream` is a caller's connection that hands its requests to hyper one at a time.
#[derive(Debug)]
pub struct PipelinedStream {
    stream: SocketStream,
    pipeline: Rc<RequestPipeline>,
}

impl PipelinedStream {
    /// Wraps a connection; `pipeline` must not be shared with another one.
    pub fn new(stream: SocketStream, pipeline: Rc<RequestPipeline>) -> Self {
        Self { stream, pipeline }
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
            let passed = pipeline.pass_on(&mut cursor);
            pipeline.start_early();
            if passed > 0 {
                return Poll::Ready(Ok(()));
            }
            // The task of the connection wakes when the response is ready, and then reads from the
            // buffer.
            if pipeline.is_full() {
                return Poll::Pending;
            }
            let mut bytes = [0; READ_SIZE];
            let read = ready!(self.stream.poll_bytes(cx, &mut bytes))?;
            if read == 0 {
                if !pipeline.is_serving() {
                    pipeline.end();
                    pipeline.pass_on(&mut cursor);
                }
                return Poll::Ready(Ok(()));
            }
            pipeline.take_in(&bytes[..read]);
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
