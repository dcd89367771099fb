//! Log and metrics of connections that are closed for want of memory or descriptors.

use crate::metrics::GatewayMetrics;
use fighall_net::connections::{ConnectionTable, TableCounts};
use slog::{Logger, warn};
use std::cell::Cell;

/// `PressureReport` is what was reported of a table of connections.
#[derive(Debug, Default)]
pub struct PressureReport {
    reported: Cell<TableCounts>,
}

impl PressureReport {
    /// Counts what has changed since the last call, and logs it in one line.
    pub fn update(&self, connections: &ConnectionTable, metrics: &GatewayMetrics, logger: &Logger) {
        let counts = connections.counts();
        let last = self.reported.replace(counts);
        let available_bytes = connections.budget().available_bytes();
        metrics
            .memory_available
            .set(i64::try_from(available_bytes).unwrap_or(i64::MAX));
        if counts == last {
            return;
        }
        let evicted = counts.evicted - last.evicted;
        let rejected = counts.rejected - last.rejected;
        for (reason, count) in [("evicted", evicted), ("rejected", rejected)] {
            let labels = [reason];
            let closed = metrics.closed_connections.with_label_values(&labels);
            closed.inc_by(count);
        }
        warn!(logger, "connections closed for want of room";
            "evicted" => evicted,
            "rejected" => rejected,
            "available_bytes" => available_bytes,
        );
    }
}
