//! Wall-clock time, for ages that are measured across processes and restarts.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch, by the clock of one process.
///
/// Clocks of different processes differ; at-most-once execution does not depend on their agreement.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0}ms")]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}
