//! The `round-robin` policy, a baseline that ignores load.

use std::collections::BTreeMap;

use kumquatkeel_types::{ModelId, ServiceName};
use rand::Rng;

use super::{Candidate, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy};

/// Takes the candidates in turn, with a separate turn for each model and plain service.
#[derive(Debug, Default)]
struct RoundRobin {
    models: BTreeMap<ModelId, usize>,
    services: BTreeMap<ServiceName, usize>,
}

impl RoutingPolicy for RoundRobin {
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        _rng: &mut dyn Rng,
    ) -> RouteStep {
        if candidates.is_empty() {
            return RouteStep::NoTarget;
        }
        let turn = match &request.model {
            Some(model) => self.models.entry(model.clone()).or_default(),
            None => self.services.entry(request.service.clone()).or_default(),
        };
        let chosen = &candidates[*turn % candidates.len()];
        *turn = turn.wrapping_add(1);
        RouteStep::Dispatch(chosen.target.clone())
    }
}

inventory::submit! {
    RoutingPlugin {
        name: "round-robin",
        make: || Box::<RoundRobin>::default(),
    }
}
