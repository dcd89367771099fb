//! Memory of this process, from `/proc/self/statm`.

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

/// Divides as floating point numbers.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn ratio(amount: u64, count: u64) -> f64 {
    amount as f64 / count.max(1) as f64
}
