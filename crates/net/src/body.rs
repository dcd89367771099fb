//! Bodies that a host relays: the caller's request body to the target, and the target's response body.

use crate::segments::{SegmentQueue, SegmentedBody};
use bytes::Bytes;
use futures_util::{FutureExt, future::LocalBoxFuture};
use http_body_util::{Either, Empty};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;
use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

/// `BodyError` is the reason why a body ended before it was complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection that the body was read from failed.
    #[snafu(display("the body was truncated: {cause}"))]
    Cut {
        /// Error of the connection, as text.
        cause: String,
    },
    /// The body exceeds the route's limit.
    #[snafu(display("the body exceeds {limit} bytes"))]
    TooLarge {
        /// The route's limit in bytes.
        limit: u64,
    },
    /// The sender sent nothing for longer than the limit on pauses.
    #[snafu(display("no data received for {millis} ms"))]
    TooSlow {
        /// Limit on pauses, in milliseconds.
        millis: u128,
    },
}

/// `BodyProgress` tells whether reading a caller's body failed, also after the body was moved to a
/// sender.
#[derive(Debug, Default)]
pub struct BodyProgress {
    failed: Cell<bool>,
}

impl BodyProgress {
    /// Tells whether the body was truncated, too large or too slow on the caller's side.
    pub fn has_failed(&self) -> bool {
        self.failed.get()
    }
}

/// `CallerBody` is a caller's body, with limits on its size and on pauses between its frames.
#[derive(Debug)]
pub struct CallerBody {
    body: Incoming,
    limit: u64,
    received_bytes: u64,
    max_pause: Duration,
    timer: Option<PauseTimer>,
    progress: Rc<BodyProgress>,
}

// Expires when the sender has paused for too long.
struct PauseTimer(LocalBoxFuture<'static, ()>);

impl std::fmt::Debug for PauseTimer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PauseTimer").finish_non_exhaustive()
    }
}

impl CallerBody {
    /// Wraps a body. `progress` is shared with the code that decides on retries.
    pub fn new(
        body: Incoming,
        limit: u64,
        max_pause: Duration,
        progress: Rc<BodyProgress>,
    ) -> Self {
        Self {
            body,
            limit,
            received_bytes: 0,
            max_pause,
            timer: None,
            progress,
        }
    }

    fn fail(&self, error: BodyError) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.progress.failed.set(true);
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.timer = None;
                let length = frame.data_ref().map_or(0, Bytes::len);
                self.received_bytes += u64::try_from(length).unwrap_or(u64::MAX);
                if self.received_bytes > self.limit {
                    let limit = self.limit;
                    return self.fail(BodyError::TooLarge { limit });
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let cause = error.to_string();
                self.fail(BodyError::Cut { cause })
            }
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => {
                let max_pause = self.max_pause;
                let timer = self.timer.get_or_insert_with(|| {
                    PauseTimer(compio::time::sleep(max_pause).boxed_local())
                });
                if timer.0.as_mut().poll(cx).is_ready() {
                    let millis = max_pause.as_millis();
                    return self.fail(BodyError::TooSlow { millis });
                }
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `RelayBody` is a body that this host sends on.
#[derive(Debug)]
pub enum RelayBody<B> {
    /// A body that is completely in memory.
    Buffered(SegmentQueue),
    /// A body that is streamed as it is received.
    Streamed(Box<B>),
    /// A body that is streamed at the rate available on a link.
    Paced(Box<PacedBody<B>>),
}

/// `IncomingBody` is a caller's body as received; it is empty for a request that was started ahead of
/// its turn.
pub type IncomingBody = Either<Incoming, Empty<Bytes>>;
/// `BodyPace` returns a future that completes when the given number of bytes may be sent.
pub type BodyPace = Rc<dyn Fn(usize) -> LocalBoxFuture<'static, ()>>;
/// `EndCallback` is called at the end of a response body, with whether it was complete. It is dropped
/// without a call if the body isn't read to its end.
pub type EndCallback = Box<dyn FnOnce(bool)>;

/// `OutboundBody` is the body of a request to a target or a peer.
pub type OutboundBody = RelayBody<CallerBody>;
/// `ProxyBody` is the body of a response to a caller or to a peer that forwarded the request.
pub type ProxyBody = RelayBody<AnswerBody>;

impl<B> RelayBody<B> {
    /// Creates a body from bytes in memory.
    pub fn full(bytes: Bytes) -> Self {
        Self::segmented(bytes.into())
    }

    /// Creates a body from segments in memory.
    pub fn segmented(body: SegmentedBody) -> Self {
        Self::Buffered(SegmentQueue::new(body))
    }

    /// Creates a streamed body, limited to the rate of a link if `pace` is given.
    pub fn streamed(body: B, pace: Option<BodyPace>) -> Self {
        match pace {
            None => Self::Streamed(Box::new(body)),
            Some(pace) => Self::Paced(Box::new(PacedBody::new(body, pace))),
        }
    }
}

impl<B> Body for RelayBody<B>
where
    B: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(queue) => {
                let segment = queue.pop();
                Poll::Ready(segment.map(|segment| segment.map(Frame::data)))
            }
            Self::Streamed(body) => Pin::new(body.as_mut()).poll_frame(cx),
            Self::Paced(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(queue) => queue.left_bytes() == 0,
            Self::Streamed(body) => body.is_end_stream(),
            Self::Paced(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(queue) => {
                SizeHint::with_exact(u64::try_from(queue.left_bytes()).unwrap_or(u64::MAX))
            }
            Self::Streamed(body) => body.size_hint(),
            Self::Paced(body) => body.size_hint(),
        }
    }
}

/// `PacedBody` delays each frame until this host's share of a link's bandwidth allows it.
pub struct PacedBody<B> {
    body: B,
    pace: BodyPace,
    pending_frame: Option<Frame<Bytes>>,
    delay: Option<LocalBoxFuture<'static, ()>>,
}

impl<B> std::fmt::Debug for PacedBody<B> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PacedBody").finish_non_exhaustive()
    }
}

impl<B> PacedBody<B> {
    /// Wraps a body whose frames wait for `pace`.
    pub fn new(body: B, pace: BodyPace) -> Self {
        Self {
            body,
            pace,
            pending_frame: None,
            delay: None,
        }
    }
}

impl<B> Body for PacedBody<B>
where
    B: Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            if let Some(delay) = &mut self.delay {
                if delay.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.delay = None;
                return Poll::Ready(self.pending_frame.take().map(Ok));
            }
            match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => {
                    let bytes = frame.data_ref().map_or(0, Bytes::len);
                    self.pending_frame = Some(frame);
                    self.delay = Some((self.pace)(bytes));
                }
                other => return other,
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.pending_frame.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// `AnswerBody` is a target's response body with a callback that releases resources at its end. A
/// truncated body ends in an error, so that the caller's connection is aborted and the response does not
/// seem complete.
pub struct AnswerBody {
    body: Incoming,
    on_end: Option<EndCallback>,
}

impl std::fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerBody").finish_non_exhaustive()
    }
}

impl AnswerBody {
    /// Wraps a body; `on_end` is called when it has ended, at once if it is empty.
    pub fn new(body: Incoming, on_end: EndCallback) -> Self {
        let mut answer = Self {
            body,
            on_end: Some(on_end),
        };
        answer.finish_if_ended();
        answer
    }

    fn finish_if_ended(&mut self) {
        if self.body.is_end_stream() {
            self.finish(true);
        }
    }

    fn finish(&mut self, complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.finish(false);
                let cause = error.to_string();
                Poll::Ready(Some(Err(BodyError::Cut { cause })))
            }
            Poll::Ready(None) => {
                self.finish(true);
                Poll::Ready(None)
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
