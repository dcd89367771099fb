//! Loggers that write JSON lines.

use crate::clock::wall_millis;
use slog::{
    Drain, Level, LevelFilter, Logger, OwnedKV, OwnedKVList, PushFnValue, Record, SingleKV, o,
};
use slog_async::{Async, OverflowStrategy};
use std::{io::Write, sync::Mutex};

/// Tag of lines that have a queue of their own, so that a burst of other lines does not displace them.
pub const RETAINED: &str = "retained";
/// Number of lines in each queue to the output; further ones are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Creates a logger to standard error. Each line is a JSON object with `time`, `level`, `host`,
/// `message` and the fields of the record.
pub fn new_logger(host: &str, level: Level) -> Logger {
    let drain = Mutex::new(json_drain(std::io::stderr())).map(slog::Fuse);
    let filtered = LevelFilter::new(drain, level);
    let time = PushFnValue(|_: &Record<'_>, ser| ser.emit(wall_millis()));
    Logger::root(
        filtered.map(slog::Fuse),
        o!("host" => host.to_owned(), "time" => time),
    )
}

/// Creates a logger to standard output for daemons, with the same lines as [`new_logger`].
pub fn new_daemon_logger(host: &str, level: Level) -> Logger {
    new_queued_logger(host, level, std::io::stdout)
}

/// Creates a logger whose lines separate threads write to what `output` returns, each line at once. When their queue
/// is full, lines are dropped, and a further line reports their number. Warnings and lines with the tag [`RETAINED`]
/// have a queue of their own.
pub fn new_queued_logger<W: Write + Send + 'static>(
    host: &str,
    level: Level,
    output: impl Fn() -> W,
) -> Logger {
    let drain = QueuedDrain {
        retained: new_queue(output()),
        other: new_queue(output()),
    };
    let filtered = LevelFilter::new(drain, level);
    Logger::root(filtered.map(slog::Fuse), o!("host" => host.to_owned()))
}

// Two queues, each with a thread that writes its lines.
struct QueuedDrain {
    retained: slog::Fuse<Async>,
    other: slog::Fuse<Async>,
}

impl Drain for QueuedDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        // A queue may be written late.
        let time = SingleKV("time", wall_millis());
        let values = OwnedKVList::from(OwnedKV((time, values.clone())));
        if record.tag() == RETAINED || record.level().is_at_least(Level::Warning) {
            return self.retained.log(record, &values);
        }
        self.other.log(record, &values)
    }
}

fn new_queue(output: impl Write + Send + 'static) -> slog::Fuse<Async> {
    Async::new(json_drain(LineWriter::new(output)).fuse())
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}

// Collects what is written until the flush that ends a line, so that lines of two threads do not mix.
struct LineWriter<W> {
    line: Vec<u8>,
    output: W,
}

impl<W: Write> LineWriter<W> {
    fn new(output: W) -> Self {
        Self {
            line: Vec::new(),
            output,
        }
    }
}

impl<W: Write> Write for LineWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        let result = self.output.write_all(&self.line);
        self.line.clear();
        result?;
        self.output.flush()
    }
}

fn json_drain<W: Write>(output: W) -> slog_json::Json<W> {
    slog_json::Json::new(output)
        .set_flush(true)
        .add_key_value(o!(
            "level" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.level().as_str())),
            "message" => PushFnValue(|record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
}

/// Creates a logger that discards all records.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
