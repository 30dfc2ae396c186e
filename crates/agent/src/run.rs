//! Runs a started attempt: calls the target and forwards its answer to the entry as events.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use kumquatkeel_core::scheduler::{ChunkStep, Ending, StreamCheck};
use kumquatkeel_types::ErrorCode;
use kumquatkeel_types::engine::EngineCompletion;
use kumquatkeel_types::message::{
    AttemptEvent, CompletionWork, Dispatch, NotRunReason, PlainWork, Work,
};
use log::{info, warn};
use tokio::time::{Instant, timeout, timeout_at};

use crate::TargetError;
use crate::engine::ChunkStream;
use crate::events::{EventSender, answered};
use crate::shared::Shared;

/// Longest time to wait for the engine to confirm a cancellation or to end its stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time by which an attempt's complete answer is due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Starts the dispatch's deadline at the current time.
    pub(crate) fn of(dispatch: &Dispatch) -> Self {
        Self(Instant::now() + Duration::from_millis(dispatch.deadline_ms))
    }
}

/// Why a completion ended without a finish reason.
enum CompletionError {
    /// The entry disconnected or stopped reading its events.
    Disconnected,
    /// The engine has certainly not run the request.
    NotRun(NotRunReason, TargetError),
    /// The answer is late, invalid or incomplete.
    Failed { code: ErrorCode, message: String },
}

/// Runs an attempt to its end, sends its events and returns how it ended.
pub(crate) async fn run_attempt(
    shared: &Shared,
    dispatch: &Dispatch,
    deadline: Deadline,
    events: &EventSender,
) -> Ending {
    match &dispatch.work {
        Work::Completion(work) => run_completion(shared, dispatch, work, deadline, events).await,
        Work::Plain(work) => run_plain(shared, dispatch, work, deadline, events).await,
    }
}

async fn run_completion(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &CompletionWork,
    deadline: Deadline,
    events: &EventSender,
) -> Ending {
    let failure = match stream_completion(shared, dispatch, work, deadline, events).await {
        Ok(()) => return Ending::Finished,
        Err(failure) => failure,
    };
    let attempt = &dispatch.attempt;
    match failure {
        CompletionError::NotRun(reason, error) => {
            warn!(target: "attempt", "attempt: {attempt} was not run: {error}");
            events.send(&not_sent(shared, dispatch, reason)).await;
            Ending::NotSent(reason)
        }
        CompletionError::Disconnected => {
            info!(target: "attempt", "attempt: the entry of {attempt} disconnected");
            cancel_at_engine(shared, dispatch).await;
            Ending::Unknown
        }
        CompletionError::Failed { code, message } => {
            warn!(target: "attempt", "attempt: {attempt} was interrupted: {message}");
            events.send(&failed(dispatch, code, message)).await;
            cancel_at_engine(shared, dispatch).await;
            Ending::Unknown
        }
    }
}

/// Cancels the attempt at the engine.
///
/// The caller keeps the attempt's slot until the engine confirms or `CANCEL_TIMEOUT` has passed.
async fn cancel_at_engine(shared: &Shared, dispatch: &Dispatch) {
    let attempt = &dispatch.attempt;
    let cancel = shared.engine.cancel(attempt.to_string());
    match timeout(CANCEL_TIMEOUT, cancel).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            warn!(target: "attempt", "attempt: {attempt} could not be cancelled: {error}");
        }
        Err(_) => warn!(target: "attempt", "attempt: cancelling {attempt} at the engine timed out"),
    }
}

async fn stream_completion(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &CompletionWork,
    deadline: Deadline,
    events: &EventSender,
) -> Result<(), CompletionError> {
    let completion = completion_of(dispatch, work);
    let stalled = Instant::now() + shared.settings.limits.stall;
    let start = timeout_at(deadline.0.min(stalled), shared.engine.complete(&completion));
    let started = tokio::select! {
        started = start => started,
        () = events.closed() => return Err(CompletionError::Disconnected),
    };
    let mut chunks = match started {
        Err(_) => return Err(deadline_exceeded("the engine did not answer in time")),
        Ok(Err(error)) => return Err(start_error(error)),
        Ok(Ok(chunks)) => chunks,
    };
    if !events.accept().await {
        return Err(CompletionError::Disconnected);
    }
    let resumed = work.resume.len() as u32;
    let mut check = StreamCheck::new(completion.request_id, resumed, work.max_tokens);
    loop {
        let chunk = next_chunk(shared, &mut chunks, deadline, events).await?;
        let Some(chunk) = chunk else {
            return check.end().map_err(|fault| interrupted(&fault));
        };
        let chunk = chunk.map_err(|error| target_error(&error))?;
        match check.check(chunk).map_err(|fault| interrupted(&fault))? {
            ChunkStep::Token { index, text } => {
                send(events, &AttemptEvent::Token { index, text }).await?;
            }
            ChunkStep::Finish { reason, tokens } => {
                let attempt = dispatch.attempt.clone();
                let finished = AttemptEvent::Finished {
                    attempt,
                    reason,
                    tokens,
                };
                events.send(&finished).await;
                // A connection can only be reused once its body has been read to the end.
                let _ = timeout(CANCEL_TIMEOUT, chunks.next()).await;
                return Ok(());
            }
        }
    }
}

async fn next_chunk(
    shared: &Shared,
    chunks: &mut ChunkStream,
    deadline: Deadline,
    events: &EventSender,
) -> Result<Option<Result<kumquatkeel_types::engine::EngineChunk, TargetError>>, CompletionError> {
    let stalled = Instant::now() + shared.settings.limits.stall;
    tokio::select! {
        chunk = timeout_at(deadline.0.min(stalled), chunks.next()) => match chunk {
            Ok(chunk) => Ok(chunk),
            Err(_) if deadline.0 <= stalled => Err(deadline_exceeded(
                "the answer is not whole at its deadline",
            )),
            Err(_) => Err(interrupted(&"the engine's stream has stalled")),
        },
        () = events.closed() => Err(CompletionError::Disconnected),
    }
}

fn completion_of(dispatch: &Dispatch, work: &CompletionWork) -> EngineCompletion {
    EngineCompletion {
        request_id: dispatch.attempt.to_string(),
        model: work.model.clone(),
        adapter: work.adapter.clone(),
        prompt: work.prompt.clone(),
        max_tokens: work.max_tokens,
        seed: work.seed,
        priority: dispatch.priority,
        resume: work.resume.clone(),
    }
}

/// Runs a plain call to its end, even if the entry disconnects: a plain call can't be cancelled.
async fn run_plain(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &PlainWork,
    deadline: Deadline,
    events: &EventSender,
) -> Ending {
    let attempt = &dispatch.attempt;
    let (event, end) = match timeout_at(deadline.0, shared.plain.call(work)).await {
        Ok(Ok(answer)) => {
            let event = answered(attempt.clone(), &answer);
            (event, Ending::Answered(Arc::new(answer)))
        }
        Ok(Err(error)) => {
            warn!(target: "attempt", "attempt: {attempt} failed at the service: {error}");
            plain_end(shared, dispatch, &error)
        }
        Err(_) => {
            warn!(target: "attempt", "attempt: {attempt} passed its deadline at the service");
            let message = "the service did not answer before the deadline";
            let event = failed(dispatch, ErrorCode::Deadline, message);
            (event, Ending::Unknown)
        }
    };
    events.send(&event).await;
    end
}

fn plain_end(shared: &Shared, dispatch: &Dispatch, error: &TargetError) -> (AttemptEvent, Ending) {
    if let Some(reason) = error.not_run {
        return (not_sent(shared, dispatch, reason), Ending::NotSent(reason));
    }
    let event = failed(dispatch, ErrorCode::Interrupted, error.to_string());
    (event, Ending::Unknown)
}

async fn send(events: &EventSender, event: &AttemptEvent) -> Result<(), CompletionError> {
    if events.send(event).await {
        Ok(())
    } else {
        Err(CompletionError::Disconnected)
    }
}

fn not_sent(shared: &Shared, dispatch: &Dispatch, reason: NotRunReason) -> AttemptEvent {
    AttemptEvent::NotRun {
        attempt: dispatch.attempt.clone(),
        incarnation: shared.incarnation,
        reason,
        hint: None,
        retry_after_ms: None,
    }
}

fn failed(dispatch: &Dispatch, code: ErrorCode, message: impl Into<String>) -> AttemptEvent {
    AttemptEvent::Failed {
        attempt: dispatch.attempt.clone(),
        code,
        message: message.into(),
    }
}

fn deadline_exceeded(message: &str) -> CompletionError {
    CompletionError::Failed {
        code: ErrorCode::Deadline,
        message: message.into(),
    }
}

fn interrupted(message: &impl ToString) -> CompletionError {
    CompletionError::Failed {
        code: ErrorCode::Interrupted,
        message: message.to_string(),
    }
}

fn start_error(error: TargetError) -> CompletionError {
    match error.not_run {
        Some(reason) => CompletionError::NotRun(reason, error),
        None => target_error(&error),
    }
}

fn target_error(error: &TargetError) -> CompletionError {
    CompletionError::Failed {
        code: ErrorCode::TargetError,
        message: error.to_string(),
    }
}
