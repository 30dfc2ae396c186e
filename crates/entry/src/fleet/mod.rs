//! The entry's source of configurations and member reports, and the loop that applies them.

mod updates;

pub use updates::apply_fleet_updates;

use async_trait::async_trait;
use kumquatkeel_types::message::{Member, Snapshot};

/// A change to the entry's view of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetUpdate {
    /// A configuration, which is applied if its revision is newer.
    Config(Snapshot),
    /// A member's report about itself.
    Member(Member),
}

/// A source of updates about the fleet.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// Waits for the next updates.
    ///
    /// The method is cancel safe: dropping the future loses no updates.
    async fn next(&self) -> Vec<FleetUpdate>;
}

/// A source without any updates.
#[derive(Debug, Clone, Copy)]
pub struct NoUpdates;

#[async_trait]
impl FleetSource for NoUpdates {
    async fn next(&self) -> Vec<FleetUpdate> {
        std::future::pending().await
    }
}
