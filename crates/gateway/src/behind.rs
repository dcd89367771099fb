//! Decides when a host whose copy is behind its peers' queries the store directly. No I/O; the time is
//! an argument.

use fighall_core::ids::{BootTime, Version};
use std::time::Duration;

/// Time for which a peer may be ahead before the store is queried: the store watchers forward changes
/// within one or two heartbeat intervals.
const FORWARDING_TIMEOUT: Duration = Duration::from_millis(700);
/// The same after a failed store call: the host was disconnected, and no store watcher resends the changes
/// that it missed. It also limits how often a host calls a store that rejects its calls.
const TIMEOUT_AFTER_FAILURE: Duration = Duration::from_millis(300);

/// `LagTracker` tracks the version that this host is missing, and since when.
#[derive(Debug, Default, Clone, Copy)]
pub struct LagTracker {
    missing: Option<MissingVersion>,
}

#[derive(Debug, Clone, Copy)]
struct MissingVersion {
    version: Version,
    since: BootTime,
}

impl LagTracker {
    /// Updates the state with the version up to which this host has copied a kind, the latest version that
    /// a peer reported, and whether the last call to the store failed. Returns whether to query the store
    /// now. During a steady stream of changes some version is always missing, so the store is queried only
    /// if one particular version does not arrive in time.
    pub fn update(
        &mut self,
        now: BootTime,
        own_version: Version,
        peer_version: Version,
        last_call_failed: bool,
    ) -> bool {
        if own_version >= peer_version {
            self.missing = None;
            return false;
        }
        let missing = self.missing.filter(|missing| missing.version > own_version);
        let missing = missing.unwrap_or(MissingVersion {
            version: peer_version,
            since: now,
        });
        self.missing = Some(missing);
        let timeout = if last_call_failed {
            TIMEOUT_AFTER_FAILURE
        } else {
            FORWARDING_TIMEOUT
        };
        if now.saturating_sub(missing.since) < timeout {
            return false;
        }
        self.missing = None;
        true
    }
}
