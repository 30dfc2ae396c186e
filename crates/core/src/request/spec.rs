//! What a request asks for and within which limits.

use std::time::Duration;

use kumquatkeel_types::message::Work;
use kumquatkeel_types::{RequestId, ServiceName, Timestamp};

/// A request, as the flow needs to know it.
#[derive(Debug, Clone, PartialEq)]
pub struct FlowSpec {
    /// The request's id.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The work of the first attempt.
    pub work: Work,
    /// Whether the work may run more than once without harm.
    pub idempotent: bool,
    /// When the whole answer is due.
    pub deadline: Timestamp,
    /// The limit for the first token.
    pub first_token: Duration,
}

impl FlowSpec {
    /// Says whether a second run of the work does no harm.
    pub(super) const fn may_repeat(&self) -> bool {
        match self.work {
            Work::Completion(_) => true,
            Work::Plain(_) => self.idempotent,
        }
    }
}
