//! In-memory ring buffer of a process's latest events.

use crate::{
    clock::{HybridClock, HybridStamp, wall_millis},
    event::{EventKind, EventSubject, TimelineEvent},
    ids::HostId,
};
use std::{cell::RefCell, collections::VecDeque};

/// `EventRing` is a bounded ring buffer of time-line events; the oldest ones are removed first.
#[derive(Debug)]
pub struct EventRing {
    host: HostId,
    clock: HybridClock,
    capacity: usize,
    events: RefCell<VecDeque<TimelineEvent>>,
}

impl EventRing {
    /// Creates an empty ring buffer for `capacity` events, at least one.
    pub fn new(host: HostId, capacity: usize) -> Self {
        Self {
            host,
            clock: HybridClock::new(),
            capacity: capacity.max(1),
            events: RefCell::new(VecDeque::new()),
        }
    }

    /// Records an event with the current time, and removes the oldest one if the buffer is full.
    pub fn record(&self, subject: EventSubject, kind: EventKind) {
        let stamp = self.stamp();
        let mut events = self.events.borrow_mut();
        if events.len() == self.capacity {
            events.pop_front();
        }
        events.push_back(TimelineEvent {
            stamp,
            host: self.host.clone(),
            subject,
            kind,
        });
    }

    /// Issues a stamp to send with a message.
    pub fn stamp(&self) -> HybridStamp {
        self.clock.tick(wall_millis())
    }

    /// Advances the clock to the stamp of a received message.
    pub fn observe(&self, stamp: HybridStamp) {
        self.clock.observe(stamp);
    }

    /// Gets the events later than `after`, or all without it, the oldest first.
    pub fn since(&self, after: Option<HybridStamp>) -> Vec<TimelineEvent> {
        let events = self.events.borrow();
        let later_events = events.iter().filter(|event| Some(event.stamp) > after);
        later_events.cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_ring_buffer_is_bounded_and_ordered() {
        let ring = EventRing::new("h1".to_owned(), 3);
        for _ in 0..10 {
            ring.record(EventSubject::default(), EventKind::PeerUp);
        }
        let events = ring.since(None);
        assert_eq!(events.len(), 3);
        assert!(events.windows(2).all(|pair| pair[0].stamp < pair[1].stamp));
        assert!(ring.since(Some(events[2].stamp)).is_empty());
    }
}
