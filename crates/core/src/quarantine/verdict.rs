//! What is decided about a suspect.

use serde::{Deserialize, Serialize};

use super::suspect::Suspect;

/// A decision about a suspect. Of two verdicts on a suspect, the one with the higher epoch holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Verdict {
    /// The suspect.
    pub suspect: Suspect,
    /// The number of decisions so far; the suspect is in quarantine if it is odd.
    pub epoch: u32,
}

impl Verdict {
    /// Returns whether requests with the suspect are rejected.
    pub const fn is_quarantined(&self) -> bool {
        self.epoch % 2 == 1
    }
}
