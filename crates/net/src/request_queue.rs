//! Requests of a connection in the order in which they arrived. Each one owns its bytes, so that no position depends
//! on how much of another request was received or handed over.

use crate::{
    chunks::{ChunkScanner, ScanResult},
    errors::BodyTooLarge,
    framing::{FrameResult, RequestFrame, parse_frame, with_single_length},
    pipeline::EarlyResponse,
};
use hyper::rt::ReadBufCursor;
use std::collections::VecDeque;

/// Largest number of requests on one connection that run concurrently with the first one, and that are framed.
const MAX_CONCURRENT: usize = 16;

/// `QueueLimits` are the limits on the requests of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct QueueLimits {
    /// Largest head in bytes.
    pub(crate) head_bytes: usize,
    /// Largest chunked body in bytes.
    pub(crate) body_bytes: u64,
}

// What bytes of a connection are to a body.
enum BodyPart {
    // The number of bytes that belong to it.
    WellFormed(usize),
    // All of them may belong to it.
    Malformed,
    // The number of bytes before it exceeds its limit.
    TooLarge(usize),
}

// The part of a request's body that was not received yet.
#[derive(Debug)]
enum MissingBody {
    Complete,
    Length(u64),
    Chunked(ChunkScanner),
}

impl MissingBody {
    fn new(frame: &RequestFrame) -> Self {
        match frame {
            RequestFrame {
                is_chunked: true, ..
            } => Self::Chunked(ChunkScanner::default()),
            RequestFrame { body_length: 0, .. } => Self::Complete,
            RequestFrame { body_length, .. } => Self::Length(*body_length),
        }
    }

    // Removes the next bytes from what is missing.
    fn receive(&mut self, bytes: &[u8], max_bytes: u64) -> BodyPart {
        match self {
            Self::Complete => BodyPart::WellFormed(0),
            Self::Length(left) => {
                let length =
                    usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= u64::try_from(length).unwrap_or(*left);
                if *left == 0 {
                    *self = Self::Complete;
                }
                BodyPart::WellFormed(length)
            }
            Self::Chunked(scanner) => {
                let scanned = scanner.scan(bytes, max_bytes);
                if scanned != ScanResult::Partial {
                    *self = Self::Complete;
                }
                match scanned {
                    ScanResult::Partial => BodyPart::WellFormed(bytes.len()),
                    ScanResult::Complete(length) => BodyPart::WellFormed(length),
                    ScanResult::Malformed => BodyPart::Malformed,
                    ScanResult::TooLarge(length) => BodyPart::TooLarge(length),
                }
            }
        }
    }
}

/// `FramedRequest` is a request whose head was received.
#[derive(Debug)]
pub(crate) struct FramedRequest {
    /// Position on the connection; the first one is 0.
    pub(crate) position: u64,
    /// Task of the request, if it was started ahead of its turn.
    pub(crate) response: Option<EarlyResponse>,
    frame: RequestFrame,
    // Bytes that were received and are not yet handed over.
    bytes: Vec<u8>,
    missing: MissingBody,
    // Whether the body exceeds its limit behind these bytes.
    is_too_large: bool,
    is_answered: bool,
}

impl FramedRequest {
    fn new(mut frame: RequestFrame, position: u64, head: &[u8]) -> Self {
        let mut bytes = head.to_vec();
        if frame.has_ambiguous_length
            && let Some(head) = with_single_length(head, frame.body_length)
        {
            frame.head_length = head.len();
            bytes = head;
        }
        Self {
            position,
            response: None,
            bytes,
            missing: MissingBody::new(&frame),
            frame,
            is_too_large: false,
            is_answered: false,
        }
    }

    // Takes the bytes that belong to the body. Returns their number, and whether the end of the body is certain.
    fn receive(&mut self, bytes: &[u8], max_bytes: u64) -> (usize, bool) {
        let (length, is_certain) = match self.missing.receive(bytes, max_bytes) {
            BodyPart::WellFormed(length) => (length, true),
            // The HTTP library rejects a malformed body when it reaches it.
            BodyPart::Malformed => (bytes.len(), false),
            BodyPart::TooLarge(length) => {
                self.is_too_large = true;
                (length, false)
            }
        };
        self.bytes.reserve_exact(length);
        self.bytes.extend_from_slice(&bytes[..length]);
        (length, is_certain)
    }

    /// Gets the head of a request of which nothing was handed over.
    pub(crate) fn head(&self) -> &[u8] {
        &self.bytes[..self.frame.head_length]
    }

    // Whether later requests may run concurrently with this one.
    fn allows_concurrency(&self) -> bool {
        self.frame.may_run_concurrently() && !self.frame.closes_connection
    }

    fn is_received(&self) -> bool {
        matches!(self.missing, MissingBody::Complete)
    }

    fn is_handed_over(&self) -> bool {
        self.is_received() && self.bytes.is_empty()
    }
}

/// `RequestQueue` holds the requests of a connection until each one was answered.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    // The request that is being handed over or served, and the next ones behind it.
    current: Option<FramedRequest>,
    waiting: VecDeque<FramedRequest>,
    received_count: u64,
    // The bytes behind them: further requests, an incomplete head, or bytes that cannot be framed.
    rest: Vec<u8>,
    // Whether these bytes may have further requests, which are framed when there is room for them.
    has_unframed_requests: bool,
    unframed: bool,
    stopping: bool,
}

impl RequestQueue {
    /// Appends bytes of the connection. Bytes behind a head that is malformed, too long, or without a determined end
    /// are not framed.
    pub(crate) fn append(&mut self, bytes: &[u8], limits: QueueLimits) {
        if self.rest.is_empty() {
            let length = self.frame(bytes, limits);
            self.rest = bytes[length..].to_vec();
            return;
        }
        self.rest.reserve_exact(bytes.len());
        self.rest.extend_from_slice(bytes);
        self.frame_rest(limits);
    }

    fn frame_rest(&mut self, limits: QueueLimits) {
        let mut rest = std::mem::take(&mut self.rest);
        let length = self.frame(&rest, limits);
        if length < rest.len() {
            rest.drain(..length);
            self.rest = rest;
        }
    }

    // Adds bytes to the requests that they belong to. Returns their number.
    fn frame(&mut self, bytes: &[u8], limits: QueueLimits) -> usize {
        let mut left = bytes;
        while !left.is_empty() && !self.unframed && self.waiting.len() < MAX_CONCURRENT {
            let length = match self.incomplete_request() {
                Some(request) => {
                    let (length, is_certain) = request.receive(left, limits.body_bytes);
                    self.unframed = !is_certain;
                    length
                }
                None => match parse_frame(left, limits.head_bytes) {
                    FrameResult::Partial => break,
                    FrameResult::Unframed => {
                        self.unframed = true;
                        break;
                    }
                    FrameResult::Complete(frame) => {
                        let head = &left[..frame.head_length];
                        let request = FramedRequest::new(frame, self.received_count, head);
                        self.received_count += 1;
                        self.waiting.push_back(request);
                        head.len()
                    }
                },
            };
            left = &left[length..];
        }
        self.has_unframed_requests = self.waiting.len() >= MAX_CONCURRENT;
        bytes.len() - left.len()
    }

    /// Hands over the bytes that may be read now: those of the current request, or all if they cannot be framed.
    /// Returns their number.
    ///
    /// # Errors
    ///
    /// Returns an error if the body of the current request exceeds its limit behind the bytes that were handed over.
    pub(crate) fn hand_over(
        &mut self,
        cursor: &mut ReadBufCursor<'_>,
        limits: QueueLimits,
    ) -> Result<usize, BodyTooLarge> {
        self.begin_next(limits);
        let bytes = match &mut self.current {
            Some(request) if !request.is_handed_over() => &mut request.bytes,
            Some(request) if request.is_too_large => return Err(BodyTooLarge),
            _ if self.unframed && self.waiting.is_empty() => &mut self.rest,
            _ => return Ok(0),
        };
        let length = bytes.len().min(cursor.remaining());
        cursor.put_slice(&bytes[..length]);
        bytes.drain(..length);
        if bytes.is_empty() {
            *bytes = Vec::new();
        }
        Ok(length)
    }

    /// Gets the next requests that may run concurrently with the current one.
    pub(crate) fn concurrent_requests(&mut self) -> impl Iterator<Item = &mut FramedRequest> {
        let current = self.current.as_ref().filter(|_| !self.stopping);
        let mut is_allowed =
            current.is_some_and(|request| !request.is_answered && request.allows_concurrency());
        let may_start = move |request: &&mut FramedRequest| {
            let may_start = is_allowed && request.frame.may_run_concurrently();
            is_allowed &= request.allows_concurrency();
            may_start
        };
        self.waiting.iter_mut().take_while(may_start)
    }

    /// Takes the task of the current request, if it was started ahead of its turn.
    pub(crate) fn take_early_response(&mut self) -> Option<EarlyResponse> {
        self.current.as_mut()?.response.take()
    }

    /// Records that the current request was answered.
    pub(crate) fn record_response(&mut self) {
        if let Some(request) = &mut self.current {
            request.is_answered = true;
        }
    }

    /// Hands over no further request, except those that were started ahead of their turn.
    pub(crate) fn stop(&mut self) {
        self.stopping = true;
    }

    /// Hands over the incomplete head that is left, at the end of the stream.
    pub(crate) fn end(&mut self) {
        self.unframed = true;
    }

    /// Tells whether a request that waits for its turn was started.
    pub(crate) fn has_early_response(&self) -> bool {
        let mut waiting = self.waiting.iter();
        waiting.any(|request| request.response.is_some())
    }

    /// Tells whether the current request awaits its response.
    pub(crate) fn awaits_response(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|request| !request.is_answered)
    }

    /// Tells whether the current request was received completely.
    pub(crate) fn is_received(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(FramedRequest::is_received)
    }

    /// Tells whether a head has begun whose request is the next one to be served.
    pub(crate) fn awaits_head(&self) -> bool {
        let is_between = self.current.as_ref().is_none_or(is_finished);
        is_between && self.waiting.is_empty() && !self.unframed && !self.rest.is_empty()
    }

    /// Tells whether a request was not received or not handed over completely.
    pub(crate) fn has_unread_request(&self) -> bool {
        let current = self.current.as_ref();
        let is_unread = current.is_some_and(|request| !request.is_handed_over());
        is_unread || !self.waiting.is_empty() || !self.rest.is_empty()
    }

    /// Gets the number of bytes that are not handed over.
    pub(crate) fn len(&self) -> usize {
        let requests = self.current.iter().chain(&self.waiting);
        let bytes = requests.map(|request| request.bytes.len());
        bytes.sum::<usize>() + self.rest.len()
    }

    /// Gets the memory of the queue and of these bytes, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let requests = self.current.iter().chain(&self.waiting);
        let bytes = requests.map(|request| request.bytes.capacity());
        let entries = self.waiting.capacity() * size_of::<FramedRequest>();
        bytes.sum::<usize>() + entries + self.rest.capacity()
    }

    // Gets the request whose body continues with the next bytes.
    fn incomplete_request(&mut self) -> Option<&mut FramedRequest> {
        let last = self.waiting.back_mut().or(self.current.as_mut());
        last.filter(|request| !request.is_received())
    }

    fn begin_next(&mut self, limits: QueueLimits) {
        if !self.current.as_ref().is_none_or(is_finished) || self.must_not_begin_next() {
            return;
        }
        self.current = self.waiting.pop_front();
        if std::mem::take(&mut self.has_unframed_requests) {
            self.frame_rest(limits);
        }
        if self.waiting.is_empty() {
            self.waiting = VecDeque::new();
        }
    }

    // A stopping host begins no further pipelined request; the caller sends it to another host.
    fn must_not_begin_next(&self) -> bool {
        let next = self.waiting.front();
        self.stopping && next.is_some_and(|request| request.response.is_none())
    }
}

// Whether the next request may be handed over.
fn is_finished(request: &FramedRequest) -> bool {
    request.is_answered && request.is_handed_over()
}
