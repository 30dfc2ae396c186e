//! Estimation of the time from a stream's first event to its end.

use std::time::Duration;

/// Weight of a new sample.
const SMOOTHING: f64 = 0.05;
/// Time for each stated output token before the first sample, in microseconds. Callers state an upper limit,
/// of which about half is used.
const INITIAL_TOKEN_US: f64 = 15_000.0;
/// Bounds on a plausible time for each stated token, in microseconds.
const TOKEN_US_BOUNDS: (f64, f64) = (1_000.0, 200_000.0);

/// Estimates how long streams take after their first event, by the output tokens that callers state.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::DecodeEstimator;
///
/// let mut estimator = DecodeEstimator::default();
/// for _ in 0..100 {
///     estimator.record(100, Duration::from_secs(3));
/// }
/// let rest = estimator.rest(50);
/// assert!(rest > Duration::from_millis(1_400) && rest < Duration::from_millis(1_600));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct DecodeEstimator {
    token_us: f64,
}

impl Default for DecodeEstimator {
    fn default() -> Self {
        Self {
            token_us: INITIAL_TOKEN_US,
        }
    }
}

impl DecodeEstimator {
    /// Records a complete stream that took `elapsed` after its first event.
    pub fn record(&mut self, output: u64, elapsed: Duration) {
        if output == 0 {
            return;
        }
        let seen = elapsed.as_secs_f64() * 1e6 / output as f64;
        let seen = seen.clamp(TOKEN_US_BOUNDS.0, TOKEN_US_BOUNDS.1);
        self.token_us += SMOOTHING * (seen - self.token_us);
    }

    /// Returns the expected time from the first event to the end, for this stated number of output tokens.
    pub fn rest(self, output: u64) -> Duration {
        Duration::from_micros((self.token_us * output as f64) as u64)
    }
}
