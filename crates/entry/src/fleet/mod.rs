//! How news of the configuration and of the members reach an entry.

mod follow;

pub use follow::follow_fleet;

use async_trait::async_trait;
use kumquatkeel_types::message::{Member, Snapshot};

/// News for the entry's view of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetNews {
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
    async fn next(&self) -> Vec<FleetNews>;
}

/// A source that never has news.
#[derive(Debug, Clone, Copy)]
pub struct NoNews;

#[async_trait]
impl FleetSource for NoNews {
    async fn next(&self) -> Vec<FleetNews> {
        std::future::pending().await
    }
}
