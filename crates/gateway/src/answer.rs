//! Buffering of targets' response bodies, within a memory budget.
//!
//! A faulty target may send an endless body. All responses that are being read share one budget, so that
//! many endless bodies take no more memory than one.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{cell::Cell, rc::Rc};

/// Largest response body that is buffered, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Divisor of the process memory that gives the budget of response bodies.
const MEMORY_PART: usize = 8;

/// `AnswerBudget` limits the memory of all response bodies that are being read.
#[derive(Debug, Clone)]
pub struct AnswerBudget {
    left: Rc<Cell<usize>>,
}

impl AnswerBudget {
    /// Creates the budget of a process that may use `memory_mb` MiB of memory.
    pub fn new(memory_mb: usize) -> Self {
        Self {
            left: Rc::new(Cell::new((memory_mb << 20) / MEMORY_PART)),
        }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns a message if the body was truncated, is too large, or the budget is used up.
    pub async fn read_whole(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut held = HeldBytes {
            left: Rc::clone(&self.left),
            count: 0,
        };
        // Chunks are copied, since each small one would keep a whole read buffer alive.
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| format!("response body truncated: {error}"))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            held.take(data.len())?;
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

// Bytes of the budget that one response body takes; returned on drop.
struct HeldBytes {
    left: Rc<Cell<usize>>,
    count: usize,
}

impl HeldBytes {
    fn take(&mut self, count: usize) -> Result<(), String> {
        if self.count + count > ANSWER_LIMIT {
            return Err(format!("response body exceeds {ANSWER_LIMIT} bytes"));
        }
        let left = self.left.get().checked_sub(count);
        let left = left.ok_or("response bodies in progress exceed the memory budget")?;
        self.left.set(left);
        self.count += count;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.count);
    }
}
