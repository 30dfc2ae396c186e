//! The run of an attempt that the gate has started.

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

/// Longest time to wait for the engine to take in a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// When an attempt's whole answer is due.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline(Instant);

impl Deadline {
    /// Counts the dispatch's deadline from now.
    pub(crate) fn of(dispatch: &Dispatch) -> Self {
        Self(Instant::now() + Duration::from_millis(dispatch.deadline_ms))
    }
}

/// Why a completion ended without its finish mark.
enum Cut {
    /// The entry has left.
    Left,
    /// The engine has certainly not run the request.
    NotRun(NotRunReason, TargetError),
    /// The answer is late, wrong or incomplete.
    Failed { code: ErrorCode, message: String },
}

/// Runs an attempt to its end and sends its events.
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
    let cut = match stream_completion(shared, dispatch, work, deadline, events).await {
        Ok(()) => return Ending::Finished,
        Err(cut) => cut,
    };
    let attempt = &dispatch.attempt;
    match cut {
        Cut::NotRun(reason, error) => {
            warn!(target: "attempt", "attempt: {attempt} was not run: {error}");
            events.send(&not_sent(shared, dispatch, reason)).await;
            Ending::NotSent(reason)
        }
        Cut::Left => {
            info!(target: "attempt", "attempt: the caller of {attempt} has left");
            cancel_at_engine(shared, dispatch).await;
            Ending::Unknown
        }
        Cut::Failed { code, message } => {
            warn!(target: "attempt", "attempt: {attempt} is cut: {message}");
            events.send(&failed(dispatch, code, message)).await;
            cancel_at_engine(shared, dispatch).await;
            Ending::Unknown
        }
    }
}

/// Cancels at the engine; the slot is held until the engine has taken it in or is too late.
async fn cancel_at_engine(shared: &Shared, dispatch: &Dispatch) {
    let attempt = &dispatch.attempt;
    let cancel = shared.engine.cancel(attempt.to_string());
    match timeout(CANCEL_TIMEOUT, cancel).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            warn!(target: "attempt", "attempt: {attempt} could not be cancelled: {error}");
        }
        Err(_) => warn!(target: "attempt", "attempt: cancelling {attempt} took too long"),
    }
}

async fn stream_completion(
    shared: &Shared,
    dispatch: &Dispatch,
    work: &CompletionWork,
    deadline: Deadline,
    events: &EventSender,
) -> Result<(), Cut> {
    let completion = completion_of(dispatch, work);
    let stalled = Instant::now() + shared.settings.limits.stall;
    let start = timeout_at(deadline.0.min(stalled), shared.engine.complete(&completion));
    let started = tokio::select! {
        started = start => started,
        () = events.closed() => return Err(Cut::Left),
    };
    let mut chunks = match started {
        Err(_) => return Err(late("the engine did not answer in time")),
        Ok(Err(error)) => return Err(start_cut(error)),
        Ok(Ok(chunks)) => chunks,
    };
    if !events.accept().await {
        return Err(Cut::Left);
    }
    let resumed = work.resume.len() as u32;
    let mut check = StreamCheck::new(completion.request_id, resumed, work.max_tokens);
    loop {
        let chunk = next_chunk(shared, &mut chunks, deadline, events).await?;
        let Some(chunk) = chunk else {
            return check.end().map_err(|fault| interrupted(&fault));
        };
        let chunk = chunk.map_err(|error| target_cut(&error))?;
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
                // Reading to the end lets the connection be used again.
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
) -> Result<Option<Result<kumquatkeel_types::engine::EngineChunk, TargetError>>, Cut> {
    let stalled = Instant::now() + shared.settings.limits.stall;
    tokio::select! {
        chunk = timeout_at(deadline.0.min(stalled), chunks.next()) => match chunk {
            Ok(chunk) => Ok(chunk),
            Err(_) if deadline.0 <= stalled => Err(late("the answer is not whole at its deadline")),
            Err(_) => Err(interrupted(&"the engine's stream has stalled")),
        },
        () = events.closed() => Err(Cut::Left),
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

/// Runs a plain call to its end, also when its caller has left: it can't be cancelled.
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
            warn!(target: "attempt", "attempt: {attempt} has no answer: {error}");
            plain_end(shared, dispatch, &error)
        }
        Err(_) => {
            warn!(target: "attempt", "attempt: {attempt} has no answer at its deadline");
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

async fn send(events: &EventSender, event: &AttemptEvent) -> Result<(), Cut> {
    if events.send(event).await {
        Ok(())
    } else {
        Err(Cut::Left)
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

fn late(message: &str) -> Cut {
    Cut::Failed {
        code: ErrorCode::Deadline,
        message: message.into(),
    }
}

fn interrupted(message: &impl ToString) -> Cut {
    Cut::Failed {
        code: ErrorCode::Interrupted,
        message: message.to_string(),
    }
}

fn start_cut(error: TargetError) -> Cut {
    match error.not_run {
        Some(reason) => Cut::NotRun(reason, error),
        None => target_cut(&error),
    }
}

fn target_cut(error: &TargetError) -> Cut {
    Cut::Failed {
        code: ErrorCode::TargetError,
        message: error.to_string(),
    }
}
