//! Record of what was sent, answered and run.

use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// `Record` is a list of events with their times since its start.
#[derive(Debug)]
pub struct Record {
    started_at: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    /// Gets the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds an event. Returns its time.
    pub fn add(&self, text: &str) -> Duration {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.to_owned()));
        at
    }

    /// Writes the events to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text.push_str(&format!("{:9.3} s  {line}\n", at.as_secs_f64()));
        }
        std::fs::write(path, text)
    }
}

/// Gets the time of day in Unix milliseconds.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
