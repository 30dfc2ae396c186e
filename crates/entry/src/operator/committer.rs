//! The interface through which operators' documents are committed.

use async_trait::async_trait;
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest};

/// Commits documents on behalf of operators.
#[async_trait]
pub trait DocumentCommitter: Send + Sync {
    /// Validates a document and commits it as the next revision.
    ///
    /// The reply tells a conflict with another operator's revision, and a write whose result is
    /// unknown, from a document with faults.
    async fn apply(&self, request: ApplyRequest) -> ApplyReply;
}

/// The committer of an entry without a store; it refuses every document.
#[derive(Debug, Clone, Copy)]
pub struct NoCommitter;

#[async_trait]
impl DocumentCommitter for NoCommitter {
    async fn apply(&self, _request: ApplyRequest) -> ApplyReply {
        ApplyReply::StoreUnavailable {
            reason: "this entry has no store".into(),
        }
    }
}
