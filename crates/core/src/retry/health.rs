//! The record of one target's recent attempts.

use std::time::Duration;

use kumquatkeel_types::Timestamp;

/// Failures in a row that eject a target.
const MAX_FAILURES: u32 = 5;
/// The first ejection's length; each further one is longer by as much.
const EJECTION: Duration = Duration::from_secs(5);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// How long a target is brought up to its full share.
const SLOW_START: Duration = Duration::from_secs(10);
/// The share with which a target starts.
const START_WEIGHT: f64 = 0.1;
/// The weight of a new sample in the smoothed latency.
const SMOOTHING: f64 = 0.1;
/// Samples before a smoothed latency counts.
const MIN_SAMPLES: u32 = 20;

/// Returns the share of normal traffic for a target or replica that serves since `start`.
pub fn slow_start(start: Timestamp, now: Timestamp) -> f64 {
    let done = now.since(start).as_secs_f64() / SLOW_START.as_secs_f64();
    done.clamp(START_WEIGHT, 1.0)
}

/// How an attempt ended, as far as the target's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The target answered; the time to its first token or answer.
    Answered(Duration),
    /// The target could not be reached, broke off or failed by itself.
    Failed,
}

/// One target's health.
#[derive(Debug, Clone, Default)]
pub(super) struct Health {
    failures: u32,
    ejections: u32,
    until: Option<Timestamp>,
    ramp: Option<Timestamp>,
    latency: f64,
    samples: u32,
}

impl Health {
    /// Takes in an attempt's end; returns whether the target earns an ejection.
    pub(super) fn record(&mut self, result: AttemptResult) -> bool {
        match result {
            AttemptResult::Answered(latency) => {
                self.failures = 0;
                self.smooth(latency.as_secs_f64());
                false
            }
            AttemptResult::Failed => {
                self.failures = self.failures.saturating_add(1);
                self.failures >= MAX_FAILURES
            }
        }
    }

    /// Ejects the target, each time for longer.
    pub(super) fn eject(&mut self, now: Timestamp) {
        self.ejections = self.ejections.saturating_add(1);
        let span = EJECTION.saturating_mul(self.ejections).min(MAX_EJECTION);
        self.failures = 0;
        self.samples = 0;
        self.until = Some(now.after(span));
        self.ramp = self.until;
    }

    /// Starts the slow start, for instance after a load.
    pub(super) const fn start(&mut self, now: Timestamp) {
        self.ramp = Some(now);
    }

    /// Forgets one ejection for each stretch of good health.
    pub(super) const fn forgive(&mut self) {
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Says whether the target is ejected.
    pub(super) fn is_ejected(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the share of normal traffic that the target may take.
    pub(super) fn weight(&self, now: Timestamp) -> f64 {
        self.ramp.map_or(1.0, |start| slow_start(start, now))
    }

    /// Returns the smoothed latency in seconds, once there are enough samples.
    pub(super) const fn latency(&self) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        Some(self.latency)
    }

    fn smooth(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        self.latency += (seconds - self.latency) * weight;
    }
}
