//! Attempts that an entry sends to an agent, and the events of the agent's answer.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, AttemptId, CallerName, ErrorCode, IdempotencyKey, Incarnation, ModelId,
    ServiceName, TargetName,
};

/// One attempt to run a request on the target behind an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dispatch {
    /// The attempt's identifier, echoed in the answer.
    pub attempt: AttemptId,
    /// The incarnation that the entry expects of the agent; `None` when the entry knows none yet.
    ///
    /// An agent in another incarnation does not run the attempt.
    pub incarnation: Option<Incarnation>,
    /// The service that the caller requested.
    pub service: ServiceName,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time left for the whole answer, in milliseconds from receipt.
    pub deadline_ms: u64,
    /// Time left until the first token, in milliseconds from receipt.
    pub first_token_ms: u64,
    /// The work to run.
    pub work: Work,
}

/// The work of an attempt, by kind of service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A completion by a model.
    Completion(CompletionWork),
    /// A call to a plain service.
    Plain(PlainWork),
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionWork {
    /// The model at the version to run.
    pub model: ModelId,
    /// The adapter on the model; `None` for the model itself.
    pub adapter: Option<AdapterName>,
    /// The prompt text.
    pub prompt: String,
    /// Upper bound on the tokens of the whole answer, over all attempts.
    pub max_tokens: u32,
    /// Seed for sampling; equal in all attempts, so that a resumed answer continues the same text.
    pub seed: u64,
    /// Tokens that the caller has received from earlier attempts, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainWork {
    /// The request path below the service's root, starting with a slash.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body, in UTF-8.
    pub body: String,
    /// The caller, which is the scope of `key`: equal keys of different callers are unrelated.
    #[serde(default)]
    pub caller: Option<CallerName>,
    /// The idempotency key under which the call runs at most once; `None` if the caller sent none.
    pub key: Option<IdempotencyKey>,
}

/// Why a complete answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    #[display("stop")]
    Stop,
    /// The token limit was reached.
    #[display("length")]
    Length,
}

/// Why an agent has not run an attempt and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// All slots are in use and the queue is full or too long for the deadline, or the agent can't
    /// hold another idempotency key.
    #[display("busy")]
    Busy,
    /// The deadline can't be met, or passed while the attempt was queued.
    #[display("deadline")]
    Deadline,
    /// The model or adapter is not resident.
    #[display("not_resident")]
    NotResident,
    /// The agent is draining and accepts no new work.
    #[display("draining")]
    Draining,
    /// The attempt was fenced before it ran.
    #[display("fenced")]
    Fenced,
    /// The attempt names another incarnation of the agent.
    #[display("wrong_incarnation")]
    WrongIncarnation,
    /// The target could not be reached; no byte of the request was sent.
    #[display("target_unreachable")]
    TargetUnreachable,
    /// The caller disconnected before the attempt ran.
    #[display("cancelled")]
    Cancelled,
}

/// One event of an attempt's answer.
///
/// An answer starts with `Accepted` or is a single `NotRun`. It is complete only when it ends with
/// `Finished` or `Answered`; an answer that ends otherwise was interrupted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// The agent accepted the attempt, which may run from now on.
    Accepted {
        /// The attempt's identifier.
        attempt: AttemptId,
        /// The agent's incarnation.
        incarnation: Incarnation,
    },
    /// The attempt was not run and never will be.
    NotRun {
        /// The attempt's identifier.
        attempt: AttemptId,
        /// The agent's incarnation.
        incarnation: Incarnation,
        /// Why the attempt was not run.
        reason: NotRunReason,
        /// Another target that may accept the request; `None` if the agent knows of none.
        hint: Option<TargetName>,
        /// Delay before a retry, in milliseconds; `None` if the agent has no estimate.
        retry_after_ms: Option<u64>,
    },
    /// The next token of a completion.
    Token {
        /// The token's index in the whole answer, from 0 and counting resumed tokens.
        index: u32,
        /// The token's text.
        text: String,
    },
    /// The completion is complete.
    Finished {
        /// The attempt's identifier.
        attempt: AttemptId,
        /// Why the answer ended.
        reason: FinishReason,
        /// Number of tokens in the whole answer, including resumed tokens.
        tokens: u32,
    },
    /// The complete answer of a plain service.
    Answered {
        /// The attempt's identifier.
        attempt: AttemptId,
        /// The HTTP status that the service returned.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, in UTF-8.
        body: String,
    },
    /// The attempt failed after it had started to run; whether it took effect is unknown.
    Failed {
        /// The attempt's identifier.
        attempt: AttemptId,
        /// The error code for the caller.
        code: ErrorCode,
        /// A message for human readers.
        message: String,
    },
}
