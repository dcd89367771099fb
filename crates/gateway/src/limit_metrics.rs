//! Prometheus metrics of the rate limits that targets name.

use crate::roster::TargetRoster;
use fighall_core::ids::BootTime;
use prometheus::{GaugeVec, Opts, Registry};

/// `LimitMetrics` are the metrics of the limits in force, by target.
#[derive(Debug)]
pub struct LimitMetrics {
    /// Requests per second that the target accepts from all hosts together.
    pub rate: GaugeVec,
    /// Seconds since the response that the limit is known from.
    pub age: GaugeVec,
    /// Fraction of the limit that this host takes.
    pub share: GaugeVec,
}

impl LimitMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error when a metric is invalid or registered twice.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| {
            let gauge = GaugeVec::new(Opts::new(name, help), &["target"])?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            rate: gauge(
                "fighall_target_limit",
                "Requests a second that a target accepts from all hosts",
            )?,
            age: gauge(
                "fighall_target_limit_age_seconds",
                "Time since the target last named its limit",
            )?,
            share: gauge(
                "fighall_target_limit_share",
                "Fraction of the target's limit that this host takes",
            )?,
        })
    }

    /// Sets the metrics to the limits in force; those that have ended are dropped.
    pub fn update(&self, now: BootTime, roster: &TargetRoster) {
        for gauge in [&self.rate, &self.age, &self.share] {
            gauge.reset();
        }
        for record in roster.records() {
            let limiter = &record.limiter;
            let Some(rate) = limiter.rate() else {
                continue;
            };
            let labels = [record.entry.name.as_str()];
            self.rate.with_label_values(&labels).set(rate);
            let age = limiter.age(now).as_secs_f64();
            self.age.with_label_values(&labels).set(age);
            let share = self.share.with_label_values(&labels);
            share.set(limiter.share.fraction());
        }
    }
}
