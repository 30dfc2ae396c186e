//! Prediction of prefill time from what earlier requests took.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The weight of a new sample.
const SMOOTHING: f64 = 0.1;
/// Prefill time of one token before the first sample, in microseconds; a dense 70B model on two
/// accelerators reads about 26 tokens a millisecond.
const INITIAL_TOKEN_US: f64 = 45.0;
/// Samples with less work than this say more of latency than of pace, in tokens.
const MIN_SAMPLE_TOKENS: u64 = 400;
/// Bounds of a plausible pace, in microseconds a token.
const TOKEN_US_BOUNDS: (f64, f64) = (5.0, 400.0);

/// Learns each model's prefill time per token from idle-engine samples.
#[derive(Debug, Clone, Default)]
pub struct PaceMeter {
    models: HashMap<Arc<str>, f64>,
}

impl PaceMeter {
    /// Takes in a first token that came `elapsed` after a request was sent to an engine without
    /// backlog.
    pub fn record(&mut self, model: &Arc<str>, tokens: u64, elapsed: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = elapsed.as_micros() as f64 / tokens as f64;
        let sample = sample.clamp(TOKEN_US_BOUNDS.0, TOKEN_US_BOUNDS.1);
        let pace = (self.models.entry(model.clone())).or_insert(INITIAL_TOKEN_US);
        *pace += SMOOTHING * (sample - *pace);
    }

    /// Returns the expected prefill time of a prompt.
    pub fn prefill(&self, model: &str, tokens: u64) -> Duration {
        let pace = self.models.get(model).copied().unwrap_or(INITIAL_TOKEN_US);
        Duration::from_micros((pace * tokens as f64) as u64)
    }
}
