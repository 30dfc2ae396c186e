//! Control leases: one entry at a time plans placement.

mod fleet;
mod keeper;
mod peers;
mod planner;

pub use keeper::{LeaseManager, LeaseManagerOptions};
pub use planner::PlacementLoop;
