//! Rate limit of targets that are warming up: the requests per second that all hosts together may
//! send to one of them. It is divided among a few hosts that rendezvous hashing picks, so that hosts
//! need not coordinate.

use fighall_core::{
    ids::{BootTime, HostId},
    rendezvous, value,
};
use std::time::Duration;

/// Fraction of the slack that the bursts of the holders take. Hosts learn of a change of the fleet at
/// different times, so a former and a new holder may use a share at once.
const HOLDER_FRACTION: f64 = 0.6;

value! {
    /// `WarmupLimit` are the fleet-wide limits of one target that is warming up.
    #[derive(Copy)]
    pub struct WarmupLimit {
        /// Requests per second that the target can handle.
        pub rate: f64,
        /// Most requests within any second, over all hosts.
        pub max_per_second: f64,
    }
}

/// `WarmupLimiter` is this host's share of the rate limit of one target that is warming up.
#[derive(Debug, Default)]
pub struct WarmupLimiter {
    tokens: f64,
    refilled_at: BootTime,
}

impl WarmupLimiter {
    /// Takes a token for one request to `target`. Returns false if `host` has no share of the rate
    /// limit or has no token left. `hosts` are all hosts of the fleet, `host` included.
    pub fn take(
        &mut self,
        now: BootTime,
        limit: &WarmupLimit,
        target: &str,
        host: &str,
        hosts: &[HostId],
    ) -> bool {
        // Each share adds a burst of one request to the rate, so the slack bounds the number of shares.
        let slack = limit.max_per_second - limit.rate;
        let max_holders = (slack * HOLDER_FRACTION).floor().max(1.0);
        let mut holder_count = 1;
        while holder_count < hosts.len()
            && f64::from(u32::try_from(holder_count).unwrap_or(0)) < max_holders
        {
            holder_count += 1;
        }
        let selected = rendezvous::top(target, hosts, holder_count, String::as_str);
        if !selected.iter().any(|holder| *holder == host) {
            self.tokens = 0.0;
            self.refilled_at = now;
            return false;
        }
        let share_count = u32::try_from(selected.len().max(1)).unwrap_or(u32::MAX);
        let rate = limit.rate / f64::from(share_count);
        let elapsed = now
            .saturating_sub(self.refilled_at)
            .min(Duration::from_secs(60));
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * rate).min(1.0);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
