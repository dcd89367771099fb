//! Prometheus metrics of a gateway.

use crate::{limit_metrics::LimitMetrics, rollout_metrics::RolloutMetrics};
use fighall_core::ids::BootTime;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Upper bounds of the buckets of the latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] = &[
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0, 16.0,
];

/// `GatewayMetrics` are the metrics of a gateway, in a registry of their own.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Requests of callers by route and by outcome: `answered` with the status, or the cause of the refusal.
    pub requests: IntCounterVec,
    /// Seconds from a request's arrival to its response, by route.
    pub request_latency: HistogramVec,
    /// Attempts at targets by service and outcome.
    pub attempts: IntCounterVec,
    /// Seconds from sending an attempt to its outcome, by service.
    pub attempt_latency: HistogramVec,
    /// Retries by service and by whether the budget permitted them: `permitted` or `refused`.
    pub retries: IntCounterVec,
    /// Requests passed to other hosts by outcome, while this host reaches no target.
    pub passed: IntCounterVec,
    /// Responses that belong to no request under way, by where they arrived: on an `idle` connection or in an `exchange`.
    pub surplus_responses: IntCounterVec,
    /// Connections of clients that were closed for want of memory or descriptors: `evicted` after they were accepted, or
    /// `rejected`.
    pub closed_connections: IntCounterVec,
    /// Bytes of the memory budget that are not reserved.
    pub memory_available: IntGauge,
    /// Steps of store watches by object kind and outcome.
    pub watch_steps: IntCounterVec,
    /// Messages with changes of the store, by what became of them: `applied`, `missed` (earlier ones were missing), `ignored`
    /// (they were known) or `not_forwarded` (that is left to others), and
    /// copies `fetched` from other hosts.
    pub forwarded_changes: IntCounterVec,
    /// Version of the traffic policy in force.
    pub policy_version: IntGauge,
    /// Time since the traffic policy was last confirmed as current, in milliseconds.
    pub policy_age_ms: IntGauge,
    /// Number of listed targets.
    pub targets: IntGauge,
    /// Number of hosts that are live, this one included.
    pub hosts: IntGauge,
    /// Number of requests that are blocked because targets crash under them.
    pub blocked_requests: IntGauge,
    /// Longest time for which a due task waited for the others of its thread, in milliseconds.
    pub longest_delay_ms: IntGauge,
    /// 1 while this host reaches no target, else 0.
    pub targets_unreachable: IntGauge,
    /// Limits that targets name.
    pub limits: LimitMetrics,
    /// What the hosts of each zone have in force.
    pub rollouts: RolloutMetrics,
}

impl GatewayMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is invalid or registered twice.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let counter_vec = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter_vec.clone()))?;
            Ok::<_, prometheus::Error>(counter_vec)
        };
        let histogram_vec = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram_vec = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histogram_vec.clone()))?;
            Ok::<_, prometheus::Error>(histogram_vec)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            requests: counter_vec(
                "fighall_requests_total",
                "Requests of callers",
                &["route", "outcome"],
            )?,
            request_latency: histogram_vec(
                "fighall_request_seconds",
                "Time to the answer",
                &["route"],
            )?,
            attempts: counter_vec(
                "fighall_attempts_total",
                "Attempts at targets",
                &["service", "outcome"],
            )?,
            attempt_latency: histogram_vec(
                "fighall_attempt_seconds",
                "Time at targets",
                &["service"],
            )?,
            retries: counter_vec(
                "fighall_retries_total",
                "Retries permitted or refused by the budget",
                &["service", "outcome"],
            )?,
            passed: counter_vec(
                "fighall_passed_total",
                "Requests passed to other hosts",
                &["outcome"],
            )?,
            surplus_responses: counter_vec(
                "fighall_surplus_responses_total",
                "Responses that belong to no request under way",
                &["place"],
            )?,
            closed_connections: counter_vec(
                "fighall_closed_connections_total",
                "Connections of clients closed for want of memory or descriptors",
                &["reason"],
            )?,
            memory_available: gauge(
                "fighall_memory_available_bytes",
                "Memory budget that is not reserved",
            )?,
            watch_steps: counter_vec(
                "fighall_watch_steps_total",
                "Steps of watches of the store",
                &["kind", "outcome"],
            )?,
            forwarded_changes: counter_vec(
                "fighall_forwarded_changes_total",
                "Messages with changes of the store",
                &["outcome"],
            )?,
            policy_version: gauge("fighall_policy_version", "Traffic policy in force")?,
            policy_age_ms: gauge(
                "fighall_policy_age_milliseconds",
                "Age of the policy's confirmation",
            )?,
            targets: gauge("fighall_targets", "Targets listed")?,
            hosts: gauge("fighall_hosts", "Hosts heard")?,
            blocked_requests: gauge(
                "fighall_blocked_requests",
                "Requests blocked because targets crash under them",
            )?,
            longest_delay_ms: gauge(
                "fighall_longest_task_delay_milliseconds",
                "Longest time for which a due task waited for others",
            )?,
            targets_unreachable: gauge(
                "fighall_targets_unreachable",
                "1 while no target can be reached",
            )?,
            limits: LimitMetrics::new(&registry)?,
            rollouts: RolloutMetrics::new(&registry)?,
            registry,
        })
    }

    /// Counts a request that arrived at `arrived_at` and ended at `now` with `outcome`, and records its
    /// latency.
    pub fn count_request(&self, route: &str, outcome: &str, arrived_at: BootTime, now: BootTime) {
        self.requests.with_label_values(&[route, outcome]).inc();
        let elapsed = now.saturating_sub(arrived_at);
        let latency = self.request_latency.with_label_values(&[route]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Counts an attempt that ended after `elapsed`, and records its latency.
    pub fn count_attempt(&self, service: &str, outcome: &str, elapsed: Duration) {
        self.attempts.with_label_values(&[service, outcome]).inc();
        let latency = self.attempt_latency.with_label_values(&[service]);
        latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a retry that the budget of a service permitted or refused.
    pub fn count_retry(&self, service: &str, permitted: bool) {
        let outcome = if permitted { "permitted" } else { "refused" };
        self.retries.with_label_values(&[service, outcome]).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric cannot be encoded.
    pub fn encode(&self) -> prometheus::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}
