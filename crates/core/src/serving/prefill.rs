//! Prediction of prefill time from what earlier requests took.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The weight of a new sample whose request was alone at its engine.
const SMOOTHING: f64 = 0.15;
/// Prefill time of one token before the first sample, in microseconds; a dense 70B model on two
/// accelerators reads about 26 tokens a millisecond.
const INITIAL_TOKEN_US: f64 = 45.0;
/// Time of a first token beside prefill: the path and one step.
const OVERHEAD: Duration = Duration::from_millis(30);
/// Bounds of one sample's ratio of seen to predicted time.
const RATIO_BOUNDS: (f64, f64) = (0.25, 3.0);
/// Bounds of a plausible pace, in microseconds a token.
const TOKEN_US_BOUNDS: (f64, f64) = (8.0, 200.0);

/// Learns each model's prefill time per token.
#[derive(Debug, Clone, Default)]
pub struct PrefillEstimator {
    models: HashMap<Arc<str>, f64>,
}

impl PrefillEstimator {
    /// Takes in a first token that was predicted after `predicted` and came after `seen`.
    ///
    /// A request's own part of the predicted time says how much of the error is its model's.
    pub fn record(&mut self, model: &Arc<str>, tokens: u64, predicted: Duration, seen: Duration) {
        let own = self.prefill(model, tokens).as_secs_f64();
        let expected = predicted.saturating_sub(OVERHEAD).as_secs_f64().max(own);
        if own <= 0.0 {
            return;
        }
        let ratio = seen.saturating_sub(OVERHEAD).as_secs_f64() / expected;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let weight = SMOOTHING * own / expected;
        let pace = self.models.entry(model.clone()).or_insert(INITIAL_TOKEN_US);
        *pace *= 1.0 + weight * (ratio - 1.0);
        *pace = pace.clamp(TOKEN_US_BOUNDS.0, TOKEN_US_BOUNDS.1);
    }

    /// Returns the expected prefill time of a prompt.
    pub fn prefill(&self, model: &str, tokens: u64) -> Duration {
        let pace = self.models.get(model).copied().unwrap_or(INITIAL_TOKEN_US);
        Duration::from_micros((pace * tokens as f64) as u64)
    }
}
