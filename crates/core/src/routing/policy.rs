//! The border between routing policies and those who use them.

use kumquatkeel_types::TargetName;
use rand::Rng;

use super::{Candidate, RouteRequest};
use crate::plugin::Plugin;

/// What to do next for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteStep {
    /// Send the attempt to this target.
    Dispatch(TargetName),
    /// Ask these targets for their load, then choose again among their answers.
    Probe(Vec<TargetName>),
    /// No candidate may take the request now.
    NoTarget,
}

/// Chooses a target among candidates.
///
/// The candidates are reachable, serve the request and were not tried by it before. After a
/// `Probe` the policy is asked again with the answers, whose `load_age` is zero.
pub trait RoutingPolicy: Send {
    /// Returns what to do next for `request`.
    fn choose(
        &mut self,
        request: &RouteRequest,
        candidates: &[Candidate],
        rng: &mut dyn Rng,
    ) -> RouteStep;
}

/// A registered routing policy.
#[derive(Debug)]
pub struct RoutingPlugin {
    /// The name by which the document chooses it.
    pub name: &'static str,
    /// Makes the policy.
    pub make: fn() -> Box<dyn RoutingPolicy>,
}

inventory::collect!(RoutingPlugin);

impl Plugin for RoutingPlugin {
    const KIND: &'static str = "routing policy";

    fn name(&self) -> &'static str {
        self.name
    }
}
