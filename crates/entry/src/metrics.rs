//! Metrics in the prometheus text format, on the operators' address.

use crate::status::OrgServed;
use fighall_core::event::RefusalReason;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0,
];

/// `EntryMetrics` are the counters of one process.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Time from arrival to the answer's head, by service, in seconds.
    pub latency: HistogramVec,
    /// Refusals by reason and whether the request may have run.
    pub refusals: IntCounterVec,
    /// Refusals for rate although the organisation was within its rate, by organisation.
    pub refused_within_rate: IntCounterVec,
    /// Requests answered and refused by organisation, for the worst-served one.
    pub organisations: IntCounterVec,
    /// Free slots as a part of the slots held here, by service.
    pub headroom: GaugeVec,
    /// Seconds that drains of targets took.
    pub drain: HistogramVec,
    /// Attempts beyond the first, by cause.
    pub retries: IntCounterVec,
    /// Store calls by operation.
    pub store_calls: IntGaugeVec,
    /// Store calls without a usable answer, by operation.
    pub store_failures: IntGaugeVec,
    /// Whether the store answers.
    pub store_up: IntGauge,
    /// Generation in force.
    pub generation: IntGauge,
    /// Links that are up.
    pub links: IntGauge,
    /// Messages about loans sent to peers.
    pub loan_messages: IntCounter,
    /// Bytes sent to other regions, by region.
    pub link_bytes: IntCounterVec,
    /// Requests waiting for a slot, by service.
    pub waiting: IntGaugeVec,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be registered.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let metric = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let metric = HistogramVec::new(opts, labels)?;
            registry.register(Box::new(metric.clone()))?;
            prometheus::Result::Ok(metric)
        };
        let headroom = GaugeVec::new(
            Opts::new(
                "fighall_headroom_ratio",
                "Free slots as a part of those held",
            ),
            &["service", "region"],
        )?;
        registry.register(Box::new(headroom.clone()))?;
        let loan_messages = IntCounter::new(
            "fighall_loan_messages_total",
            "Messages about loans sent to peers",
        )?;
        registry.register(Box::new(loan_messages.clone()))?;
        Ok(Self {
            requests: counter(
                "fighall_requests_total",
                "Requests by service and outcome",
                &["service", "outcome"],
            )?,
            latency: histogram(
                "fighall_latency_seconds",
                "Time from arrival to the answer's head",
                &["service"],
            )?,
            refusals: counter(
                "fighall_refusals_total",
                "Refusals by reason",
                &["reason", "run"],
            )?,
            refused_within_rate: counter(
                "fighall_refused_within_rate_total",
                "Refusals although the organisation was within its rate",
                &["organisation"],
            )?,
            organisations: counter(
                "fighall_organisation_requests_total",
                "Requests by organisation and outcome",
                &["organisation", "outcome"],
            )?,
            headroom,
            drain: histogram(
                "fighall_drain_seconds",
                "Time until a drained target had no request in flight here",
                &["target"],
            )?,
            retries: counter("fighall_retries_total", "Further attempts", &["cause"])?,
            store_calls: gauges("fighall_store_calls", "Store calls", &["operation"])?,
            store_failures: gauges(
                "fighall_store_failures",
                "Store calls without a usable answer",
                &["operation"],
            )?,
            store_up: gauge("fighall_store_up", "Whether the store answers")?,
            generation: gauge("fighall_generation", "Generation in force")?,
            links: gauge("fighall_links_up", "Links to peers that are up")?,
            loan_messages,
            link_bytes: counter(
                "fighall_link_bytes_total",
                "Bytes sent to other regions",
                &["region"],
            )?,
            waiting: gauges(
                "fighall_waiting",
                "Requests waiting for a slot",
                &["service"],
            )?,
            registry,
        })
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason, run: &str) {
        let reason = crate::problem::reason_name(reason);
        self.refusals
            .with_label_values(&[reason.as_str(), run])
            .inc();
    }

    /// Gets the counts of an organisation's requests.
    pub fn organisation_served(&self, organisation: &str) -> OrgServed {
        let requests = |outcome| {
            let labels = [organisation, outcome];
            self.organisations.with_label_values(&labels).get()
        };
        let within_rate = self.refused_within_rate.with_label_values(&[organisation]);
        OrgServed {
            organisation: organisation.to_owned(),
            answered: requests("answered"),
            refused: requests("refused"),
            refused_within_rate: within_rate.get(),
        }
    }

    /// Gets all metrics as text.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut buffer).is_err() {
            return String::new();
        }
        String::from_utf8(buffer).unwrap_or_default()
    }
}
