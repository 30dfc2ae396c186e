//! The state that the scheduler keeps of each attempt.

use std::time::Duration;

use kumquatkeel_types::message::{CompletionWork, Dispatch, NotRunReason, Work};
use kumquatkeel_types::{
    AdapterName, CallerName, IdempotencyKey, ServiceName, Timestamp, digest::hash_parts,
};

use super::PoolId;
use super::pool::Rank;

/// The upper bound of the time within which an attempt must start.
const MAX_WAIT: Duration = Duration::from_hours(24);

/// An idempotency key with the caller and the service for which it is unique.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct KeyScope {
    pub(super) caller: Option<CallerName>,
    pub(super) service: ServiceName,
    pub(super) key: IdempotencyKey,
}

/// The parts of a dispatch that are kept until the attempt ends.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) pool: PoolId,
    pub(super) adapter: Option<AdapterName>,
    pub(super) key: Option<KeyScope>,
    pub(super) digest: u64,
    pub(super) rank: Rank,
}

impl Job {
    /// Creates the job of a dispatch that was received at `now` as arrival number `arrival`.
    pub(super) fn new(dispatch: &Dispatch, arrival: u64, now: Timestamp) -> Self {
        let rank = Rank {
            priority: dispatch.priority,
            deadline: now.after(start_timeout(dispatch)),
            arrival,
        };
        match &dispatch.work {
            Work::Completion(CompletionWork { model, adapter, .. }) => Self {
                pool: PoolId::Model(model.clone()),
                adapter: adapter.clone(),
                key: None,
                digest: 0,
                rank,
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
                rank,
            },
        }
    }
}

/// Returns the time within which an attempt must start to meet its deadline, for a completion also
/// the one of its first token.
fn start_timeout(dispatch: &Dispatch) -> Duration {
    let limit_ms = match dispatch.work {
        Work::Completion(_) => dispatch.first_token_ms.min(dispatch.deadline_ms),
        Work::Plain(_) => dispatch.deadline_ms,
    };
    Duration::from_millis(limit_ms).min(MAX_WAIT)
}

/// The state of an attempt.
#[derive(Debug, Clone)]
pub(super) enum Record {
    /// The attempt waits for a slot.
    Waiting(Job),
    /// The attempt has held a slot since the given time.
    Running { job: Job, since: Timestamp },
    /// The attempt waits for the answer of another attempt with the same idempotency key.
    Joined(KeyScope),
    /// The attempt was fenced, refused or cancelled before it ran, or the target did not run it.
    NotRun(NotRunReason),
    /// The attempt ran; its result is kept under its idempotency key.
    Keyed(KeyScope),
    /// The attempt ran; its answer is not kept.
    Ran,
}
