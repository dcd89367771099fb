//! Clocks: time since boot, wall time and the hybrid logical clock of the time line.

use crate::{ids::BootTime, message};
use rustix::time::{ClockId, clock_gettime};
use std::{
    cell::Cell,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Gets the time since boot. It goes on while the machine sleeps, so that an expiry taken from
/// it also holds after a suspend.
pub fn boot_time() -> BootTime {
    let spec = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(spec.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(spec.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Gets the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

message! {
    /// `HybridStamp` is one reading of a hybrid logical clock (Kulkarni et al., "Logical Physical
    /// Clocks", 2014). Stamps order as (milliseconds, counter).
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct HybridStamp {
        /// Wall-clock milliseconds since the Unix epoch.
        pub millis: u64,
        /// Count of events within the same millisecond.
        pub counter: u32,
    }
}

/// `HybridClock` issues stamps that never go back and exceed every stamp observed.
#[derive(Debug)]
pub struct HybridClock {
    last: Cell<HybridStamp>,
}

impl HybridClock {
    /// Creates a clock that has seen no stamp.
    pub fn new() -> Self {
        let last = HybridStamp {
            millis: 0,
            counter: 0,
        };
        Self {
            last: Cell::new(last),
        }
    }

    /// Issues the stamp of a local event at wall time `millis`.
    pub fn tick(&self, millis: u64) -> HybridStamp {
        let last = self.last.get();
        let stamp = if millis > last.millis {
            HybridStamp { millis, counter: 0 }
        } else {
            HybridStamp {
                millis: last.millis,
                counter: last.counter.saturating_add(1),
            }
        };
        self.last.set(stamp);
        stamp
    }

    /// Takes in a stamp that another process sent.
    pub fn observe(&self, stamp: HybridStamp) {
        let last = self.last.get();
        self.last.set(last.max(stamp));
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_exceed_what_was_observed() {
        let clock = HybridClock::new();
        let first = clock.tick(10);
        clock.observe(HybridStamp {
            millis: 50,
            counter: 3,
        });
        let second = clock.tick(11);
        assert!(second > first);
        assert_eq!(second.millis, 50);
        assert_eq!(second.counter, 4);
    }

    #[test]
    fn boot_time_advances() {
        let first = boot_time();
        assert!(boot_time() >= first);
    }
}
