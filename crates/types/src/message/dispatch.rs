//! Work from an entry to an agent, and the events of its answer.

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
    /// The attempt; every event of the answer echoes it.
    pub attempt: AttemptId,
    /// The agent's life that the entry believes in; none when it knows none yet.
    pub incarnation: Option<Incarnation>,
    /// The service.
    pub service: ServiceName,
    /// The priority, from 0 (first) to 9 (last).
    pub priority: u8,
    /// The time left for the whole answer, in milliseconds from receipt.
    pub deadline_ms: u64,
    /// The time left until the first token, in milliseconds from receipt.
    pub first_token_ms: u64,
    /// The work.
    pub work: Work,
}

/// What is to be run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A completion by a model.
    Completion(CompletionWork),
    /// A call of a plain service.
    Plain(PlainWork),
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompletionWork {
    /// The model.
    pub model: ModelId,
    /// The adapter on it.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate over all attempts.
    pub max_tokens: u32,
    /// Seed of the generator, so that a resumed answer continues the same text.
    pub seed: u64,
    /// Tokens that the caller already has from earlier attempts, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume: Vec<String>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainWork {
    /// The path below the service, starting with a slash.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body, UTF-8.
    pub body: String,
    /// The caller; keys of different callers never meet.
    #[serde(default)]
    pub caller: Option<CallerName>,
    /// The key under which the call runs at most once.
    pub key: Option<IdempotencyKey>,
}

/// Why an answer ended whole.
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

/// Why an agent did not run an attempt, and never will.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// All slots and the queue are taken.
    #[display("busy")]
    Busy,
    /// The deadline can't be met or passed while the attempt waited.
    #[display("deadline")]
    Deadline,
    /// The model or adapter is not resident.
    #[display("not_resident")]
    NotResident,
    /// The agent takes no new work.
    #[display("draining")]
    Draining,
    /// The attempt was fenced before it ran.
    #[display("fenced")]
    Fenced,
    /// The attempt names another life of the agent.
    #[display("wrong_incarnation")]
    WrongIncarnation,
    /// The target could not be reached: no byte of the request was sent.
    #[display("target_unreachable")]
    TargetUnreachable,
    /// The caller left before the attempt ran.
    #[display("cancelled")]
    Cancelled,
}

/// One event of an attempt's answer.
///
/// An answer starts with `Accepted` or is a single `NotRun`. It is whole only when it ends with
/// `Finished` or `Answered`; an answer that ends otherwise was cut.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEvent {
    /// The agent took the attempt in; it may run from now on.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's life.
        incarnation: Incarnation,
    },
    /// The attempt was not run and never will be.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// The agent's life.
        incarnation: Incarnation,
        /// Why.
        reason: NotRunReason,
        /// Another target that may take the request.
        hint: Option<TargetName>,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The next token.
    Token {
        /// The token's index in the whole answer, counting resumed tokens, from 0.
        index: u32,
        /// The text.
        text: String,
    },
    /// The completion ended whole.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Why it ended.
        reason: FinishReason,
        /// Tokens in the whole answer, resumed ones included.
        tokens: u32,
    },
    /// A plain service's whole answer.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// The HTTP status.
        status: u16,
        /// The content type of the body.
        content_type: String,
        /// The body, UTF-8.
        body: String,
    },
    /// The attempt began to run and failed; whether it took effect is not known.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// The code for the caller.
        code: ErrorCode,
        /// A sentence for people.
        message: String,
    },
}
