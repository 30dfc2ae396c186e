//! Finds the requests, and the parts of prompts, that crash each target that runs them, and keeps them
//! from others.
//!
//! A crash ends all requests at a target, most of them sound, so no single crash shows which one
//! caused it. [`CrashEvidence`] relates the crashes of many targets: the [`Suspect`] that caused them was
//! at each, and has never completed. [`QuarantineTable`] holds the resulting verdicts, which all processes
//! exchange until each knows the newest.

mod check;
mod evidence;
mod request_digest;
mod suspect;
mod table;
mod verdict;

pub use check::{QuarantineCheck, Trial, TrialClaim};
pub use evidence::{CONVICTING_CRASHES, CrashEvidence, OBJECTION_TIME};
pub use request_digest::RequestDigest;
pub use suspect::Suspect;
pub use table::{QUARANTINE_TTL, QuarantineTable};
pub use verdict::{Ruling, Verdict};
