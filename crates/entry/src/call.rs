//! The interface of the request path to the ledger of calls with an idempotency key.

use async_trait::async_trait;
use kumquatkeel_core::request::FlowAnswer;
use kumquatkeel_types::{
    AttemptId, CallerName, ErrorBody, ErrorCode, IdempotencyKey, Incarnation, Outcome, ServiceName,
    TargetName,
};

/// A call with an idempotency key, which runs at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedCall {
    /// The caller; keys are scoped to a caller and a service.
    pub caller: CallerName,
    /// The service that is called.
    pub service: ServiceName,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
    /// The hash of the path, content type and body; detects a key used for another request.
    pub digest: u64,
}

/// The attempt that a claim covers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimedAttempt {
    /// The attempt to be sent.
    pub attempt: AttemptId,
    /// The target that the attempt is sent to.
    pub target: TargetName,
    /// The incarnation of the target's agent.
    pub incarnation: Incarnation,
}

/// The ledger's decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// The claim is stored: this attempt may be sent.
    Send,
    /// The call ran before; its stored response is returned to the caller.
    Replay(FlowAnswer),
    /// The call must not be sent; this error is returned to the caller.
    Refuse(ErrorBody),
}

/// How a claimed call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The call ran, with this response.
    Done(FlowAnswer),
    /// The call did not run, which is proven.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// Prevents calls with a key from running more than once, across all entries.
#[async_trait]
pub trait CallLedger: Send + Sync {
    /// Claims a call for an attempt; must be called before the attempt is sent.
    ///
    /// A later attempt of the same request replaces the claim of the previous one, which must be
    /// proven not to have run.
    async fn claim(&self, call: &KeyedCall, attempt: &ClaimedAttempt) -> ClaimStep;

    /// Records the end of the attempt that holds the claim.
    async fn settle(&self, call: &KeyedCall, attempt: &AttemptId, end: CallEnd);
}

/// Stands in where no ledger is configured: refuses every call with a key as not run.
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
