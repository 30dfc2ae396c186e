//! The placement of models and adapters on accelerators.

mod input;
mod policy;

pub use input::{Demand, PlacedReplica, PlanInput};
pub use policy::{PlacementPlugin, PlacementPolicy, PlannedOrder};
