//! Log lines and counts of the store calls of a follower.

use super::StoreFollower;
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
