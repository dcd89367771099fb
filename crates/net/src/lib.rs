//! Sockets and HTTP as all hosts use them: listeners, pooled connections, bodies that are passed on,
//! and headers.

#![forbid(unsafe_code)]

pub mod body;
pub mod errors;
pub mod framing;
pub mod headers;
pub mod listener;
pub mod pipeline;
pub mod pool;
pub mod socket;
pub mod stream;
