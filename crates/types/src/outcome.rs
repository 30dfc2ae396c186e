//! The outcome and the error code in answers to callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::RequestId;

/// The outcome of a request, which tells the caller whether a retry is safe.
///
/// Every answer gives one of the four.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and the answer is complete.
    #[display("done")]
    Done,
    /// The request is invalid or not allowed; a retry gives the same result.
    #[display("refused")]
    Refused,
    /// The request was not run; a retry is safe.
    #[display("not_run")]
    NotRun,
    /// The request may have run; retry with the same idempotency key.
    #[display("unknown")]
    Unknown,
}

/// A stable error code for client programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed or a field is invalid.
    #[display("invalid_request")]
    InvalidRequest,
    /// The caller's or operator's key is missing or unknown.
    #[display("unauthorized")]
    Unauthorized,
    /// The caller may not use the service.
    #[display("forbidden")]
    Forbidden,
    /// The model, adapter or service does not exist.
    #[display("not_found")]
    NotFound,
    /// The idempotency key was used before with a different request.
    #[display("key_reused")]
    KeyReused,
    /// The idempotency key is older than the ledger's age limit.
    #[display("key_expired")]
    KeyExpired,
    /// The service's limit is reached, or all queues are full.
    #[display("overloaded")]
    Overloaded,
    /// The deadline can't be met, or passed before the request ran.
    #[display("deadline")]
    Deadline,
    /// No target for the request is available.
    #[display("unavailable")]
    Unavailable,
    /// The request needs the platform's store, which is unavailable.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// The daemon is draining and accepts no new work.
    #[display("draining")]
    Draining,
    /// The answer was interrupted after the request had started to run.
    #[display("interrupted")]
    Interrupted,
    /// The target answered with an error of its own.
    #[display("target_error")]
    TargetError,
}

/// The body of every answer that is not a complete result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The error code.
    pub code: ErrorCode,
    /// A message for human readers, with the path of an invalid field.
    pub message: String,
    /// The request's identifier, as in the logs; `None` if none was assigned.
    pub request: Option<RequestId>,
    /// Delay before a retry, in milliseconds; `None` if there is no estimate.
    pub retry_after_ms: Option<u64>,
}
