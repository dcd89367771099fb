//! Loggers that write JSON lines.

use slog::{Drain, Level, LevelFilter, Logger, PushFnValue, Record, o};
use slog_async::{Async, OverflowStrategy};
use std::{io::Write, sync::Mutex};

/// Number of lines in the queue to standard output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Creates a logger to standard error. Each line is a JSON object with `time`, `level`, `host`,
/// `message` and the fields of the record.
pub fn new_logger(host: &str, level: Level) -> Logger {
    let drain = Mutex::new(json_drain(std::io::stderr())).map(slog::Fuse);
    let filtered = LevelFilter::new(drain, level);
    Logger::root(filtered.map(slog::Fuse), o!("host" => host.to_owned()))
}

/// Creates a logger to standard output for daemons, with the same lines as [`new_logger`]. A separate
/// thread writes the lines; when its queue is full, lines are dropped, and a further line reports their
/// number.
pub fn new_daemon_logger(host: &str, level: Level) -> Logger {
    let drain = json_drain(std::io::stdout()).fuse();
    let queue = Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    let filtered = LevelFilter::new(queue.fuse(), level);
    Logger::root(filtered.map(slog::Fuse), o!("host" => host.to_owned()))
}

fn json_drain<W: Write>(output: W) -> slog_json::Json<W> {
    slog_json::Json::new(output)
        .set_flush(true)
        .add_key_value(o!(
            "time" => PushFnValue(|_: &Record<'_>, ser| ser.emit(crate::clock::wall_millis())),
            "level" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.level().as_str())),
            "message" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
}

/// Creates a logger that discards all records.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
