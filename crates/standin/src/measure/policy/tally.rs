//! What became of the requests.

use std::time::Duration;

use kumquatkeel_types::{Outcome, Timestamp};

/// The course of one request, as its caller and its target saw it.
#[derive(Debug, Clone, Default)]
pub(super) struct Course {
    /// When the first token reached the entry.
    pub(super) first: Option<Timestamp>,
    /// When the last token or the answer reached the entry.
    pub(super) last: Option<Timestamp>,
    /// Runs that a target began.
    pub(super) runs: u32,
    /// Calls that a plain service executed to their end.
    pub(super) executed: u32,
    /// What the caller was told.
    pub(super) told: Option<Outcome>,
}

/// The limits that an answer has to keep.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// The time to the first token, from the caller's sending.
    pub(super) first_token: Duration,
    /// The mean time between tokens.
    pub(super) token_gap: Duration,
    /// The time to the whole answer of a plain call.
    pub(super) deadline: Duration,
}

impl Course {
    /// Says whether a completion of `tokens` was answered whole within its limits.
    pub(super) fn completion_kept(
        &self,
        sent: Timestamp,
        back: Duration,
        tokens: u32,
        limits: &Limits,
    ) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else {
            return false;
        };
        let gaps = tokens.saturating_sub(1).max(1);
        self.told == Some(Outcome::Done)
            && first.after(back).since(sent) <= limits.first_token
            && last.since(first) / gaps <= limits.token_gap
    }

    /// Says whether a plain call was answered within its limit.
    pub(super) fn call_kept(&self, sent: Timestamp, back: Duration, limits: &Limits) -> bool {
        let within = |last: Timestamp| last.after(back).since(sent) <= limits.deadline;
        self.told == Some(Outcome::Done) && self.last.is_some_and(within)
    }

    /// Says whether the request ran although its caller was told that it did not.
    pub(super) fn is_false_not_run(&self) -> bool {
        self.told == Some(Outcome::NotRun) && self.runs > 0
    }

    /// Says whether the request has no answer, or an answer without a run.
    pub(super) const fn is_lost(&self) -> bool {
        match self.told {
            None => true,
            Some(Outcome::Done) => self.runs == 0,
            Some(_) => false,
        }
    }
}
