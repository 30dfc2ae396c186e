//! What is decided about a suspect.

use serde::{Deserialize, Serialize};

use super::suspect::Suspect;

/// The content of a decision about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ruling {
    /// Requests with the suspect are rejected.
    Quarantined,
    /// The quarantine has expired; a single crash brings it back.
    Expired,
    /// A request with the suspect has completed since, so that the next crashes count like those of any other.
    Sound,
}

impl Ruling {
    /// Reads the ruling from a verdict's epoch: odd for a quarantine, divisible by four for a sound suspect, any
    /// other even number for an expired quarantine.
    pub(super) const fn of_epoch(epoch: u32) -> Self {
        match epoch % 4 {
            1 | 3 => Self::Quarantined,
            2 => Self::Expired,
            _ => Self::Sound,
        }
    }
}

/// A decision about a suspect. Of two verdicts on a suspect, the one with the higher epoch holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Verdict {
    /// The suspect.
    pub suspect: Suspect,
    /// Grows with each decision and encodes the ruling, see [`Verdict::ruling`].
    pub epoch: u32,
}

impl Verdict {
    /// Returns the content of the decision: a quarantine if the epoch is odd, a sound suspect if it is divisible by
    /// four, else an expired quarantine.
    pub const fn ruling(&self) -> Ruling {
        Ruling::of_epoch(self.epoch)
    }

    /// Returns whether requests with the suspect are rejected.
    pub const fn is_quarantined(&self) -> bool {
        matches!(self.ruling(), Ruling::Quarantined)
    }

    /// Returns the decision that replaces this one.
    #[must_use]
    pub fn revise(self, ruling: Ruling) -> Self {
        let mut epoch = self.epoch + 1;
        while Ruling::of_epoch(epoch) != ruling {
            epoch += 1;
        }
        Self { epoch, ..self }
    }
}
