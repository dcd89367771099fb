//! Bounded queue of messages to one peer, including those sent but not yet acknowledged.

use crate::message::{PeerEnvelope, PeerMessage};
use event_listener::{Event, EventListener};
use fighall_core::clock::HybridStamp;
use std::collections::VecDeque;

/// `PeerOutbox` keeps messages until the peer acknowledges them.
#[derive(Debug)]
pub struct PeerOutbox {
    limit: usize,
    last_sequence: u64,
    // Messages in sequence order; the first `sent_count` ones were sent on the current link.
    queue: VecDeque<PeerEnvelope>,
    sent_count: usize,
    dropped: u64,
    changed: Event,
}

impl PeerOutbox {
    /// Creates an empty queue of at most `limit` messages.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            last_sequence: 0,
            queue: VecDeque::new(),
            sent_count: 0,
            dropped: 0,
            changed: Event::new(),
        }
    }

    /// Adds a message. Returns false if the queue is full and the message was dropped.
    pub fn push(&mut self, stamp: HybridStamp, message: PeerMessage) -> bool {
        if self.queue.len() >= self.limit {
            self.dropped += 1;
            return false;
        }
        self.last_sequence += 1;
        self.queue.push_back(PeerEnvelope {
            sequence: self.last_sequence,
            stamp,
            message,
        });
        self.changed.notify(usize::MAX);
        true
    }

    /// Returns the next message to send; it stays queued until it is acknowledged.
    pub fn next_unsent(&mut self) -> Option<PeerEnvelope> {
        let envelope = self.queue.get(self.sent_count)?.clone();
        self.sent_count += 1;
        Some(envelope)
    }

    /// Returns whether there are messages to send.
    pub fn has_unsent(&self) -> bool {
        self.sent_count < self.queue.len()
    }

    /// Removes the messages up to `sequence`, which the peer has received.
    pub fn acknowledge(&mut self, sequence: u64) {
        while self
            .queue
            .front()
            .is_some_and(|first| first.sequence <= sequence)
        {
            self.queue.pop_front();
            self.sent_count = self.sent_count.saturating_sub(1);
        }
    }

    /// Marks all unacknowledged messages as unsent, for a new link. Heartbeats are removed, since the next
    /// one supersedes them.
    pub fn requeue_unacknowledged(&mut self) {
        self.sent_count = 0;
        self.queue
            .retain(|envelope| !matches!(envelope.message, PeerMessage::Heartbeat(_)));
    }

    /// Removes all messages, for example when they were meant for an earlier incarnation of the peer.
    pub fn clear(&mut self) {
        self.queue.clear();
        self.sent_count = 0;
    }

    /// Returns the number of messages dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns a listener for the next added message.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stamp() -> HybridStamp {
        HybridStamp {
            millis: 0,
            counter: 0,
        }
    }

    fn request(after: u64) -> PeerMessage {
        PeerMessage::MirrorRequest {
            kind: "keys".to_owned(),
            after,
        }
    }

    #[test]
    fn queue_is_bounded_and_resends_unacknowledged_messages() {
        let mut outbox = PeerOutbox::new(3);
        for after in 0..5 {
            outbox.push(stamp(), request(after));
        }
        assert_eq!(outbox.dropped(), 2);
        assert_eq!(outbox.next_unsent().unwrap().sequence, 1);
        assert_eq!(outbox.next_unsent().unwrap().sequence, 2);
        outbox.acknowledge(1);
        assert_eq!(outbox.next_unsent().unwrap().sequence, 3);
        assert!(!outbox.has_unsent());
        outbox.requeue_unacknowledged();
        assert_eq!(outbox.next_unsent().unwrap().sequence, 2);
    }
}
