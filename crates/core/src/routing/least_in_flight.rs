//! The `least-in-flight` policy, a baseline that needs no load reports.

use rand::{Rng, RngExt};

use super::{Candidate, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy};

/// Chooses the target with the fewest attempts of this entry in progress; ties are broken at
/// random.
#[derive(Debug)]
struct LeastInFlight;

impl RoutingPolicy for LeastInFlight {
    fn choose(
        &mut self,
        _request: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut dyn Rng,
    ) -> RouteStep {
        let Some(fewest) = candidates.iter().map(|c| c.in_flight).min() else {
            return RouteStep::NoTarget;
        };
        let tied: Vec<_> = candidates
            .iter()
            .filter(|c| c.in_flight == fewest)
            .collect();
        let chosen = tied[rng.random_range(0..tied.len())];
        RouteStep::Dispatch(chosen.target.clone())
    }
}

inventory::submit! {
    RoutingPlugin {
        name: "least-in-flight",
        make: || Box::new(LeastInFlight),
    }
}
