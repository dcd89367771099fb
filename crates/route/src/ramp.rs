//! Slow start: raises a new or returning target from a small share of requests to its full share
//! over a time. The ramp stands still while the target's latency is too high.

use fighall_core::{ids::BootTime, value};
use std::time::Duration;

/// Fraction of the full share at the start of the ramp.
const START_PART: f64 = 0.15;
/// Ratio of the latency to the reference latency above which the ramp stands still.
const HOLD_RATIO: f64 = 2.0;
/// Weight of a new sample in the exponentially weighted moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

value! {
    /// `SlowStart` is the progress of one ramp.
    pub struct SlowStart {
        length: Duration,
        progress: f64,
        advanced_at: BootTime,
        latency: Option<f64>,
        reference: Option<f64>,
    }
}

impl SlowStart {
    /// Creates a ramp that starts at `now` and takes `length` if it never stands still.
    pub fn new(now: BootTime, length: Duration) -> Self {
        Self {
            length,
            progress: 0.0,
            advanced_at: now,
            latency: None,
            reference: None,
        }
    }

    /// Creates a ramp that is already complete.
    pub fn with_full_share(now: BootTime) -> Self {
        Self {
            progress: 1.0,
            ..Self::new(now, Duration::ZERO)
        }
    }

    /// Sets the reference latency: the usual latency of the service's targets.
    pub fn set_reference(&mut self, latency: Duration) {
        self.reference = Some(latency.as_secs_f64());
    }

    /// Adds the latency of a request that the target served.
    pub fn note_latency(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64();
        let average = self.latency.unwrap_or(latency);
        self.latency = Some(average + (latency - average) * LATENCY_WEIGHT);
    }

    /// Advances the ramp to `now` and gets the fraction of the full share that the target may use,
    /// above 0 and up to 1.
    pub fn part(&mut self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.advanced_at);
        self.advanced_at = now;
        if self.progress >= 1.0 {
            return 1.0;
        }
        if !self.is_held() {
            let length = self.length.as_secs_f64();
            let step = if length > 0.0 {
                elapsed.as_secs_f64() / length
            } else {
                1.0
            };
            self.progress = (self.progress + step).min(1.0);
        }
        START_PART + (1.0 - START_PART) * self.progress
    }

    /// Tells whether the target has reached its full share.
    pub fn is_over(&self) -> bool {
        self.progress >= 1.0
    }

    fn is_held(&self) -> bool {
        match (self.latency, self.reference) {
            (Some(latency), Some(reference)) => latency > reference * HOLD_RATIO,
            _ => false,
        }
    }
}

/// Gets the number of concurrent requests that a fraction of a share allows, at least one.
pub fn allowed(share: u32, part: f64) -> u32 {
    let allowed = (f64::from(share) * part)
        .ceil()
        .clamp(1.0, f64::from(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let allowed = allowed as u32;
    allowed
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    #[test]
    fn the_part_grows_over_the_length_and_is_held_by_latency() {
        let mut ramp = SlowStart::new(SECOND, SECOND * 10);
        assert!(ramp.part(SECOND) < 0.2);
        let half = ramp.part(SECOND * 6);
        assert!((0.5..0.7).contains(&half), "{half}");
        ramp.set_reference(Duration::from_millis(10));
        ramp.note_latency(Duration::from_millis(50));
        assert_eq!(ramp.part(SECOND * 60).to_bits(), half.to_bits());
        for _ in 0..100 {
            ramp.note_latency(Duration::from_millis(10));
        }
        assert!(ramp.part(SECOND * 80) >= 1.0);
        assert!(ramp.is_over());
    }
}
