//! The four outcomes that every answer names.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::RequestId;

/// Says what became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and the answer is whole.
    #[display("done")]
    Done,
    /// The request is wrong or not allowed; sending it again changes nothing.
    #[display("refused")]
    Refused,
    /// The request was not run; it is safe to send it again.
    #[display("not_run")]
    NotRun,
    /// The request may have run; ask again with the same idempotency key.
    #[display("unknown")]
    Unknown,
}

/// A stable code for programs that read an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// A field of the request is wrong.
    #[display("invalid_request")]
    InvalidRequest,
    /// The key is missing or wrong.
    #[display("unauthorized")]
    Unauthorized,
    /// The caller may not use the service.
    #[display("forbidden")]
    Forbidden,
    /// The model, adapter or service does not exist.
    #[display("not_found")]
    NotFound,
    /// The same idempotency key came with another request.
    #[display("key_reused")]
    KeyReused,
    /// The idempotency key is older than the ledger's age limit.
    #[display("key_expired")]
    KeyExpired,
    /// The service's limit or every queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met or passed before the request ran.
    #[display("deadline")]
    Deadline,
    /// No target is reachable for the request.
    #[display("unavailable")]
    Unavailable,
    /// The platform's store is needed and can't be reached.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The daemon is stopping and takes no new work.
    #[display("draining")]
    Draining,
    /// The answer was cut off after the request had begun to run.
    #[display("interrupted")]
    Interrupted,
    /// The target answered with an error of its own.
    #[display("target_error")]
    TargetError,
}

/// The body of every answer that is not a whole result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What became of the request.
    pub outcome: Outcome,
    /// The stable code.
    pub code: ErrorCode,
    /// A sentence for people, naming the field where one is wrong.
    pub message: String,
    /// The request's id, as in the logs.
    pub request: Option<RequestId>,
    /// When to come back, in milliseconds from now.
    pub retry_after_ms: Option<u64>,
}
