//! Routing decisions: matching, client blocks, placement, fair queues, retries and health.

#![forbid(unsafe_code)]
