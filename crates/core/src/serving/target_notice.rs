//! What a target states about itself in the head of an answer.

use std::time::Duration;

use super::request_rate::RequestRate;

/// What an answer says of the rate of requests that its target accepts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The answer names no limit.
    #[default]
    Absent,
    /// The answer names this limit.
    Rate(RequestRate),
    /// The answer names a limit that can't be read; an earlier one still holds.
    Unreadable,
}

/// What a target states about itself in the head of an answer, whatever the answer is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// The requests per second that the target accepts from all entries together.
    pub limit: StatedLimit,
    /// Whether the target finishes the work that it has and then stops.
    pub leaving: bool,
    /// How long the target wants no request from the receiver.
    pub pause: Option<Duration>,
}
