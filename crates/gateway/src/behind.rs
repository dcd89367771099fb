//! When a host that knows less than its peers asks the store itself. No I/O; the time is an argument.

use fighall_core::ids::{BootTime, Version};
use std::time::Duration;

/// Time for which a peer may have a later change: feeders hand changes on within a beat or two.
const FED_PATIENCE: Duration = Duration::from_millis(700);
/// The same after a failed call: the host was cut off, and nobody hands on what it missed. It also
/// spaces the calls of a host that the store turns away.
const FAILED_PATIENCE: Duration = Duration::from_millis(300);

/// `BehindMark` keeps which version is awaited, and since when.
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
    /// Notes up to which version this host knows a kind, the latest one that a peer told, and whether
    /// the last call to the store failed. Returns whether the store is to be asked now. While changes
    /// follow each other some version is always awaited; only one that does not come is asked for.
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
