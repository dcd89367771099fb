//! Links between entry hosts: one WebSocket from each host to each peer, one task a link.
//!
//! A host sends over the links that it dialled and receives over those that it accepted. Every
//! message has a sequence number; after a link is replaced, what was not acknowledged is sent
//! again, and a number seen twice is dropped. Queues are bounded: what finds no room is dropped
//! and counted, which costs a share some room for a while and nothing else.

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
