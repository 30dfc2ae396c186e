//! What the verdicts say of one request.

use std::time::Duration;

use super::suspect::Suspect;

/// Whether a request may be sent to a target, as far as verdicts decide.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineCheck {
    /// No suspect of the request is in quarantine.
    Clear,
    /// The request may be sent as a trial once all of these are claimed.
    Trial(Vec<Trial>),
    /// The request is rejected, and may come back after this time.
    Rejected(Duration),
}

/// The right to send one request with a quarantined part. Each number is granted once for a verdict,
/// over all processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Trial {
    /// The part in quarantine.
    pub suspect: Suspect,
    /// The epoch of the verdict on it.
    pub epoch: u32,
    /// The number of trials before this one.
    pub number: u8,
}

/// What became of a claim for a [`Trial`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialClaim {
    /// The trial is the claimant's.
    Granted,
    /// So many trials have been granted, also to others.
    Used(u8),
    /// The store has no verdict of this epoch yet, or a newer one.
    OtherEpoch,
}
