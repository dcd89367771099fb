//! Log and metric of times in which the tasks of a process wait for their thread.

use crate::{errors::Result, metrics::GatewayMetrics, names};
use fighall_core::clock::boot_time;
use fighall_kernel::{kernel::MicroKernel, turn::take_busiest};
use slog::{Logger, warn};
use std::{rc::Rc, time::Duration};

/// Interval at which the delay of a due task is measured.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay from which on it is logged.
const LONG_DELAY: Duration = Duration::from_millis(50);
/// Interval between two lines, each of which tells the longest delay since the last one.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// `DelayMonitor` measures how long a due task waits for the others of its thread.
#[derive(Debug)]
pub struct DelayMonitor {
    metrics: Rc<GatewayMetrics>,
    logger: Rc<Logger>,
}

impl DelayMonitor {
    /// Creates a monitor from the services that are registered in `kernel`.
    ///
    /// # Errors
    ///
    /// Returns an error when a required service is not registered.
    pub fn new(kernel: &MicroKernel) -> Result<Self> {
        Ok(Self {
            metrics: kernel.find(names::METRICS)?,
            logger: kernel.find(names::LOGGER)?,
        })
    }

    /// Measures until the process ends.
    pub async fn run(self) {
        let (mut longest, mut reported_at) = (Duration::ZERO, Duration::ZERO);
        loop {
            let due_at = boot_time() + CHECK_INTERVAL;
            compio::time::sleep(CHECK_INTERVAL).await;
            let now = boot_time();
            longest = longest.max(now.saturating_sub(due_at));
            self.record(longest);
            if longest >= LONG_DELAY && now.saturating_sub(reported_at) >= REPORT_INTERVAL {
                self.report(longest);
                (longest, reported_at) = (Duration::ZERO, now);
            }
        }
    }

    fn record(&self, delay: Duration) {
        let delay_ms = i64::try_from(delay.as_millis()).unwrap_or(i64::MAX);
        let longest_ms = self.metrics.longest_delay_ms.get().max(delay_ms);
        self.metrics.longest_delay_ms.set(longest_ms);
    }

    fn report(&self, delay: Duration) {
        let busiest = take_busiest();
        warn!(self.logger, "tasks were delayed";
            "delay_ms" => delay.as_millis(),
            "subject" => busiest.as_ref().map(|task| task.subject.as_str()),
            "units" => busiest.as_ref().map(|task| task.units),
        );
    }
}
