//! Memory and processor time of this process, from `/proc/self`.

use std::time::Duration;

/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Gets the resident memory in bytes, or 0 where it cannot be read.
pub(crate) fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE
}

/// Time that a tick of `/proc/self/stat` stands for.
const TICK: Duration = Duration::from_millis(10);
/// Fields between the command and the processor times in `/proc/self/stat`.
const FIELDS_BEFORE: usize = 11;

/// Gets the processor time that this process has used, or zero where it cannot be read.
pub(crate) fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command is in parentheses and may hold spaces.
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let times = fields.split_whitespace().skip(FIELDS_BEFORE).take(2);
    let ticks: u32 = times.filter_map(|field| field.parse::<u32>().ok()).sum();
    TICK * ticks
}

/// Divides as floating point numbers.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn ratio(amount: u64, count: u64) -> f64 {
    amount as f64 / count.max(1) as f64
}
