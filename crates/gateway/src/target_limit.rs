//! Rate limits that targets name in their responses: the requests per second that a target accepts from
//! all hosts together, for as long as its responses name the limit.

use crate::target_share::TargetShare;
use fighall_core::{ids::BootTime, value};
use http::{HeaderMap, HeaderName};
use std::time::Duration;

/// Time for which the end of a limit is reported to other hosts.
const END_REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after which a host without a share drops a limit that nobody reports.
const UNREPORTED_TIMEOUT: Duration = Duration::from_secs(10);

value! {
    /// `LimitReport` is what the headers of a response say about the rate limit of its target.
    #[derive(Default)]
    pub enum LimitReport {
        /// The target names no limit.
        #[default]
        Absent,
        /// Requests per second that the target accepts from all hosts together.
        Rate(f64),
        /// The value is not a rate and is ignored.
        Invalid(String),
    }
}

/// Reads the limit from the header `name`: one finite decimal number that is not negative.
pub fn read_limit(headers: &HeaderMap, name: &HeaderName) -> LimitReport {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return LimitReport::Absent;
    };
    let text = String::from_utf8_lossy(value.as_bytes()).trim().to_owned();
    let rate = text.parse::<f64>();
    let rate = rate
        .ok()
        .filter(|rate| rate.is_finite() && rate.is_sign_positive());
    match (rate, values.next()) {
        (Some(rate), None) => LimitReport::Rate(rate),
        (_, None) => LimitReport::Invalid(text),
        (_, Some(_)) => LimitReport::Invalid("more than one value".to_owned()),
    }
}

value! {
    /// `LimitChange` is a change of what this host knows about the limit of a target.
    pub enum LimitChange {
        /// The target has named a limit, in requests per second.
        Named(f64),
        /// The target has named another limit than before, in requests per second.
        Changed(f64),
        /// The target names no limit any more.
        Ended,
        /// The target has sent a value that is not a limit.
        Rejected(String),
    }
}

/// `TargetLimiter` holds the limit that one target names, and this host's share of it.
#[derive(Debug, Default)]
pub struct TargetLimiter {
    /// This host's share of the limit.
    pub share: TargetShare,
    rate: Option<f64>,
    // Time of the response that the rate, or its end, is known from.
    observed_at: BootTime,
    // Latest time at which a response or another host reported the limit.
    reported_at: BootTime,
    ended_at: Option<BootTime>,
    rejected: Option<String>,
}

impl TargetLimiter {
    /// Gets the limit in requests per second, if the target names one.
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Gets the time since the response that the limit, or its end, is known from.
    pub fn age(&self, now: BootTime) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// Tells whether the limit ended a moment ago, so that other hosts may not know it yet.
    pub fn ended_lately(&self, now: BootTime) -> bool {
        self.rate.is_none()
            && self
                .ended_at
                .is_some_and(|ended_at| now.saturating_sub(ended_at) < END_REPORT_TIME)
    }

    /// Applies the report of a response that arrived at `now` to a request that was sent at `sent_at`.
    /// `success` is false for error responses.
    pub fn record_report(
        &mut self,
        now: BootTime,
        sent_at: BootTime,
        report: &LimitReport,
        success: bool,
    ) -> Option<LimitChange> {
        match report {
            LimitReport::Rate(rate) => self.observe(now, now, Some(*rate)),
            // Responses may overtake each other, and errors may lack the header, so only a later request that
            // succeeds shows the end of a limit.
            LimitReport::Absent if sent_at <= self.observed_at || !success => None,
            LimitReport::Absent if self.rate.is_some() || self.ended_lately(now) => {
                self.observe(now, now, None)
            }
            LimitReport::Absent => None,
            LimitReport::Invalid(text) if self.rejected.as_ref() == Some(text) => None,
            LimitReport::Invalid(text) => {
                self.rejected = Some(text.clone());
                Some(LimitChange::Rejected(text.clone()))
            }
        }
    }

    /// Applies what another host has observed `age` ago, unless this host knows something later. `rate` is
    /// absent if the limit has ended.
    pub fn record_observation(
        &mut self,
        now: BootTime,
        rate: Option<f64>,
        age: Duration,
    ) -> Option<LimitChange> {
        if rate.is_some() {
            self.reported_at = now;
        }
        let observed_at = now.saturating_sub(age);
        let is_unknown = self.rate.is_none() && rate.is_none();
        if observed_at <= self.observed_at || is_unknown {
            return None;
        }
        self.observe(now, observed_at, rate)
    }

    /// Ends the limit if live holders have not reported it for long. Only a host without a
    /// share needs this: a holder keeps sending and learns of the end by itself.
    pub fn expire(&mut self, now: BootTime, is_any_holder_live: bool) -> Option<LimitChange> {
        if !is_any_holder_live {
            self.reported_at = now;
        }
        let is_expired = now.saturating_sub(self.reported_at) >= UNREPORTED_TIMEOUT;
        (self.rate.is_some() && is_expired).then(|| {
            self.rate = None;
            LimitChange::Ended
        })
    }

    fn observe(
        &mut self,
        now: BootTime,
        observed_at: BootTime,
        rate: Option<f64>,
    ) -> Option<LimitChange> {
        self.observed_at = observed_at;
        self.reported_at = now;
        let previous = std::mem::replace(&mut self.rate, rate);
        match (previous, rate) {
            (None, Some(rate)) => Some(LimitChange::Named(rate)),
            (Some(previous), Some(rate)) if previous.to_bits() != rate.to_bits() => {
                Some(LimitChange::Changed(rate))
            }
            (Some(_), None) => {
                self.ended_at = Some(now);
                Some(LimitChange::Ended)
            }
            _ => None,
        }
    }
}
