//! Control leases: one entry at a time plans placement.

mod keeper;

pub use keeper::{LeaseKeeper, LeaseKeeperOptions};
