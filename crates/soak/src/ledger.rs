//! What callers have seen, and what the soak has done, with their times.

use fighall_core::{ids::BootTime, value};
use std::{cell::RefCell, collections::BTreeMap, time::Duration};

value! {
    /// `CallerOutcome` is what a caller got for a request.
    pub enum CallerOutcome {
        /// An answer with this status; whether its body was the request's own and whole.
        Answered {
            /// Status.
            status: u16,
            /// Whether the body is the request's.
            own: bool,
        },
        /// The connection ended without an answer after the request was sent.
        Broken,
        /// The request was not sent.
        Unsent,
    }
}

value! {
    /// `CallerRecord` is one request of a caller.
    pub struct CallerRecord {
        /// Identifier.
        pub id: String,
        /// Host that it was sent to, by number.
        pub host: usize,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Organisation whose key it carried.
        pub organisation: String,
        /// Key that it carried.
        pub key: String,
        /// When it was sent.
        pub sent_at: BootTime,
        /// When its outcome was known.
        pub ended_at: BootTime,
        /// Outcome.
        pub outcome: CallerOutcome,
    }
}

value! {
    /// `FaultSpan` is the time from a fault's start to its end.
    pub struct FaultSpan {
        /// Description, for findings.
        pub name: String,
        /// Whether it is planned work, which must cut no request.
        pub planned: bool,
        /// Whether it restarts or pauses hosts.
        pub stops_hosts: bool,
        /// Start.
        pub from: BootTime,
        /// End.
        pub to: BootTime,
    }
}

value! {
    /// `LimitSpan` is a time during which a target names a rate limit.
    pub struct LimitSpan {
        /// Name of the target.
        pub target: String,
        /// Requests per second that it accepts from all hosts together.
        pub rate: f64,
        /// Start of the naming, of this rate or of the first one if it changed.
        pub named_at: BootTime,
        /// Start of this rate.
        pub from: BootTime,
        /// End of this rate.
        pub to: BootTime,
    }
}

/// `SoakLedger` collects records of a run.
#[derive(Debug, Default)]
pub struct SoakLedger {
    records: RefCell<Vec<CallerRecord>>,
    spans: RefCell<Vec<FaultSpan>>,
    withdrawn: RefCell<BTreeMap<String, BootTime>>,
    drained: RefCell<BTreeMap<String, BootTime>>,
    limits: RefCell<Vec<LimitSpan>>,
}

impl SoakLedger {
    /// Adds a request's record.
    pub fn add(&self, record: CallerRecord) {
        self.records.borrow_mut().push(record);
    }

    /// Adds a fault's span.
    pub fn note_fault(&self, span: FaultSpan) {
        self.spans.borrow_mut().push(span);
    }

    /// Adds the span of a target's limit.
    pub fn note_limit(&self, span: LimitSpan) {
        self.limits.borrow_mut().push(span);
    }

    /// Gets the spans of all limits.
    pub fn limits(&self) -> Vec<LimitSpan> {
        self.limits.borrow().clone()
    }

    /// Tells whether any host was restarted or paused in the time from `margin` before `from` to `to`.
    pub fn are_hosts_stopped(&self, from: BootTime, to: BootTime, margin: Duration) -> bool {
        let from = from.saturating_sub(margin);
        let spans = self.spans.borrow();
        spans
            .iter()
            .any(|span| span.stops_hosts && span.from <= to && span.to >= from)
    }

    /// Notes that a key's withdrawal was accepted.
    pub fn note_withdrawn(&self, key: &str, at: BootTime) {
        self.withdrawn.borrow_mut().insert(key.to_owned(), at);
    }

    /// Notes that a target said that it leaves.
    pub fn note_drained(&self, target: &str, at: BootTime) {
        self.drained.borrow_mut().insert(target.to_owned(), at);
    }

    /// Runs `read` over all records.
    pub fn with_records<T>(&self, read: impl FnOnce(&[CallerRecord]) -> T) -> T {
        read(&self.records.borrow())
    }

    /// Gets the withdrawn keys with their times.
    pub fn withdrawn(&self) -> BTreeMap<String, BootTime> {
        self.withdrawn.borrow().clone()
    }

    /// Gets the targets that said that they leave, with their times.
    pub fn drained(&self) -> BTreeMap<String, BootTime> {
        self.drained.borrow().clone()
    }

    /// Tells whether any unplanned fault touched the time from `margin` before `from` to `to`.
    pub fn is_disturbed(&self, from: BootTime, to: BootTime, margin: Duration) -> bool {
        let spans = self.spans.borrow();
        let from = from.saturating_sub(margin);
        spans
            .iter()
            .any(|span| !span.planned && span.from <= to && span.to >= from)
    }

    /// Lists the faults that touched a time.
    pub fn faults_at(&self, at: BootTime) -> Vec<String> {
        let spans = self.spans.borrow();
        let near = spans.iter().filter(|span| span.from <= at && span.to >= at);
        near.map(|span| span.name.clone()).collect()
    }
}
