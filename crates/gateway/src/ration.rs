//! Rate limit of targets that are warming up: the requests per second that all hosts together may
//! send to one of them. It is divided among a few hosts that rendezvous hashing picks, so that hosts
//! need not coordinate.

use fighall_core::{
    ids::{BootTime, HostId},
    rendezvous, value,
};
use std::time::Duration;

value! {
    /// `RationOptions` are the fleet-wide limits of one target that is warming up.
    #[derive(Copy)]
    pub struct RationOptions {
        /// Requests per second that the target can handle.
        pub rate: f64,
        /// Most requests within any second, over all hosts.
        pub most: f64,
    }
}

/// `ColdRation` is this host's share of the rate limit of one target that is warming up.
#[derive(Debug, Default)]
pub struct ColdRation {
    tokens: f64,
    refilled_at: BootTime,
}

impl ColdRation {
    /// Takes a token for one request to `target`. Returns false if `host` has no share of the rate
    /// limit or has no token left. `hosts` are all hosts of the fleet, `host` included.
    pub fn take(
        &mut self,
        now: BootTime,
        options: &RationOptions,
        target: &str,
        host: &str,
        hosts: &[HostId],
    ) -> bool {
        // Each share adds a burst of one request to the rate, so the slack bounds the number of shares.
        let room = (options.most - options.rate).floor().max(1.0);
        let mut holders = 1;
        while holders < hosts.len() && f64::from(u32::try_from(holders).unwrap_or(0)) < room {
            holders += 1;
        }
        let picked = rendezvous::top(target, hosts, holders, String::as_str);
        if !picked.iter().any(|holder| *holder == host) {
            return false;
        }
        let count = u32::try_from(picked.len().max(1)).unwrap_or(u32::MAX);
        let rate = options.rate / f64::from(count);
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
