//! The border between the operators' interface and the configuration.

use async_trait::async_trait;
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest};

/// Commits documents on behalf of operators.
#[async_trait]
pub trait OperatorDesk: Send + Sync {
    /// Validates a document in full and commits it.
    async fn apply(&self, request: ApplyRequest) -> ApplyReply;
}

/// A desk for entries without a store, which commits nothing.
#[derive(Debug, Clone, Copy)]
pub struct NoDesk;

#[async_trait]
impl OperatorDesk for NoDesk {
    async fn apply(&self, _request: ApplyRequest) -> ApplyReply {
        ApplyReply::StoreUnavailable {
            reason: "this entry has no store".into(),
        }
    }
}
