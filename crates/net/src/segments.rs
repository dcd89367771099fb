//! Complete bodies in segments, which are neither copied nor joined when they are sent.

use crate::{
    body::BodyError,
    connections::ConnectionTable,
    errors::BodyTooLarge,
    memory::{BudgetExceeded, ReservedBytes},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;
use std::{error::Error, rc::Rc};

/// Largest segment of a body, in bytes.
const SEGMENT_BYTES: usize = 64 * 1_024;
/// First segment of a body whose length is not announced, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 * 1_024;

/// `ReadError` is the reason why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The body ended early or is malformed.
    #[snafu(display("the body could not be read"))]
    Cut,
    /// The body exceeds the limit.
    #[snafu(display("the body exceeds {limit} bytes"))]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The process has no memory for the body.
    #[snafu(display("no memory for the body"))]
    NoMemory,
}

impl From<BudgetExceeded> for ReadError {
    fn from(_: BudgetExceeded) -> Self {
        Self::NoMemory
    }
}

#[derive(Debug, Default)]
struct BodyContent {
    segments: Vec<Bytes>,
    length: usize,
    // Releases the memory of the segments.
    _reserved: Option<ReservedBytes>,
}

/// `SegmentedBody` is a complete body; clones share its segments.
#[derive(Clone, Debug, Default)]
pub struct SegmentedBody {
    content: Rc<BodyContent>,
}

impl PartialEq for SegmentedBody {
    fn eq(&self, other: &Self) -> bool {
        self.segments().concat() == other.segments().concat()
    }
}

impl From<Bytes> for SegmentedBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            content: Rc::new(BodyContent {
                length: bytes.len(),
                segments: vec![bytes],
                _reserved: None,
            }),
        }
    }
}

impl From<Vec<u8>> for SegmentedBody {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<&'static str> for SegmentedBody {
    fn from(text: &'static str) -> Self {
        Bytes::from(text).into()
    }
}

impl SegmentedBody {
    /// Gets the length in bytes.
    pub fn len(&self) -> usize {
        self.content.length
    }

    /// Tells whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gets the segments in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.content.segments
    }

    /// Reads a body of at most `limit` bytes to its end, with memory of the budget of `connections`. Bytes are copied,
    /// since each small frame would keep a whole read buffer alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends early, is too large, or there is no memory for it.
    pub async fn read_to_end<B>(
        mut body: B,
        limit: usize,
        connections: &ConnectionTable,
    ) -> Result<Self, ReadError>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
    {
        let announced = body.size_hint().exact();
        let announced = announced.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if announced.is_some_and(|length| length > limit) {
            return Err(ReadError::TooLarge { limit });
        }
        let mut reader = SegmentReader {
            reserved: ReservedBytes::new(connections.budget()),
            segments: Vec::new(),
            current: Vec::new(),
            length: 0,
            announced,
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| match is_too_large(error.into().as_ref()) {
                true => ReadError::TooLarge { limit },
                false => ReadError::Cut,
            })?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if data.len() > limit - reader.length {
                return Err(ReadError::TooLarge { limit });
            }
            reader.append(&data, connections).await?;
        }
        Ok(reader.finish())
    }
}

// Tells whether the body ended because its chunks exceed the limit of its listener.
fn is_too_large(error: &(dyn Error + 'static)) -> bool {
    let io_error = error.downcast_ref::<std::io::Error>();
    let inner = io_error.and_then(std::io::Error::get_ref);
    if inner.is_some_and(|inner| inner.is::<BodyTooLarge>()) {
        return true;
    }
    error.source().is_some_and(is_too_large)
}

// Collects the bytes of a body in segments.
struct SegmentReader {
    segments: Vec<Bytes>,
    current: Vec<u8>,
    length: usize,
    announced: Option<usize>,
    reserved: ReservedBytes,
}

impl SegmentReader {
    async fn append(
        &mut self,
        mut data: &[u8],
        connections: &ConnectionTable,
    ) -> Result<(), BudgetExceeded> {
        while !data.is_empty() {
            if self.current.len() == self.current.capacity() {
                let bytes = self.next_segment_bytes();
                connections.reserve_body(&mut self.reserved, bytes).await?;
                self.close_segment();
                self.current = Vec::with_capacity(bytes);
            }
            let room = self.current.capacity() - self.current.len();
            let (now, later) = data.split_at(room.min(data.len()));
            self.current.extend_from_slice(now);
            self.length += now.len();
            data = later;
        }
        Ok(())
    }

    fn next_segment_bytes(&self) -> usize {
        match self.announced {
            Some(announced) => (announced - self.length).clamp(1, SEGMENT_BYTES),
            None if self.length == 0 => FIRST_SEGMENT_BYTES,
            None => SEGMENT_BYTES,
        }
    }

    fn close_segment(&mut self) {
        if !self.current.is_empty() {
            let segment = std::mem::take(&mut self.current);
            self.segments.push(Bytes::from(segment));
        }
    }

    fn finish(mut self) -> SegmentedBody {
        self.close_segment();
        SegmentedBody {
            content: Rc::new(BodyContent {
                segments: self.segments,
                length: self.length,
                _reserved: Some(self.reserved),
            }),
        }
    }
}

/// `SegmentQueue` is what is left to send of a body.
#[derive(Debug)]
pub struct SegmentQueue {
    body: SegmentedBody,
    next_segment: usize,
    left_bytes: usize,
}

impl SegmentQueue {
    /// Creates the queue of a body of which nothing was sent.
    pub fn new(body: SegmentedBody) -> Self {
        Self {
            left_bytes: body.len(),
            body,
            next_segment: 0,
        }
    }

    /// Takes the next segment that is not empty.
    pub fn pop(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.left_bytes == 0 {
            return None;
        }
        let segment = self.body.segments().get(self.next_segment)?.clone();
        self.next_segment += 1;
        self.left_bytes -= segment.len();
        Some(Ok(segment))
    }

    /// Gets the number of bytes that are left.
    pub fn left_bytes(&self) -> usize {
        self.left_bytes
    }
}
