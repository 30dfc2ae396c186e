//! Smoothed estimates of each model's service time and concurrency.
//!
//! The offered concurrency is the request rate times the service time (Little's law).

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::{ModelId, Timestamp};

use super::{Demand, PlanInput};

/// Time constant of the concurrency estimate while demand rises.
const RISE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time constant of the concurrency estimate while demand falls, at a moves weight of 0.
const FALL_TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Time added to [`FALL_TIME_CONSTANT`] at a moves weight of 1, in proportion to the weight.
const FALL_PER_MOVES_WEIGHT: Duration = Duration::from_secs(20);
/// Time constant of the service time estimate.
const SERVICE_TIME_CONSTANT: Duration = Duration::from_secs(90);
/// Service time assumed before the first observation, in seconds.
const INITIAL_SERVICE_SECS: f64 = 10.0;
/// Bounds to which an observed service time is clamped, in seconds.
const SERVICE_BOUNDS_SECS: (f64, f64) = (0.05, 120.0);
/// Rate of served requests per second below which the service time is not updated.
const MIN_SERVED_RATE: f64 = 0.2;

/// The estimate for one model.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Expected requests in progress; NaN before the first observation.
    concurrency: f64,
    /// Expected time that a request runs, in seconds.
    service_secs: f64,
}

/// The estimates for all models, updated once per planning round.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    models: BTreeMap<ModelId, Estimate>,
    last: Option<Timestamp>,
}

impl Estimator {
    /// Updates the estimates from the demand of a round and drops models that are not configured.
    pub(super) fn observe(&mut self, input: &PlanInput<'_>) {
        let elapsed = self.last.map_or(Duration::ZERO, |t| input.now.since(t));
        self.last = Some(input.now);
        let moves_weight = input.document.policy.moves_weight.clamp(0.0, 1.0);
        let fall = FALL_TIME_CONSTANT + FALL_PER_MOVES_WEIGHT.mul_f64(moves_weight);
        self.models
            .retain(|id, _| input.document.model(id).is_some());
        for (id, demand) in input.demand {
            self.observe_model(id, demand, elapsed, fall);
        }
    }

    fn observe_model(&mut self, id: &ModelId, demand: &Demand, elapsed: Duration, fall: Duration) {
        let initial = Estimate {
            concurrency: f64::NAN,
            service_secs: INITIAL_SERVICE_SECS,
        };
        let estimate = self.models.entry(id.clone()).or_insert(initial);
        let rate = finite_or_zero(demand.rate);
        let unmet = finite_or_zero(demand.unmet).min(rate);
        let served = rate - unmet;
        if served >= MIN_SERVED_RATE {
            let observed = finite_or_zero(demand.running) / served;
            let observed = observed.clamp(SERVICE_BOUNDS_SECS.0, SERVICE_BOUNDS_SECS.1);
            estimate.service_secs += (observed - estimate.service_secs)
                * smoothing_factor(elapsed, SERVICE_TIME_CONSTANT);
        }
        let offered = rate * estimate.service_secs;
        if estimate.concurrency.is_nan() {
            estimate.concurrency = offered;
            return;
        }
        let time_constant = if offered > estimate.concurrency {
            RISE_TIME_CONSTANT
        } else {
            fall
        };
        estimate.concurrency +=
            (offered - estimate.concurrency) * smoothing_factor(elapsed, time_constant);
    }

    /// Returns the expected number of requests in progress; 0 for an unknown model.
    pub(super) fn concurrency(&self, id: &ModelId) -> f64 {
        self.models.get(id).map_or(0.0, |e| e.concurrency)
    }

    /// Returns the expected service time of a model's requests, in seconds.
    pub(super) fn service_secs(&self, id: &ModelId) -> f64 {
        self.models
            .get(id)
            .map_or(INITIAL_SERVICE_SECS, |e| e.service_secs)
    }
}

/// Returns the value, or 0 if it is negative, infinite or NaN.
fn finite_or_zero(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

/// Returns the fraction of a step that an exponential filter follows within `elapsed`.
fn smoothing_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
