//! Monotonic time, passed as a value to code that does not read a clock itself.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, in microseconds since that clock's origin.
///
/// Timestamps of different processes are not comparable.
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
#[display("{_0}us")]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from microseconds since the clock's origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the clock's origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `span` later, saturating at the largest timestamp.
    #[must_use]
    pub const fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(span.as_micros() as u64))
    }
}
