//! Log lines and counts of the store calls of a follower.

use super::StoreFollower;
use crate::message::KindChanges;
use fighall_core::ids::BootTime;
use fighall_store::{errors::Error as StoreError, watch::WatchStep};
use slog::{info, warn};
use std::time::Duration;

/// Number of findings of one response that are logged with their places.
const MAX_LOGGED_FINDINGS: usize = 8;

impl StoreFollower {
    // Logs and counts a step. Every call is billed, and hosts that rely on store watchers make few.
    pub(super) fn record_step(
        &self,
        kind: &str,
        wait: Duration,
        elapsed: Duration,
        step: Option<&Result<WatchStep, StoreError>>,
    ) {
        let (label, outcome, objects) = match step {
            None => ("restarted", "restarted".to_owned(), 0),
            Some(Err(error)) => ("failed", format!("failed: {error}"), 0),
            Some(Ok(WatchStep::Listed { list, .. })) => {
                self.log_findings(kind, &list.findings);
                ("answered", "listed".to_owned(), list.objects.len())
            }
            Some(Ok(WatchStep::Changed {
                changes, findings, ..
            })) => {
                self.log_findings(kind, findings);
                ("answered", "watched".to_owned(), changes.len())
            }
        };
        let version = match step {
            Some(Ok(WatchStep::Listed { list, .. })) => list.version,
            Some(Ok(WatchStep::Changed { version, .. })) => *version,
            _ => 0,
        };
        let labels = [kind, label];
        self.metrics.watch_steps.with_label_values(&labels).inc();
        info!(self.logger, "store call"; "kind" => kind, "outcome" => outcome, "objects" => objects,
            "wait_ms" => wait.as_millis(), "held_ms" => elapsed.as_millis(), "store_version" => version);
    }

    // Logs the hosts that watch the store for the region when they change.
    pub(super) fn log_store_watchers(&self, now: BootTime) {
        let watchers = {
            let router = self.router.borrow();
            let own = &router.own_host.host;
            router.fleet.store_watchers(now, own)
        };
        if *self.logged_watchers.borrow() == watchers {
            return;
        }
        info!(self.logger, "store watchers"; "hosts" => watchers.join(" "));
        self.logged_watchers.replace(watchers);
    }

    // Logs and counts changes that this host has read and does not forward.
    pub(super) fn record_not_forwarded(&self, changes: &[KindChanges]) {
        for message in changes {
            self.count_forwarding("not_forwarded");
            info!(self.logger, "changes not forwarded"; "kind" => format!("{:?}", message.kind),
                "previous" => message.previous, "version" => message.version);
        }
    }

    // Counts what became of changes that hosts forward to each other.
    pub(super) fn count_forwarding(&self, outcome: &str) {
        let counter = self.metrics.forwarded_changes.with_label_values(&[outcome]);
        counter.inc();
    }

    // Logs what is wrong with a response of the store, in one line.
    fn log_findings(&self, kind: &str, findings: &[String]) {
        if findings.is_empty() {
            return;
        }
        let shown = findings.len().min(MAX_LOGGED_FINDINGS);
        warn!(self.logger, "store entries skipped"; "kind" => kind, "findings" => findings.len(),
            "first" => findings[..shown].join("; "));
    }
}
