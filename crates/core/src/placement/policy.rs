//! The interface of placement policies and their registration.

use kumquatkeel_types::TargetName;
use kumquatkeel_types::message::OrderAction;

use super::PlanInput;
use crate::plugin::Plugin;

/// An order that a planning round issues, before it gets an epoch and a number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The target whose agent executes the order.
    pub target: TargetName,
    /// The load or unload to execute.
    pub action: OrderAction,
}

/// Decides which models and adapters to load and unload.
///
/// A policy keeps state between rounds; a new lease holder starts with a new instance.
pub trait PlacementPolicy: Send {
    /// Runs one planning round and returns the orders to send now, the most urgent first.
    fn plan(&mut self, input: &PlanInput<'_>) -> Vec<PlannedOrder>;
}

/// A registered placement policy.
#[derive(Debug)]
pub struct PlacementPlugin {
    /// The name that selects the policy in the configuration.
    pub name: &'static str,
    /// Creates an instance of the policy without state from earlier rounds.
    pub make: fn() -> Box<dyn PlacementPolicy>,
}

inventory::collect!(PlacementPlugin);

impl Plugin for PlacementPlugin {
    const KIND: &'static str = "placement policy";

    fn name(&self) -> &'static str {
        self.name
    }
}
