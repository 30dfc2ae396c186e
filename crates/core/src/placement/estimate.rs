//! The estimate of the requests that a model will have in progress.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::{ModelId, Timestamp};

use super::{Demand, PlanInput};

/// Time constant by which an estimate follows rising demand.
const RISE: Duration = Duration::from_secs(4);
/// Time constant by which an estimate follows falling demand when moves weigh nothing.
const FALL: Duration = Duration::from_secs(10);
/// Time added to [`FALL`] when only moves weigh.
const FALL_BY_WEIGHT: Duration = Duration::from_secs(20);
/// Time constant of the estimate of a request's running time.
const SERVICE: Duration = Duration::from_secs(90);
/// A request's running time before any was seen, in seconds.
const FIRST_SERVICE_SECS: f64 = 10.0;
/// Shortest and longest running time believed, in seconds.
const SERVICE_BOUNDS_SECS: (f64, f64) = (0.05, 120.0);
/// Served requests a second below which the running time is not estimated.
const LEAST_SERVED: f64 = 0.2;

/// The estimate for one model.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    level: f64,
    service: f64,
}

/// The estimates for all models.
#[derive(Debug, Default)]
pub(super) struct Estimator {
    models: BTreeMap<ModelId, Estimate>,
    last: Option<Timestamp>,
}

impl Estimator {
    /// Takes in the demand of this round.
    pub(super) fn observe(&mut self, input: &PlanInput<'_>) {
        let elapsed = self.last.map_or(Duration::ZERO, |t| input.now.since(t));
        self.last = Some(input.now);
        let weight = input.document.policy.moves_weight.clamp(0.0, 1.0);
        let fall = FALL + FALL_BY_WEIGHT.mul_f64(weight);
        self.models
            .retain(|id, _| input.document.model(id).is_some());
        for (id, demand) in input.demand {
            self.observe_model(id, demand, elapsed, fall);
        }
    }

    fn observe_model(&mut self, id: &ModelId, demand: &Demand, elapsed: Duration, fall: Duration) {
        let first = Estimate {
            level: f64::NAN,
            service: FIRST_SERVICE_SECS,
        };
        let estimate = self.models.entry(id.clone()).or_insert(first);
        let rate = finite(demand.rate);
        let unmet = finite(demand.unmet).min(rate);
        let served = rate - unmet;
        if served >= LEAST_SERVED {
            let seen = finite(demand.running) / served;
            let seen = seen.clamp(SERVICE_BOUNDS_SECS.0, SERVICE_BOUNDS_SECS.1);
            estimate.service += (seen - estimate.service) * share(elapsed, SERVICE);
        }
        let offered = rate * estimate.service;
        if estimate.level.is_nan() {
            estimate.level = offered;
            return;
        }
        let constant = if offered > estimate.level { RISE } else { fall };
        estimate.level += (offered - estimate.level) * share(elapsed, constant);
    }

    /// Returns the requests that a model is expected to have in progress.
    pub(super) fn level(&self, id: &ModelId) -> f64 {
        self.models.get(id).map_or(0.0, |e| e.level)
    }

    /// Returns the expected running time of a model's request, in seconds.
    pub(super) fn service(&self, id: &ModelId) -> f64 {
        self.models
            .get(id)
            .map_or(FIRST_SERVICE_SECS, |e| e.service)
    }
}

fn finite(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}

/// Returns the share of a step that an exponential filter takes over `elapsed`.
fn share(elapsed: Duration, constant: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp()
}
