//! Control of the fleet: the entry that holds the placement lease plans placement and sends the
//! orders to the agents.

mod fleet;
mod manager;
mod peers;
mod planner;

pub use manager::{LeaseManager, LeaseManagerOptions};
pub use planner::PlacementLoop;
