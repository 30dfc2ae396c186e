//! One attempt at one target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use kumquatkeel_core::retry::AttemptResult;
use kumquatkeel_core::serving::{AttemptEnd, Target};
use tokio::time::{Instant, timeout_at};

use super::state::Shared;
use super::work::WorkGuard;
use crate::net::{CallError, PooledConnection};
use crate::platform::{ForwardOptions, ResponseClass};

/// Largest answer that is read as a whole before it is passed on, in bytes.
const MAX_WHOLE_ANSWER: usize = 4 * 1024 * 1024;

/// A caller's request as it is sent to targets.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    pub(super) attempt: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// How one attempt is to be made.
#[derive(Debug)]
pub(super) struct AttemptPlan {
    pub(super) target: Arc<Target>,
    pub(super) terms: ForwardOptions,
    /// Until when the head of an answer is awaited.
    pub(super) deadline: Instant,
    /// Whether the request must not run twice.
    pub(super) careful: bool,
    pub(super) predicted: Duration,
    pub(super) guard: WorkGuard,
}

/// An answer whose head has been accepted.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) lease: PooledConnection,
    pub(super) guard: WorkGuard,
    pub(super) sent: Instant,
    pub(super) predicted: Duration,
    pub(super) success: bool,
}

/// An attempt that brought nothing to pass on.
#[derive(Debug, Clone)]
pub(super) struct AttemptFailure {
    pub(super) end: AttemptEnd,
    pub(super) reason: String,
}

impl AttemptFailure {
    fn new(end: AttemptEnd, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Self { end, reason }
    }
}

/// Sends a request to a target and accepts the head of its answer.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    outgoing: &Outgoing,
    plan: AttemptPlan,
) -> Result<Answer, AttemptFailure> {
    let target = plan.target.clone();
    let sent = Instant::now();
    let result = exchange(shared, outgoing, plan).await;
    let mut state = shared.lock();
    let now = shared.now();
    match &result {
        Ok(answer) if answer.success => {
            shared.instruments.record_attempt("answered");
            state.record(&target.id, AttemptResult::Answered(sent.elapsed()), now);
        }
        Ok(_) => {
            shared.instruments.record_attempt("failed");
            state.record(&target.id, AttemptResult::Failed, now);
        }
        Err(failure) => {
            let end = match failure.end {
                AttemptEnd::NotSent => "not_sent",
                AttemptEnd::NotRun => "not_run",
                AttemptEnd::Failed => "failed",
                AttemptEnd::Lost => "lost",
            };
            shared.instruments.record_attempt(end);
            if failure.end != AttemptEnd::NotRun {
                state.record(&target.id, AttemptResult::Failed, now);
            }
        }
    }
    result
}

async fn exchange(
    shared: &Arc<Shared>,
    outgoing: &Outgoing,
    plan: AttemptPlan,
) -> Result<Answer, AttemptFailure> {
    let pool = shared.lock().pool(&plan.target);
    let headers = shared.dialect.write_request(&outgoing.headers, &plan.terms);
    let request = || {
        let mut request = Request::new(Full::new(outgoing.body.clone()));
        *request.method_mut() = outgoing.method.clone();
        *request.uri_mut() = outgoing.uri.clone();
        *request.headers_mut() = headers.clone();
        request
    };
    let sent = Instant::now();
    let mut kept = pool.take(plan.careful);
    let (lease, response) = loop {
        let mut lease = if let Some(lease) = kept.take() {
            lease
        } else {
            let left = plan.deadline.saturating_duration_since(Instant::now());
            (pool.connect(left).await)
                .map_err(|e| AttemptFailure::new(AttemptEnd::NotSent, e.to_string()))?
        };
        let reused = lease.connection.reused;
        match lease.connection.send(request(), plan.deadline).await {
            Ok(response) => break (lease, response),
            // The target had closed the kept connection; a new one tells whether it is there.
            Err(CallError::NotSent) if reused => {}
            Err(error @ (CallError::NotSent | CallError::Connect(_))) => {
                return Err(AttemptFailure::new(AttemptEnd::NotSent, error.to_string()));
            }
            Err(error) => return Err(AttemptFailure::new(AttemptEnd::Lost, error.to_string())),
        }
    };
    accept(shared, outgoing, plan, lease, response, sent).await
}

async fn accept(
    shared: &Arc<Shared>,
    outgoing: &Outgoing,
    plan: AttemptPlan,
    lease: PooledConnection,
    response: Response<Incoming>,
    sent: Instant,
) -> Result<Answer, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let head = shared
        .dialect
        .classify_response(parts.status, &parts.headers, &outgoing.attempt);
    let success = match head {
        ResponseClass::Success => true,
        ResponseClass::Failure => false,
        ResponseClass::NotRun | ResponseClass::WrongTarget => {
            let reason = format!("target answered {}", parts.status);
            if read_whole(body, plan.deadline).await.is_some() {
                lease.release();
            }
            return Err(AttemptFailure::new(AttemptEnd::NotRun, reason));
        }
        ResponseClass::Invalid => {
            let reason = format!("invalid answer with status {}", parts.status);
            return Err(AttemptFailure::new(AttemptEnd::Lost, reason));
        }
    };
    Ok(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
        lease,
        guard: plan.guard,
        sent,
        predicted: plan.predicted,
        success,
    })
}

/// Reads a whole body in time, or returns `None`.
pub(super) async fn read_whole(body: Incoming, deadline: Instant) -> Option<Bytes> {
    let collected = Limited::new(body, MAX_WHOLE_ANSWER).collect();
    let body = timeout_at(deadline, collected).await.ok()?;
    body.ok().map(http_body_util::Collected::to_bytes)
}
