//! Decides when a host whose copy is behind its peers' queries the store directly. No I/O; the time is
//! an argument.

use fighall_core::ids::{BootTime, Version};
use std::time::Duration;

/// Time for which a peer may be ahead before the store is queried: feeders propagate changes within one
/// or two beats.
const FED_PATIENCE: Duration = Duration::from_millis(700);
/// The same after a failed store call: the host was disconnected, and no feeder resends the changes that
/// it missed. It also limits how often a host calls a store that rejects its calls.
const FAILED_PATIENCE: Duration = Duration::from_millis(300);

/// `BehindMark` tracks the version that this host is missing, and since when.
#[derive(Debug, Default, Clone, Copy)]
pub struct BehindMark {
    awaited: Option<AwaitedVersion>,
}

#[derive(Debug, Clone, Copy)]
struct AwaitedVersion {
    version: Version,
    since: BootTime,
}

impl BehindMark {
    /// Updates the state with the version up to which this host knows a kind, the latest version that a peer
    /// reported, and whether the last call to the store failed. Returns whether to query the store now.
    /// During a steady stream of changes some version is always missing, so the store is queried only if
    /// one particular version does not arrive in time.
    pub fn note(&mut self, now: BootTime, known: Version, told: Version, failed: bool) -> bool {
        if known >= told {
            self.awaited = None;
            return false;
        }
        let awaited = self.awaited.filter(|awaited| awaited.version > known);
        let awaited = awaited.unwrap_or(AwaitedVersion {
            version: told,
            since: now,
        });
        self.awaited = Some(awaited);
        let patience = if failed {
            FAILED_PATIENCE
        } else {
            FED_PATIENCE
        };
        if now.saturating_sub(awaited.since) < patience {
            return false;
        }
        self.awaited = None;
        true
    }
}
