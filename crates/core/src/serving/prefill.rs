//! Estimation of prefill time from the first tokens of earlier requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The weight of a new sample whose request had no other work ahead of it.
const SMOOTHING: f64 = 0.15;
/// Prefill time of one token before the first sample, in microseconds; a dense 70B model on two
/// accelerators processes about 26 prompt tokens per millisecond.
const INITIAL_TOKEN_US: f64 = 45.0;
/// Part of the time to a first token that is not prefill: the network path and one engine step.
const OVERHEAD: Duration = Duration::from_millis(30);
/// Bounds on a sample's ratio of actual to predicted time.
const RATIO_BOUNDS: (f64, f64) = (0.25, 3.0);
/// Bounds on a plausible prefill time of one token, in microseconds.
const TOKEN_US_BOUNDS: (f64, f64) = (8.0, 200.0);

/// Estimates the prefill time per token of each model.
#[derive(Debug, Clone, Default)]
pub struct PrefillEstimator {
    /// Microseconds per token.
    models: HashMap<Arc<str>, f64>,
}

impl PrefillEstimator {
    /// Records a first token that was predicted to take `predicted` and took `actual`.
    ///
    /// The sample is weighted by the request's own share of the predicted time, since the rest of
    /// the error stems from the requests ahead of it, which may be for other models.
    pub fn record(&mut self, model: &Arc<str>, tokens: u64, predicted: Duration, actual: Duration) {
        let own = self.prefill(model, tokens).as_secs_f64();
        let expected = predicted.saturating_sub(OVERHEAD).as_secs_f64().max(own);
        if own <= 0.0 {
            return;
        }
        let ratio = actual.saturating_sub(OVERHEAD).as_secs_f64() / expected;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let weight = SMOOTHING * own / expected;
        let token_us = self.models.entry(model.clone()).or_insert(INITIAL_TOKEN_US);
        *token_us *= 1.0 + weight * (ratio - 1.0);
        *token_us = token_us.clamp(TOKEN_US_BOUNDS.0, TOKEN_US_BOUNDS.1);
    }

    /// Returns the expected prefill time of a prompt on an idle engine.
    pub fn prefill(&self, model: &str, tokens: u64) -> Duration {
        let token_us = self.models.get(model).copied().unwrap_or(INITIAL_TOKEN_US);
        Duration::from_micros((token_us * tokens as f64) as u64)
    }
}
