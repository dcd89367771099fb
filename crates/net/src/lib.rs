//! HTTP over sockets for all kinds of hosts: listeners with pipelining, connection pools, relayed bodies
//! and headers.

#![forbid(unsafe_code)]

mod announced;
pub mod body;
pub mod call;
pub mod carried;
pub mod chunks;
pub mod connections;
pub mod errors;
pub mod framing;
pub mod headers;
mod interim;
mod linger;
pub mod listener;
pub mod memory;
mod opener;
pub mod pipeline;
pub mod pool;
mod request_queue;
mod reset;
pub mod segments;
pub mod socket;
pub mod stream;
mod tracked;
