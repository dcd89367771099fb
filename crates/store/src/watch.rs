//! List-then-watch of one kind that resumes after outages of the store.

use crate::{
    client::StoreClient,
    errors::Result,
    object::{ObjectChange, ObjectList},
};
use fighall_core::{
    clock::boot_time,
    ids::{BootTime, Version},
    value,
};
use std::time::Duration;

/// Wait of one watch call. It bounds how long a watch that the store dropped silently goes unnoticed.
const WATCH_WAIT: Duration = Duration::from_secs(2);

value! {
    /// `WatchStep` is the result of one call of a watch.
    pub enum WatchStep {
        /// List of the kind, after a start or a compaction.
        Listed {
            /// All objects, unless the list is truncated.
            list: ObjectList,
            /// Time at which the call was sent; every write accepted before it is included. `None` for a
            /// stale list, which the next step brings up to date.
            sent_at: Option<BootTime>,
        },
        /// Changes since the last step; often empty.
        Changed {
            /// Changes ordered by version.
            changes: Vec<ObjectChange>,
            /// Version up to which the changes are complete.
            version: Version,
            /// Time at which the call was sent; every write accepted before it is included. Zero after a
            /// compaction, when nothing is known to be complete.
            sent_at: BootTime,
            /// Errors in what the store returned, with their places.
            findings: Vec<String>,
        },
    }
}

/// `KindWatch` is the position of a watch in a kind's changes.
#[derive(Debug)]
pub struct KindWatch {
    kind: String,
    after: Option<Version>,
    wait: Duration,
    stale_list_allowed: bool,
    // Whether the last step returned a stale list.
    after_stale_list: bool,
}

impl KindWatch {
    /// Creates a watch that starts by listing the kind.
    pub fn new(kind: &str) -> Self {
        Self {
            kind: kind.to_owned(),
            after: None,
            wait: WATCH_WAIT,
            stale_list_allowed: false,
            after_stale_list: false,
        }
    }

    /// Starts with a stale list, which may be cheaper, followed by a call for the changes since then.
    pub fn with_stale_list(mut self) -> Self {
        self.stale_list_allowed = true;
        self
    }

    /// Sets how long the store holds a watch call open.
    pub fn with_wait(mut self, wait: Duration) -> Self {
        self.wait = wait;
        self
    }

    /// Advances to a version up to which changes were received from another source.
    pub fn advance(&mut self, version: Version) {
        if let Some(after) = &mut self.after {
            *after = (*after).max(version);
        }
    }

    /// Restarts with a list of the latest state.
    pub fn restart(&mut self) {
        self.after = None;
        self.stale_list_allowed = false;
        self.after_stale_list = false;
    }

    /// Returns whether the next call waits for changes; other calls return at once.
    pub fn next_call_waits(&self) -> bool {
        self.after.is_some() && !self.after_stale_list
    }

    /// Sets how long the store holds later watch calls open.
    pub fn set_wait(&mut self, wait: Duration) {
        self.wait = wait;
    }

    /// Makes one call and advances the position by its result.
    ///
    /// # Errors
    ///
    /// Returns the error of the call; the position does not change.
    pub async fn step(&mut self, store: &StoreClient) -> Result<WatchStep> {
        let sent_at = boot_time();
        let Some(after) = self.after else {
            let list = if self.stale_list_allowed {
                store.list_stale(&self.kind).await?
            } else {
                store.list(&self.kind).await?
            };
            self.after = Some(list.version);
            self.after_stale_list = self.stale_list_allowed;
            let sent_at = Some(sent_at).filter(|_| !self.after_stale_list);
            return Ok(WatchStep::Listed { list, sent_at });
        };
        let wait = if self.after_stale_list {
            Duration::ZERO
        } else {
            self.wait
        };
        let batch = store.watch(&self.kind, after, wait).await?;
        self.after_stale_list = false;
        // A store restored from an older copy responds with an older version: list again.
        if batch.compacted || batch.version < after {
            // Restart with a current list: the retained history may begin after the version of a stale one.
            self.restart();
            return Ok(WatchStep::Changed {
                changes: Vec::new(),
                version: after,
                sent_at: Duration::ZERO,
                findings: Vec::new(),
            });
        }
        self.after = Some(batch.version);
        Ok(WatchStep::Changed {
            changes: batch.changes,
            version: batch.version,
            sent_at,
            findings: batch.findings,
        })
    }
}
