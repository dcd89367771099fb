//! Links between entry hosts: one WebSocket from each host to each peer, with one task per link.
//!
//! A host sends over the links that it dialled and receives over those that it accepted. Every
//! message has a sequence number; after a reconnect, unacknowledged messages are sent again, and
//! the receiver drops duplicates. Queues are bounded: messages that exceed the limit are dropped
//! and counted, which only reduces the capacity of a quota share for a while.

#![forbid(unsafe_code)]

pub mod accept;
pub mod codec;
pub mod dial;
pub mod errors;
pub mod mesh;
pub mod message;
pub mod notice;
pub mod options;
pub mod outbox;
pub mod proof;
pub mod view;
