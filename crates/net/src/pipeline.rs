//! Pipelined requests: those with a safe method start while the ones before them on their connection
//! are still being served (RFC 9112, section 9.3.2). Answers keep the order of requests.

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

/// Requests of one connection that are served beside the first one.
const EARLY_LIMIT: usize = 16;
/// Bytes that are read ahead of the request that is being served.
const AHEAD_LIMIT: usize = 64 * 1_024;

/// Answer of a request that was started early.
pub type EarlyAnswer = JoinHandle<Response<ProxyBody>>;
/// Serves a request without a body in its turn.
pub type EarlyStart =
    Box<dyn Fn(Parts, RequestTurn) -> LocalBoxFuture<'static, Response<ProxyBody>>>;

#[derive(Debug, Default)]
struct AnswerCount {
    answered: Cell<u64>,
    changed: Event,
}

/// `RequestTurn` tells when all requests before one on its connection have been answered.
#[derive(Debug, Clone)]
pub struct RequestTurn {
    number: u64,
    count: Rc<AnswerCount>,
}

impl RequestTurn {
    /// Waits until the requests before this one have been answered. Whatever may run at most once
    /// starts only then: if an answer before it closes the connection, the caller sends it again.
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

// A request that was read and is not yet passed on.
#[derive(Debug)]
struct AheadRequest {
    frame: RequestFrame,
    number: u64,
    answer: Option<EarlyAnswer>,
}

impl AheadRequest {
    // Whether requests behind this one may run beside it.
    fn lets_others_run(&self) -> bool {
        self.frame.may_run_beside() && !self.frame.is_last
    }
}

#[derive(Debug, Default)]
struct PipelineState {
    // Bytes that were read and not yet passed on.
    ahead: Vec<u8>,
    // The requests that they begin with, and how many of the bytes these take.
    requests: VecDeque<AheadRequest>,
    scanned: u64,
    count: u64,
    // Bytes of the request that is being passed on.
    left: u64,
    // Whether a request was passed on whose answer has not come, and whether others may run beside it.
    serving: bool,
    shared: bool,
    answer: Option<EarlyAnswer>,
    // Whether requests can no longer be told apart.
    unframed: bool,
    stopping: bool,
}

/// `RequestPipeline` is what one connection's requests share.
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
    /// Creates the pipeline of a new connection.
    pub fn new(start: EarlyStart) -> Self {
        Self {
            state: RefCell::new(PipelineState::default()),
            count: Rc::new(AnswerCount::default()),
            start,
        }
    }

    /// Gets the turn of the request that is served now.
    pub fn turn(&self) -> RequestTurn {
        self.turn_of(self.count.answered.get())
    }

    fn turn_of(&self, number: u64) -> RequestTurn {
        RequestTurn {
            number,
            count: Rc::clone(&self.count),
        }
    }

    /// Takes the answer of the request that is served now, if it was started early.
    pub fn take_early(&self) -> Option<EarlyAnswer> {
        self.state.borrow_mut().answer.take()
    }

    /// Notes the answer to the request that is served now. Its connection stays open while others
    /// behind it are being served: a caller would send them again.
    pub fn note_answered(&self, response: &mut Response<ProxyBody>) {
        let mut state = self.state.borrow_mut();
        state.serving = false;
        if state.has_early() {
            response.headers_mut().remove(CONNECTION);
        }
        self.count.answered.set(self.count.answered.get() + 1);
        self.count.changed.notify(usize::MAX);
    }

    /// Starts no more requests early, and waits until all that were have been passed on.
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

    // Takes in bytes of the connection and tells its requests apart.
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

    // Passes on what the connection may have now. Returns the number of bytes.
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

    // At its end, a connection gets the part of a head that came last.
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

    // A host that stops begins no request behind others; its caller sends it elsewhere.
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

/// `PipelinedStream` is a caller's connection, of which requests are passed on one by one.
#[derive(Debug)]
pub struct PipelinedStream {
    stream: SocketStream,
    pipeline: Rc<RequestPipeline>,
}

impl PipelinedStream {
    /// Wraps a connection.
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
            // The answer that is awaited wakes the connection, which then takes what is here.
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
