//! Lines of daemons: which of them a burst displaces.

use fighall_core::{
    clock::wall_millis,
    log::{RETAINED, new_queued_logger},
};
use slog::{Level, info, warn};
use std::{
    io::Write,
    sync::{Arc, Mutex},
    time::Duration,
};

// Collects lines, with a delay for each.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_micros(200));
        let mut lines = self.0.lock().expect("the lines");
        lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn line_that_is_written_late_has_the_time_at_which_it_was_logged() {
    let output = SlowOutput::default();
    let shared = output.clone();
    let logger = new_queued_logger("h1", Level::Info, move || shared.clone());
    for number in 0..2_000 {
        info!(logger, "attempt ended"; "number" => number);
    }
    let logged_at = wall_millis();
    drop(logger);
    assert!(
        wall_millis() > logged_at + 200,
        "the lines are written late"
    );
    let lines = output.0.lock().expect("the lines").clone();
    for line in String::from_utf8(lines).expect("text").lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a JSON object");
        let time = line["time"].as_u64().expect("a time");
        assert!(time <= logged_at, "{line}, after {logged_at}");
    }
}

#[test]
fn burst_of_lines_displaces_neither_refusals_nor_warnings() {
    let output = SlowOutput::default();
    let shared = output.clone();
    let logger = new_queued_logger("h1", Level::Info, move || shared.clone());
    for number in 0..12_000 {
        info!(logger, "attempt ended"; "number" => number);
    }
    for number in 0..100 {
        info!(logger, #RETAINED, "request refused as not run"; "number" => number);
        warn!(logger, "target ended"; "number" => number);
    }
    drop(logger);
    let lines = output.0.lock().expect("the lines").clone();
    let text = String::from_utf8(lines).expect("text");
    let count = |message: &str| text.lines().filter(|line| line.contains(message)).count();
    assert_eq!(count("request refused as not run"), 100);
    assert_eq!(count("target ended"), 100);
    assert!(count("attempt ended") < 12_000, "the burst fits the queue");
    for line in text.lines() {
        assert!(line.starts_with('{') && line.ends_with('}'), "{line}");
    }
}
