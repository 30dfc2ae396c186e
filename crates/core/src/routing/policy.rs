//! The interface of routing policies, which register themselves as plug-ins.

use kumquatkeel_types::TargetName;
use rand::Rng;

use super::{Candidate, RouteRequest};
use crate::plugin::Plugin;

/// The next action for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteStep {
    /// Send the attempt to this target.
    Dispatch(TargetName),
    /// Probe these targets for their load, then choose again with the replies applied.
    Probe(Vec<TargetName>),
    /// No candidate can take the request now.
    NoTarget,
}

/// Chooses a target among candidates.
///
/// The candidates take new work, serve the request and were not tried by it before. After a
/// `Probe` the policy is asked again with the replies applied; the `load_age` of a target that
/// replied is then close to zero.
pub trait RoutingPolicy: Send {
    /// Returns the next action for an attempt of `request`.
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
    /// The name by which the configuration selects the policy.
    pub name: &'static str,
    /// Creates the policy.
    pub make: fn() -> Box<dyn RoutingPolicy>,
}

inventory::collect!(RoutingPlugin);

impl Plugin for RoutingPlugin {
    const KIND: &'static str = "routing policy";

    fn name(&self) -> &'static str {
        self.name
    }
}
