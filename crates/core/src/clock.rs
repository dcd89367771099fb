//! Clocks: time since boot, wall-clock time and a hybrid logical clock for time-line events.

use crate::{ids::BootTime, message};
use rustix::time::{ClockId, clock_gettime};
use std::{
    cell::Cell,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Gets the time since boot. It advances while the system is suspended, so that an expiry computed from
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
    /// `HybridStamp` is a timestamp of a hybrid logical clock (Kulkarni et al., "Logical Physical
    /// Clocks", 2014). Stamps are ordered by milliseconds, then by counter.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct HybridStamp {
        /// Wall-clock milliseconds since the Unix epoch.
        pub millis: u64,
        /// Tells apart events with the same milliseconds.
        pub counter: u32,
    }
}

/// `HybridClock` issues strictly increasing stamps, each greater than all stamps observed before.
#[derive(Debug)]
pub struct HybridClock {
    last: Cell<HybridStamp>,
}

impl HybridClock {
    /// Creates a clock that has observed no stamp.
    pub fn new() -> Self {
        let last = HybridStamp {
            millis: 0,
            counter: 0,
        };
        Self {
            last: Cell::new(last),
        }
    }

    /// Issues the stamp of a local event at wall-clock time `millis`, in milliseconds since the Unix
    /// epoch.
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

    /// Advances the clock to a stamp that another process sent, so that later stamps exceed it.
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
    fn new_stamps_exceed_observed_stamps() {
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
    fn boot_time_does_not_go_back() {
        let first = boot_time();
        assert!(boot_time() >= first);
    }
}
