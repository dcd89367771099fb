//! The bounded memory ring that holds a process's latest events.

use crate::{
    clock::{HybridClock, HybridStamp, wall_millis},
    event::{EventKind, EventSubject, TimelineEvent},
    ids::HostId,
};
use std::{cell::RefCell, collections::VecDeque};

/// `EventRing` keeps the latest events of one process; the oldest go first.
#[derive(Debug)]
pub struct EventRing {
    host: HostId,
    clock: HybridClock,
    limit: usize,
    events: RefCell<VecDeque<TimelineEvent>>,
}

impl EventRing {
    /// Creates a ring of at most `limit` events.
    pub fn new(host: HostId, limit: usize) -> Self {
        Self {
            host,
            clock: HybridClock::new(),
            limit: limit.max(1),
            events: RefCell::new(VecDeque::new()),
        }
    }

    /// Records an event at the current time.
    pub fn record(&self, subject: EventSubject, kind: EventKind) {
        let stamp = self.stamp();
        let mut events = self.events.borrow_mut();
        if events.len() == self.limit {
            events.pop_front();
        }
        events.push_back(TimelineEvent {
            stamp,
            host: self.host.clone(),
            subject,
            kind,
        });
    }

    /// Issues a stamp to send along with a message.
    pub fn stamp(&self) -> HybridStamp {
        self.clock.tick(wall_millis())
    }

    /// Takes in the stamp of a message received.
    pub fn observe(&self, stamp: HybridStamp) {
        self.clock.observe(stamp);
    }

    /// Gets the events after `after`, the oldest first.
    pub fn since(&self, after: Option<HybridStamp>) -> Vec<TimelineEvent> {
        let events = self.events.borrow();
        let newer = events.iter().filter(|event| Some(event.stamp) > after);
        newer.cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_ring_is_bounded_and_ordered() {
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
