//! A request's work and time limits.

use std::time::Duration;

use kumquatkeel_types::message::Work;
use kumquatkeel_types::{RequestId, ServiceName, Timestamp};

/// A request as its state machine needs it.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowSpec {
    /// The request's id.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The priority, from 0 (highest) to 9 (lowest).
    pub priority: u8,
    /// The work of the first attempt.
    pub work: Work,
    /// Whether a plain call may run more than once without harm.
    pub idempotent: bool,
    /// The time by which the answer must be complete.
    pub deadline: Timestamp,
    /// The time limit for the first token, which every dispatch carries.
    pub first_token: Duration,
}

impl FlowSpec {
    /// Returns whether the work may be sent again although it may have run; always true for a
    /// completion.
    pub(super) const fn may_repeat(&self) -> bool {
        match self.work {
            Work::Completion(_) => true,
            Work::Plain(_) => self.idempotent,
        }
    }
}
