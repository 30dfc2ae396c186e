//! What is decided about a part of prompts.

use serde::{Deserialize, Serialize};

use super::part::PartId;

/// A decision about a part. Of two verdicts on a part, the one with the higher epoch holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Verdict {
    /// The part.
    pub part: PartId,
    /// The number of decisions so far; the part is in quarantine if it is odd.
    pub epoch: u32,
}

impl Verdict {
    /// Returns whether requests with the part are rejected.
    pub const fn is_quarantined(&self) -> bool {
        self.epoch % 2 == 1
    }
}
