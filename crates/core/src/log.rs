//! Logs as JSON lines on standard error.

use slog::{Drain, Level, LevelFilter, Logger, PushFnValue, Record, o};
use std::sync::Mutex;

/// Creates the logger of a process: one JSON object a line with `time`, `level`, `host` and the
/// fields of the record.
pub fn new_logger(host: &str, level: Level) -> Logger {
    let drain = slog_json::Json::new(std::io::stderr())
        .set_flush(true)
        .add_key_value(o!(
            "time" => PushFnValue(|_: &Record<'_>, ser| ser.emit(crate::clock::wall_millis())),
            "level" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.level().as_str())),
            "message" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build();
    let filtered = LevelFilter::new(Mutex::new(drain).map(slog::Fuse), level);
    Logger::root(filtered.map(slog::Fuse), o!("host" => host.to_owned()))
}

/// Creates a logger that drops everything.
pub fn quiet_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
