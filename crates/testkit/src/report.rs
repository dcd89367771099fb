//! Reports of load, as text and JSON, and their comparison.

use crate::record::TargetRecord;
use fighall_core::message;
use hdrhistogram::Histogram;
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};

/// Highest latency told apart, in microseconds.
const LATENCY_LIMIT_US: u64 = 600_000_000;
/// Digits that latencies are kept to.
const PRECISION: u8 = 3;

message! {
    /// `LatencySummary` is the latencies of a stream in microseconds.
    #[derive(Copy, Eq, Default)]
    pub struct LatencySummary {
        /// Median.
        pub p50: u64,
        /// 90th percentile.
        pub p90: u64,
        /// 99th percentile.
        pub p99: u64,
        /// 99.9th percentile.
        pub p999: u64,
        /// Highest.
        pub max: u64,
    }
}

/// `StreamReport` is what became of one stream.
#[derive(Debug, Clone)]
pub struct StreamReport {
    /// Name of the stream.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered by a target.
    pub answered: u64,
    /// Exchanges that broke.
    pub broken: u64,
    /// Requests not answered, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Marks of answered requests.
    pub answered_marks: BTreeSet<String>,
    /// Marks of requests refused as "not run".
    pub not_run_marks: BTreeSet<String>,
    latency: Histogram<u64>,
}

impl StreamReport {
    /// Creates an empty report.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            sent: 0,
            answered: 0,
            broken: 0,
            refused: BTreeMap::new(),
            answered_marks: BTreeSet::new(),
            not_run_marks: BTreeSet::new(),
            latency: Histogram::new_with_bounds(1, LATENCY_LIMIT_US, PRECISION)
                .unwrap_or_else(|_| unreachable!("the bounds are valid")),
        }
    }

    /// Notes the latency of an answered request.
    pub fn note_latency(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// Adds another stream's counts and latencies.
    pub fn merge(&mut self, other: &StreamReport) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.broken += other.broken;
        for (reason, count) in &other.refused {
            *self.refused.entry(reason.clone()).or_default() += count;
        }
        // Both histograms have the same bounds, so that none can be refused.
        let _ = self.latency.add(&other.latency);
    }

    /// Gets the number of requests that were not answered.
    pub fn refused_total(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Gets the latencies.
    pub fn latency(&self) -> LatencySummary {
        LatencySummary {
            p50: self.latency.value_at_quantile(0.5),
            p90: self.latency.value_at_quantile(0.9),
            p99: self.latency.value_at_quantile(0.99),
            p999: self.latency.value_at_quantile(0.999),
            max: self.latency.max(),
        }
    }

    /// Gets the report as it is kept in files.
    pub fn summary(&self) -> StreamSummary {
        StreamSummary {
            name: self.name.clone(),
            sent: self.sent,
            answered: self.answered,
            broken: self.broken,
            refused: self.refused.clone(),
            latency: self.latency(),
        }
    }
}

message! {
    /// `StreamSummary` is a stream's report as it is kept in files.
    pub struct StreamSummary {
        /// Name of the stream.
        pub name: String,
        /// Requests sent.
        pub sent: u64,
        /// Requests answered by a target.
        pub answered: u64,
        /// Exchanges that broke.
        pub broken: u64,
        /// Requests not answered, by reason.
        pub refused: BTreeMap<String, u64>,
        /// Latencies of answered requests, from their scheduled times.
        pub latency: LatencySummary,
    }
}

message! {
    /// `RunCounts` compares the targets' own count with what callers were told.
    #[derive(Copy, Eq, Default)]
    pub struct RunCounts {
        /// Requests that ran more than once.
        pub doubled: u64,
        /// Requests that were answered and never ran.
        pub lost: u64,
        /// Requests that ran although the refusal said "not run".
        pub untrue: u64,
    }
}

message! {
    /// `ReportFile` is a whole report as it is kept in files.
    pub struct ReportFile {
        /// Streams.
        pub streams: Vec<StreamSummary>,
        /// Counts against the targets' own.
        pub counts: RunCounts,
    }
}

/// `LoadReport` is what became of all streams.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Streams in the order of the plan.
    pub streams: Vec<StreamReport>,
}

impl LoadReport {
    /// Finds a stream.
    pub fn stream(&self, name: &str) -> Option<&StreamReport> {
        self.streams.iter().find(|stream| stream.name == name)
    }

    /// Compares with the targets' own records.
    pub fn counts(&self, records: &[TargetRecord]) -> RunCounts {
        let mut runs: BTreeMap<&String, u64> = BTreeMap::new();
        for record in records {
            for (mark, count) in &record.runs {
                *runs.entry(mark).or_default() += u64::from(*count);
            }
        }
        let mut counts = RunCounts {
            doubled: count(runs.values().filter(|count| **count > 1).count()),
            ..RunCounts::default()
        };
        for stream in &self.streams {
            let lost = stream
                .answered_marks
                .iter()
                .filter(|mark| !runs.contains_key(mark));
            counts.lost += count(lost.count());
            let untrue = stream
                .not_run_marks
                .iter()
                .filter(|mark| runs.contains_key(mark));
            counts.untrue += count(untrue.count());
        }
        counts
    }

    /// Gets the report as it is kept in files.
    pub fn file(&self, records: &[TargetRecord]) -> ReportFile {
        ReportFile {
            streams: self.streams.iter().map(StreamReport::summary).collect(),
            counts: self.counts(records),
        }
    }
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}

impl ReportFile {
    /// Renders the report as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for stream in &self.streams {
            let latency = stream.latency;
            let _ = writeln!(
                text,
                "{:<24} sent {:>7} answered {:>7} broken {:>4}  p50 {:>7} p90 {:>7} p99 {:>7} p99.9 {:>7} max {:>7} us",
                stream.name,
                stream.sent,
                stream.answered,
                stream.broken,
                latency.p50,
                latency.p90,
                latency.p99,
                latency.p999,
                latency.max
            );
            for (reason, count) in &stream.refused {
                let _ = writeln!(text, "{:<24} {count} {reason}", "");
            }
        }
        let counts = self.counts;
        let _ = writeln!(
            text,
            "doubled {}, lost {}, refused as not run although run {}",
            counts.doubled, counts.lost, counts.untrue
        );
        text
    }

    /// Renders the comparison with an earlier report.
    pub fn compare(&self, earlier: &ReportFile) -> String {
        let mut text = String::new();
        for stream in &self.streams {
            let before = earlier.streams.iter().find(|row| row.name == stream.name);
            let Some(before) = before else {
                let _ = writeln!(text, "{:<24} is new", stream.name);
                continue;
            };
            let refused: u64 = stream.refused.values().sum();
            let refused_before: u64 = before.refused.values().sum();
            let _ = writeln!(
                text,
                "{:<24} answered {} -> {}, refused {} -> {}, p50 {} -> {}, p99 {} -> {} us",
                stream.name,
                before.answered,
                stream.answered,
                refused_before,
                refused,
                before.latency.p50,
                stream.latency.p50,
                before.latency.p99,
                stream.latency.p99
            );
        }
        text
    }
}
