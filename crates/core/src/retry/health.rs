//! The health of one target, from the results of its attempts.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// The number of failures in a row that ejects a target.
const MAX_FAILURES: u32 = 5;
/// The length of the first ejection; each further one is longer by as much.
const EJECTION_STEP: Duration = Duration::from_secs(5);
/// The length of the longest ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// The time over which a target's weight rises to 1.
const SLOW_START: Duration = Duration::from_secs(10);
/// The weight at the beginning of a slow start.
const START_WEIGHT: f64 = 0.1;
/// The weight of a new sample in the exponentially smoothed latency.
const SMOOTHING: f64 = 0.1;
/// The fewest samples for a smoothed latency to be used.
const MIN_SAMPLES: u32 = 20;

/// Returns the fraction of its normal traffic for a target or replica that serves since `start`.
///
/// It rises linearly over the slow start, from a small part to 1.
pub fn slow_start(start: Timestamp, now: Timestamp) -> f64 {
    let done = now.since(start).as_secs_f64() / SLOW_START.as_secs_f64();
    done.clamp(START_WEIGHT, 1.0)
}

/// The result of an attempt, as far as it tells of the target's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered, with this time to its first token or whole answer.
    Answered(Duration),
    /// The target was unreachable, cut its answer short or reported a failure.
    Failed,
}

/// The state of one target.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    /// Failures in a row.
    failures: u32,
    /// Ejections so far, less one for each sweep in good health.
    ejections: u32,
    ejected_until: Option<Timestamp>,
    /// The beginning of the last slow start.
    ramp_start: Option<Timestamp>,
    /// Smoothed, in seconds.
    latency: f64,
    /// Latency samples since the last ejection.
    samples: u32,
}

impl Health {
    /// Records the result of an attempt; returns true if the target is to be ejected.
    pub(super) fn record(&mut self, result: AttemptResult) -> bool {
        match result {
            AttemptResult::Answered(latency) => {
                self.failures = 0;
                self.update_latency(latency.as_secs_f64());
                false
            }
            AttemptResult::Failed => {
                self.failures = self.failures.saturating_add(1);
                self.failures >= MAX_FAILURES
            }
        }
    }

    /// Ejects the target, each time for longer, and schedules its slow start.
    pub(super) fn eject(&mut self, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        let span = EJECTION_STEP
            .saturating_mul(self.ejections)
            .min(MAX_EJECTION);
        self.failures = 0;
        self.samples = 0;
        self.ejected_until = Some(now.after(span));
        self.ramp_start = self.ejected_until;
    }

    /// Begins a slow start, for instance after a load.
    pub(super) const fn begin_slow_start(&mut self, now: Timestamp) {
        self.ramp_start = Some(now);
    }

    /// Takes one ejection off the count, which shortens the next one.
    pub(super) const fn decay_ejections(&mut self) {
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Returns true if the target is ejected.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the fraction of its normal traffic that the target may take.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.ramp_start.map_or(1.0, |start| slow_start(start, now))
    }

    /// Returns the smoothed latency in seconds, once there are enough samples.
    pub(super) const fn latency(&self) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Some(self.latency)
    }

    /// Adds a latency sample; the first ones weigh more, so that the average starts quickly.
    fn update_latency(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.latency += (seconds - self.latency) * weight;
    }
}
