//! One caller's request and what may follow an attempt at a target.
//!
//! A request may be sent again only if it is proved not to have run, or if its kind may run twice.
//! The answer "not run" is given only with that proof.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::CallKind;

/// The tokens that a generation reads and may produce.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Usage {
    /// Prompt tokens.
    pub prompt: u64,
    /// The most output tokens.
    pub output: u64,
}

/// What a caller's request says besides its method, path and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub attempt: Arc<str>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The model.
    pub model: Option<Arc<str>>,
    /// The adapter of the model.
    pub adapter: Option<Arc<str>>,
    /// The tokens.
    pub usage: Usage,
}

/// How an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte reached the target.
    NotSent,
    /// The target says that it did not run the request.
    NotRun,
    /// The target ran the request and answered with a server error.
    Failed,
    /// The request was sent and no valid answer came.
    Lost,
}

/// What to do after an attempt that brought no success.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recovery {
    /// Send the request to another target, if the retry quota allows it.
    Resend,
    /// Tell the caller that the request was not run.
    Reject,
    /// Pass the target's own failure on.
    PassFailure,
    /// Tell the caller that the outcome is unknown.
    Fail,
}

/// Decides what follows an attempt.
///
/// `ran` says whether an earlier attempt of the same request may have run, `left` how many
/// further targets the route allows.
pub fn after_attempt(kind: CallKind, end: AttemptEnd, ran: bool, left: u8) -> Recovery {
    let may_repeat = kind == CallKind::Idempotent;
    match end {
        AttemptEnd::NotSent | AttemptEnd::NotRun if left > 0 => Recovery::Resend,
        AttemptEnd::NotSent | AttemptEnd::NotRun if ran => Recovery::Fail,
        AttemptEnd::NotSent | AttemptEnd::NotRun => Recovery::Reject,
        AttemptEnd::Failed | AttemptEnd::Lost if may_repeat && left > 0 => Recovery::Resend,
        AttemptEnd::Failed => Recovery::PassFailure,
        AttemptEnd::Lost => Recovery::Fail,
    }
}
