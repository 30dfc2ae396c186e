//! How news of the configuration and of the members reach an entry.

mod follow;

pub use follow::apply_fleet_updates;

use async_trait::async_trait;
use kumquatkeel_types::message::{Member, Snapshot};

/// News for the entry's view of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetUpdate {
    /// A configuration, to be taken over if it is newer.
    Config(Snapshot),
    /// A process's report of itself.
    Member(Member),
}

/// Brings news of the fleet.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// Waits for the next news.
    ///
    /// The future may be dropped and asked for again without losing news.
    async fn next(&self) -> Vec<FleetUpdate>;
}

/// A source that never has news.
#[derive(Debug, Clone, Copy)]
pub struct NoUpdates;

#[async_trait]
impl FleetSource for NoUpdates {
    async fn next(&self) -> Vec<FleetUpdate> {
        std::future::pending().await
    }
}
