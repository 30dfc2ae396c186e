//! Calls with an idempotency key, as the ledger sees them.

use async_trait::async_trait;
use kumquatkeel_core::request::FlowAnswer;
use kumquatkeel_types::{
    AttemptId, CallerName, ErrorBody, ErrorCode, IdempotencyKey, Incarnation, Outcome, ServiceName,
    TargetName,
};

/// A call that runs at most once under its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// Who calls; keys of different callers are different.
    pub caller: CallerName,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: IdempotencyKey,
    /// The hash of the path, the content type and the body.
    pub digest: u64,
}

/// The attempt that a claim covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The target.
    pub target: TargetName,
    /// The life of the target's agent.
    pub incarnation: Incarnation,
}

/// What the ledger says to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is written: this attempt may be sent.
    Send,
    /// The call has run; this is its answer.
    Replay(FlowAnswer),
    /// The call must not be sent, and its caller is told so.
    Refuse(ErrorBody),
}

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The call ran, and this is its answer.
    Done(FlowAnswer),
    /// It is proven that the call did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Keeps calls from running more than once, over all entries.
#[async_trait]
pub trait CallLedger: Send + Sync {
    /// Claims a call for an attempt before it is sent.
    ///
    /// A later attempt of the same request replaces the claim of the one before, which is proven
    /// not to have run.
    async fn claim(&self, call: &KeyedCall, attempt: &ClaimedAttempt) -> ClaimStep;

    /// Records how the call ended.
    async fn settle(&self, call: &KeyedCall, attempt: &AttemptId, end: CallEnd);
}

/// A ledger for entries without one: every call with a key is refused as not run.
#[derive(Debug, Clone, Copy)]
pub struct NoLedger;

#[async_trait]
impl CallLedger for NoLedger {
    async fn claim(&self, _call: &KeyedCall, _attempt: &ClaimedAttempt) -> ClaimStep {
        ClaimStep::Refuse(ErrorBody {
            outcome: Outcome::NotRun,
            code: ErrorCode::StoreUnavailable,
            message: "this entry keeps no ledger of calls".into(),
            request: None,
            retry_after_ms: None,
        })
    }

    async fn settle(&self, _call: &KeyedCall, _attempt: &AttemptId, _end: CallEnd) {}
}
