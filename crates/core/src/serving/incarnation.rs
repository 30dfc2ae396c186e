//! One run of a target, from its start to its end.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::target::TargetId;

/// One run of a target. A target may start again under its id, and then knows nothing of before.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[display("{id}@{born}")]
#[serde(rename_all = "snake_case")]
pub struct Incarnation {
    /// The target's id.
    pub id: TargetId,
    /// Its start, in Unix milliseconds; 0 if not stated.
    pub born: u64,
}
