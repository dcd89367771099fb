//! Slow start: raises a new or returning target from a small share of requests to its full share
//! over a time. The ramp is paused while the target's latency is too high.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Fraction of the full share at the start of the ramp.
const START_FRACTION: f64 = 0.15;
/// Ratio of the latency to the reference latency above which the ramp is paused.
const PAUSE_LATENCY_RATIO: f64 = 2.0;
/// Weight of a new sample in the exponentially weighted moving average of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.1;

value! {
    /// `SlowStart` is the progress of one ramp.
    pub struct SlowStart {
        duration: Duration,
        progress: f64,
        advanced_at: BootTime,
        average_latency: Option<f64>,
        reference_latency: Option<f64>,
    }
}

impl SlowStart {
    /// Creates a ramp that starts at `now` and takes `duration` if it is never paused.
    pub fn new(now: BootTime, duration: Duration) -> Self {
        Self {
            duration,
            progress: 0.0,
            advanced_at: now,
            average_latency: None,
            reference_latency: None,
        }
    }

    /// Creates a ramp that is already complete.
    pub fn completed(now: BootTime) -> Self {
        Self {
            progress: 1.0,
            ..Self::new(now, Duration::ZERO)
        }
    }

    /// Sets the reference latency: the usual latency of the service's targets.
    pub fn set_reference_latency(&mut self, latency: Duration) {
        self.reference_latency = Some(latency.as_secs_f64());
    }

    /// Adds the latency of a request that the target served.
    pub fn note_latency(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let average = self.average_latency.unwrap_or(latency);
        self.average_latency = Some(average + (latency - average) * LATENCY_EWMA_WEIGHT);
    }

    /// Advances the ramp to `now` and gets the fraction of the full share that the target may use,
    /// above 0 and up to 1.
    pub fn share_fraction(&mut self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.advanced_at);
        self.advanced_at = now;
        if self.progress >= 1.0 {
            return 1.0;
        }
        if !self.is_paused() {
            let duration = self.duration.as_secs_f64();
            let step = if duration > 0.0 {
                elapsed.as_secs_f64() / duration
            } else {
                1.0
            };
            self.progress = (self.progress + step).min(1.0);
        }
        START_FRACTION + (1.0 - START_FRACTION) * self.progress
    }

    /// Tells whether the target has reached its full share.
    pub fn is_complete(&self) -> bool {
        self.progress >= 1.0
    }

    fn is_paused(&self) -> bool {
        match (self.average_latency, self.reference_latency) {
            (Some(latency), Some(reference)) => latency > reference * PAUSE_LATENCY_RATIO,
            _ => false,
        }
    }
}

/// Gets the number of concurrent requests that a fraction of a share allows, at least one.
pub fn concurrency_limit(share: u32, fraction: f64) -> u32 {
    let limit = (f64::from(share) * fraction)
        .ceil()
        .clamp(1.0, f64::from(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let limit = limit as u32;
    limit
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn the_fraction_grows_over_the_duration_and_pauses_on_high_latency() {
        let mut ramp = SlowStart::new(SECOND, SECOND * 10);
        assert!(ramp.share_fraction(SECOND) < 0.2);
        let half = ramp.share_fraction(SECOND * 6);
        assert!((0.5..0.7).contains(&half), "{half}");
        ramp.set_reference_latency(Duration::from_millis(10));
        ramp.note_latency(Duration::from_millis(50));
        assert_eq!(ramp.share_fraction(SECOND * 60).to_bits(), half.to_bits());
        for _ in 0..100 {
            ramp.note_latency(Duration::from_millis(10));
        }
        assert!(ramp.share_fraction(SECOND * 80) >= 1.0);
        assert!(ramp.is_complete());
    }
}
