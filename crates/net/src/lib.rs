//! HTTP over sockets for all kinds of hosts: listeners with pipelining, connection pools, relayed bodies
//! and headers.

#![forbid(unsafe_code)]

pub mod body;
pub mod carried;
pub mod chunks;
pub mod errors;
pub mod framing;
pub mod headers;
pub mod listener;
mod opener;
pub mod pipeline;
pub mod pool;
mod reset;
pub mod socket;
pub mod stream;
