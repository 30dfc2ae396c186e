//! The border between placement policies and those who use them.

use kumquatkeel_types::TargetName;
use kumquatkeel_types::message::OrderAction;

use super::PlanInput;
use crate::plugin::Plugin;

/// An order that a planning round asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The target.
    pub target: TargetName,
    /// What to do there.
    pub action: OrderAction,
}

/// Plans the next moves of models and adapters.
pub trait PlacementPolicy: Send {
    /// Returns the orders to give now, the most urgent first.
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder>;
}

/// A registered placement policy.
#[derive(Debug)]
pub struct PlacementPlugin {
    /// The name by which the document chooses it.
    pub name: &'static str,
    /// Makes the policy.
    pub make: fn() -> Box<dyn PlacementPolicy>,
}

inventory::collect!(PlacementPlugin);

impl Plugin for PlacementPlugin {
    const KIND: &'static str = "placement policy";

    fn name(&self) -> &'static str {
        self.name
    }
}
