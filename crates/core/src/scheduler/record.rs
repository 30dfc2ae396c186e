//! What the gate keeps of each attempt.

use std::time::Duration;

use kumquatkeel_types::message::{CompletionWork, Dispatch, NotRunReason, Work};
use kumquatkeel_types::{
    AdapterName, CallerName, IdempotencyKey, ServiceName, Timestamp, digest::hash_parts,
};

use super::PoolId;
use super::pool::Turn;

/// Longest time that an attempt may wait to start.
const MAX_WAIT: Duration = Duration::from_hours(24);

/// The scope within which an idempotency key runs once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyScope {
    pub(super) caller: Option<CallerName>,
    pub(super) service: ServiceName,
    pub(super) key: IdempotencyKey,
}

/// What the gate needs of a dispatch while the attempt is not ended.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) pool: PoolId,
    pub(super) adapter: Option<AdapterName>,
    pub(super) key: Option<KeyScope>,
    pub(super) digest: u64,
    pub(super) turn: Turn,
}

impl Job {
    /// Reads the job of a dispatch received at `now` as the `arrival`th.
    pub(super) fn new(dispatch: &Dispatch, arrival: u64, now: Timestamp) -> Self {
        let turn = Turn {
            priority: dispatch.priority,
            deadline: now.after(start_limit(dispatch)),
            arrival,
        };
        match &dispatch.work {
            Work::Completion(CompletionWork { model, adapter, .. }) => Self {
                pool: PoolId::Model(model.clone()),
                adapter: adapter.clone(),
                key: None,
                digest: 0,
                turn,
            },
            Work::Plain(work) => Self {
                pool: PoolId::Plain,
                adapter: None,
                key: work.key.clone().map(|key| KeyScope {
                    caller: work.caller.clone(),
                    service: dispatch.service.clone(),
                    key,
                }),
                digest: hash_parts(
                    [&work.path, &work.content_type, &work.body].map(String::as_str),
                ),
                turn,
            },
        }
    }
}

/// Returns the time within which an attempt must start to be of use.
fn start_limit(dispatch: &Dispatch) -> Duration {
    let limit_ms = match dispatch.work {
        Work::Completion(_) => dispatch.first_token_ms.min(dispatch.deadline_ms),
        Work::Plain(_) => dispatch.deadline_ms,
    };
    Duration::from_millis(limit_ms).min(MAX_WAIT)
}

/// The state of an attempt that is known to the gate.
#[derive(Debug, Clone)]
pub(super) enum Record {
    /// The attempt waits for a slot.
    Waiting(Job),
    /// The attempt runs.
    Running { job: Job, since: Timestamp },
    /// The attempt waits for the answer of the call that runs under the same key.
    Joined(KeyScope),
    /// The attempt was fenced, refused or cancelled before it ran.
    NotRun(NotRunReason),
    /// The attempt ran; what became of it is kept under its idempotency key.
    Keyed(KeyScope),
    /// The attempt ran; no answer is kept.
    Ran,
}
