//! The endpoint `POST /v1/attempts`: takes a dispatch from an entry and streams its events back.
//!
//! A dispatch is read, validated and offered to the scheduler. Once the scheduler starts the
//! attempt, [`run_attempt`] sends it to the target.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use kumquatkeel_core::scheduler::{Admission, Ending, SchedulerStep};
use kumquatkeel_daemon::server::{Body, Routes, full_body, status_only};
use kumquatkeel_types::message::{AttemptEvent, Dispatch, NotRunReason, Work};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, TargetName};
use log::{debug, warn};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::agent_core::OfferOutcome;
use crate::check::check_dispatch;
use crate::events::{EventSender, answered, event_body};
use crate::run::{Deadline, run_attempt};
use crate::shared::Shared;

/// Longest time that an entry may take to send the body of a dispatch.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Content type of an event stream: newline-delimited JSON.
const EVENTS_TYPE: HeaderValue = HeaderValue::from_static("application/x-ndjson");

/// The agent's HTTP routes outside JSON-RPC.
pub(crate) struct AttemptRoutes(pub(crate) Arc<Shared>);

#[async_trait]
impl Routes for AttemptRoutes {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() != "/v1/attempts" {
            return status_only(StatusCode::NOT_FOUND);
        }
        if request.method() != Method::POST {
            return status_only(StatusCode::METHOD_NOT_ALLOWED);
        }
        match read_dispatch(request, self.0.settings.limits.body_bytes).await {
            Ok(dispatch) => start_attempt(&self.0, dispatch),
            Err(refusal) => refusal,
        }
    }
}

async fn read_dispatch(
    request: Request<Incoming>,
    limit: usize,
) -> Result<Dispatch, Response<Body>> {
    let body = Limited::new(request.into_body(), limit).collect();
    let body = timeout(BODY_TIMEOUT, body).await;
    let body = body.map_err(|_| refusal(StatusCode::REQUEST_TIMEOUT, "the body is late"))?;
    let content = body
        .map_err(|error| body_refusal(&*error, limit))?
        .to_bytes();
    let mut json = serde_json::Deserializer::from_slice(&content);
    let bad_request = |message: String| refusal(StatusCode::BAD_REQUEST, message);
    let dispatch: Dispatch = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| bad_request(format!("dispatch: {error}")))?;
    json.end()
        .map_err(|error| bad_request(format!("dispatch: {error}")))?;
    check_dispatch(&dispatch).map_err(|fault| bad_request(fault.to_string()))?;
    Ok(dispatch)
}

fn body_refusal(error: &(dyn Error + Send + Sync + 'static), limit: usize) -> Response<Body> {
    if error.is::<LengthLimitError>() {
        let message = format!("the body has more than {limit} bytes");
        return refusal(StatusCode::PAYLOAD_TOO_LARGE, message);
    }
    refusal(StatusCode::BAD_REQUEST, format!("the body is cut: {error}"))
}

fn refusal(status: StatusCode, message: impl Into<String>) -> Response<Body> {
    let body = ErrorBody {
        outcome: Outcome::Refused,
        code: ErrorCode::InvalidRequest,
        message: message.into(),
        request: None,
        retry_after_ms: None,
    };
    let mut response = Response::new(full_body(serde_json::to_vec(&body).unwrap_or_default()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn start_attempt(shared: &Arc<Shared>, dispatch: Dispatch) -> Response<Body> {
    let (events, body) = event_body(dispatch.attempt.clone(), shared.incarnation);
    let deadline = Deadline::of(&dispatch);
    let task = serve_attempt(shared.clone(), dispatch, deadline, events);
    shared.tasks.spawn(task);
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, EVENTS_TYPE);
    response
}

async fn serve_attempt(
    shared: Arc<Shared>,
    dispatch: Dispatch,
    deadline: Deadline,
    events: EventSender,
) {
    let outcome = shared.core().offer(&dispatch, shared.now());
    shared.changed.notify_waiters();
    match outcome {
        OfferOutcome::Decided(Admission::Start) => run(&shared, &dispatch, deadline, &events).await,
        OfferOutcome::Decided(admission) => {
            let event = admission_event(&shared, &dispatch, admission);
            events.send(&event).await;
        }
        OfferOutcome::Pending(step) => wait(&shared, &dispatch, deadline, &events, step).await,
    }
}

async fn run(shared: &Shared, dispatch: &Dispatch, deadline: Deadline, events: &EventSender) {
    let attempt = &dispatch.attempt;
    debug!(target: "attempt", "attempt: {attempt} starts");
    let end = run_attempt(shared, dispatch, deadline, events).await;
    debug!(target: "attempt", "attempt: {attempt} ended: {end:?}");
    shared.telemetry.count_end(&end);
    shared.core().finish(attempt, end, shared.now());
    shared.changed.notify_waiters();
}

/// Waits until the scheduler decides on a queued attempt or the entry disconnects.
async fn wait(
    shared: &Shared,
    dispatch: &Dispatch,
    deadline: Deadline,
    events: &EventSender,
    mut step: oneshot::Receiver<SchedulerStep>,
) {
    let received = tokio::select! {
        received = &mut step => received,
        () = events.closed() => {
            withdraw(shared, dispatch, &mut step);
            return;
        }
    };
    let attempt = dispatch.attempt.clone();
    let event = match received {
        Ok(SchedulerStep::Start(_)) => return run(shared, dispatch, deadline, events).await,
        Ok(SchedulerStep::NotRun { reason, .. }) => not_run(shared, dispatch, reason, None),
        Ok(SchedulerStep::Answer { answer, .. }) => answered(attempt, &answer),
        Ok(SchedulerStep::Unknown(_)) => failed(dispatch, ErrorCode::Interrupted, UNKNOWN_OUTCOME),
        Err(_) => {
            warn!(target: "attempt", "attempt: {attempt} was dropped by the scheduler");
            failed(dispatch, ErrorCode::Interrupted, UNKNOWN_OUTCOME)
        }
    };
    events.send(&event).await;
}

/// Cancels a waiting attempt whose entry has disconnected.
///
/// The scheduler may have started the attempt just before; its slot is then released as not sent.
fn withdraw(shared: &Shared, dispatch: &Dispatch, step: &mut oneshot::Receiver<SchedulerStep>) {
    let attempt = &dispatch.attempt;
    let mut core = shared.core();
    let now = shared.now();
    let cancelled = core.cancel(attempt, now);
    debug!(target: "attempt", "attempt: waiting {attempt} lost its entry: {cancelled:?}");
    if let Ok(SchedulerStep::Start(_)) = step.try_recv() {
        core.finish(attempt, Ending::NotSent(NotRunReason::Cancelled), now);
    }
    drop(core);
    shared.changed.notify_waiters();
}

/// The message for a call that may have run.
const UNKNOWN_OUTCOME: &str = "the call may have run before; its outcome is not known";

fn admission_event(shared: &Shared, dispatch: &Dispatch, admission: Admission) -> AttemptEvent {
    match admission {
        Admission::NotRun {
            reason,
            retry_after_ms,
        } => not_run(shared, dispatch, reason, retry_after_ms),
        Admission::Stored(answer) => answered(dispatch.attempt.clone(), &answer),
        Admission::KeyReused => {
            let message = "the idempotency key was used for another call";
            failed(dispatch, ErrorCode::KeyReused, message)
        }
        Admission::Repeated => {
            let message = "the attempt is here already";
            failed(dispatch, ErrorCode::Interrupted, message)
        }
        Admission::Start | Admission::Queued | Admission::Joined | Admission::Unknown => {
            failed(dispatch, ErrorCode::Interrupted, UNKNOWN_OUTCOME)
        }
    }
}

fn not_run(
    shared: &Shared,
    dispatch: &Dispatch,
    reason: NotRunReason,
    retry_after_ms: Option<u64>,
) -> AttemptEvent {
    shared.telemetry.count_not_run(reason);
    let hint = hint_for(shared, dispatch, reason);
    AttemptEvent::NotRun {
        attempt: dispatch.attempt.clone(),
        incarnation: shared.incarnation,
        reason,
        hint,
        retry_after_ms,
    }
}

/// Returns another target for the work if the refusal depends on this target.
fn hint_for(shared: &Shared, dispatch: &Dispatch, reason: NotRunReason) -> Option<TargetName> {
    match reason {
        NotRunReason::Busy | NotRunReason::Draining | NotRunReason::NotResident => {}
        _ => return None,
    }
    let (model, adapter) = match &dispatch.work {
        Work::Completion(work) => (Some(&work.model), work.adapter.as_ref()),
        Work::Plain(_) => (None, None),
    };
    shared.hints.alternative_target(model, adapter)
}

fn failed(dispatch: &Dispatch, code: ErrorCode, message: impl Into<String>) -> AttemptEvent {
    AttemptEvent::Failed {
        attempt: dispatch.attempt.clone(),
        code,
        message: message.into(),
    }
}
