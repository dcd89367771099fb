//! Log lines of many processes, merged into one time line.
//!
//! Each line is one JSON object as the programs log it, with whatever a collector put before it. Lines
//! that hold no such object, such as panics, are kept at the time of the line before.

use crate::errors::{Error, Result};
use serde_json::{Map, Value};

/// Fields that have a place of their own in a line's text.
const NAMED: [&str; 5] = ["time", "host", "level", "message", "request"];

/// `LogLine` is one line of one process.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time in wall-clock milliseconds.
    pub time: u64,
    /// Host that wrote it.
    pub host: String,
    /// What happened.
    pub message: String,
    /// Request that it is about.
    pub request: Option<String>,
    /// All other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line. `before` is the line before it in its file.
    pub fn new(text: &str, before: Option<&LogLine>) -> Self {
        let start = text.find('{').unwrap_or(text.len());
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&text[start..]) else {
            return Self {
                time: before.map_or(0, |line| line.time),
                host: before.map(|line| line.host.clone()).unwrap_or_default(),
                message: text.to_owned(),
                request: None,
                fields: Map::new(),
            };
        };
        let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        Self {
            time: fields.get("time").and_then(Value::as_u64).unwrap_or(0),
            host: text("host").unwrap_or_default(),
            message: text("message").unwrap_or_default(),
            request: text("request"),
            fields,
        }
    }

    /// Gets the line as text: time, host, message, request, then the other fields by name.
    pub fn text(&self) -> String {
        let mut text = format!("{} {:<16} {}", clock(self.time), self.host, self.message);
        if let Some(request) = &self.request {
            text.push_str(&format!(" request={request}"));
        }
        for (name, value) in &self.fields {
            if NAMED.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(value) => text.push_str(&format!(" {name}={value}")),
                value => text.push_str(&format!(" {name}={value}")),
            }
        }
        text
    }
}

/// Reads the lines of files and sorts them by time; lines of one host stay in their order.
///
/// # Errors
///
/// Returns the error of a file that cannot be read.
pub fn read(paths: &[String]) -> Result<Vec<LogLine>> {
    let mut lines: Vec<LogLine> = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path).map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        let mut before = None;
        for text in text.lines().filter(|text| !text.trim().is_empty()) {
            let line = LogLine::new(text, before.as_ref());
            lines.push(line.clone());
            before = Some(line);
        }
    }
    lines.sort_by_key(|line| line.time);
    Ok(lines)
}

fn clock(millis: u64) -> String {
    let seconds = millis / 1_000;
    format!(
        "{:02}:{:02}:{:02}.{:03}",
        seconds / 3_600 % 24,
        seconds / 60 % 60,
        seconds % 60,
        millis % 1_000
    )
}
