//! One attempt: sends a request to one target and checks the head of the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use kumquatkeel_core::response::{Framing, check_body};
use kumquatkeel_core::retry::AttemptResult;
use kumquatkeel_core::serving::{AdmissionRequest, AttemptEnd, Band, Target};
use kumquatkeel_daemon::buffer::BufferLease;
use kumquatkeel_daemon::http::framing_of;
use tokio::time::{Instant, timeout_at};

use super::exchange::millis;
use super::in_flight::InFlightGuard;
use super::state::Shared;
use crate::net::{CallError, PooledConnection};
use crate::platform::{ForwardOptions, ResponseClass};

/// Largest response body that is buffered before it is passed on, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Largest response body that is read to use its connection again, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Longest time for which such a body is read, as its request waits meanwhile.
const DISCARD_TIME: Duration = Duration::from_millis(100);

/// A caller's request, ready to be sent to any target.
#[derive(Debug, Clone)]
pub(super) struct OutgoingRequest {
    /// The caller's id of its attempt; targets return it in their response.
    pub(super) attempt: Arc<str>,
    pub(super) method: Method,
    pub(super) uri: Uri,
    /// The headers as the caller sent them.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// The target and terms of one attempt.
#[derive(Debug)]
pub(super) struct AttemptPlan {
    pub(super) target: Arc<Target>,
    /// When the target was chosen.
    pub(super) chosen: Instant,
    pub(super) terms: ForwardOptions,
    /// Time limit for the head of the response.
    pub(super) deadline: Instant,
    /// Whether the request must not run twice; pooled connections then have a stricter idle limit.
    pub(super) at_most_once: bool,
    /// Whether the target has been sent the request before. A late copy of its earlier answer names the same
    /// attempt, so that the connection must be one that has not carried it.
    pub(super) resend: bool,
    /// The predicted time to the first byte.
    pub(super) predicted: Duration,
    /// The band that the target was chosen for.
    pub(super) band: Band,
    /// The age of the report that the target was chosen by; `None` without one.
    pub(super) report_age: Option<Duration>,
    /// How long the request may wait for a permit if the target names a limit.
    pub(super) patience: Duration,
    /// What the agent beside the target decides on before the request is sent; `None` if it isn't paced.
    pub(super) admission: Option<AdmissionRequest>,
    pub(super) guard: InFlightGuard,
}

/// A target's response with a valid head; the body is still to be read.
#[derive(Debug)]
pub(super) struct TargetResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Incoming,
    pub(super) framing: Framing,
    /// The software version of the target.
    pub(super) version: Arc<str>,
    pub(super) pooled: PooledConnection,
    pub(super) guard: InFlightGuard,
    pub(super) sent: Instant,
    /// The predicted time to the first byte.
    pub(super) predicted: Duration,
    /// Whether the target reports success; else it is a failure that may be passed on.
    pub(super) success: bool,
}

/// What the head of a response says of a stream's form; the head of its first run holds for all of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StreamForm {
    status: StatusCode,
    /// The media type in lower case, without parameters; empty if not stated.
    media_type: String,
}

impl TargetResponse {
    /// Returns what the head says of the stream's form.
    pub(super) fn stream_form(&self) -> StreamForm {
        let content_type = self.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|t| t.to_str().ok());
        let media_type = content_type.unwrap_or_default().split(';').next();
        StreamForm {
            status: self.status,
            media_type: media_type.unwrap_or_default().trim().to_ascii_lowercase(),
        }
    }
}

/// An attempt without a response to pass on.
#[derive(Debug, Clone)]
pub(super) struct AttemptFailure {
    pub(super) end: AttemptEnd,
    pub(super) reason: String,
    /// Whether the connection ended before the answer was complete.
    pub(super) broken: bool,
}

impl AttemptFailure {
    pub(super) fn new(end: AttemptEnd, reason: impl Into<String>) -> Self {
        Self {
            end,
            reason: reason.into(),
            broken: false,
        }
    }

    /// A failure after which the target may have run the request, as the connection ended.
    pub(super) fn broken(reason: impl Into<String>) -> Self {
        Self {
            broken: true,
            ..Self::new(AttemptEnd::Lost, reason)
        }
    }
}

/// Sends a request to a target and records how the attempt ended. Sets `may_run` right before the first byte is
/// sent.
///
/// # Errors
///
/// Returns a failure when the request was not sent, not run, or has no valid response.
pub(super) async fn run_attempt(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest,
    plan: AttemptPlan,
    may_run: &AtomicBool,
) -> Result<TargetResponse, AttemptFailure> {
    let target = plan.target.clone();
    let sent = Instant::now();
    let result = send_request(shared, outgoing, plan, may_run).await;
    let mut state = shared.lock();
    let now = shared.now();
    match &result {
        Ok(response) if response.success => {
            shared.instruments.record_attempt("answered");
            state.record(&target.id, AttemptResult::Answered(sent.elapsed()), now);
        }
        Ok(_) => {
            shared.instruments.record_attempt("failed");
            state.record(&target.id, AttemptResult::Failed, now);
        }
        Err(failure) => {
            let end = match failure.end {
                AttemptEnd::Withheld => "withheld",
                AttemptEnd::NotSent => "not_sent",
                AttemptEnd::NotRun => "not_run",
                AttemptEnd::Failed => "failed",
                AttemptEnd::Lost => "lost",
            };
            shared.instruments.record_attempt(end);
            if !matches!(failure.end, AttemptEnd::Withheld | AttemptEnd::NotRun) {
                state.record(&target.id, AttemptResult::Failed, now);
            }
        }
    }
    result
}

async fn send_request(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest,
    plan: AttemptPlan,
    may_run: &AtomicBool,
) -> Result<TargetResponse, AttemptFailure> {
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
    let mut idle = if plan.resend {
        None
    } else {
        pool.take(plan.at_most_once)
    };
    let (pooled, response) = loop {
        let mut pooled = if let Some(pooled) = idle.take() {
            pooled
        } else {
            let left = plan.deadline.saturating_duration_since(Instant::now());
            (pool.connect(left).await)
                .map_err(|e| AttemptFailure::new(AttemptEnd::NotSent, e.to_string()))?
        };
        if !shared.begin_request(&plan.target) {
            pooled.release_unused();
            return Err(AttemptFailure::new(
                AttemptEnd::Withheld,
                "the target wants no request now",
            ));
        }
        let reused = pooled.connection.reused;
        may_run.store(true, Ordering::Relaxed);
        match pooled.connection.send(request(), plan.deadline).await {
            Ok(response) => break (pooled, response),
            // The target had closed the idle connection; a new one shows whether it is reachable.
            Err(CallError::NotSent) if reused => may_run.store(false, Ordering::Relaxed),
            Err(error @ (CallError::NotSent | CallError::Connect(_))) => {
                return Err(AttemptFailure::new(AttemptEnd::NotSent, error.to_string()));
            }
            Err(CallError::Lost(reason)) => {
                return Err(AttemptFailure::broken(format!("no answer: {reason}")));
            }
            Err(error) => return Err(AttemptFailure::new(AttemptEnd::Lost, error.to_string())),
        }
    };
    check_head(shared, outgoing, plan, pooled, response, sent).await
}

async fn check_head(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest,
    plan: AttemptPlan,
    pooled: PooledConnection,
    response: Response<Incoming>,
    sent: Instant,
) -> Result<TargetResponse, AttemptFailure> {
    let framing = framing_of(&response);
    let (parts, body) = response.into_parts();
    let class = shared
        .dialect
        .classify_response(parts.status, &parts.headers, &outgoing.attempt);
    let notice = shared.dialect.read_notice(parts.status, &parts.headers);
    if let Some(pause) = notice.pause {
        log::info!(
            request:% = outgoing.attempt, target_id:% = plan.target.id, born = plan.target.born,
            pause_ms = millis(pause), sent_ms = millis(sent.elapsed()),
            chosen_ms = millis(plan.chosen.elapsed());
            "target asked for a pause"
        );
    }
    shared.record_notice(&plan.target, class, notice);
    let success = match class {
        ResponseClass::Success => true,
        ResponseClass::Failure => false,
        ResponseClass::NotRun | ResponseClass::WrongTarget => {
            let reason = format!("target rejected the request with status {}", parts.status);
            if discard_body(body, plan.deadline.min(Instant::now() + DISCARD_TIME)).await {
                // A copy of a refusal that names no attempt can't be told from a refusal of the next
                // request on the connection, which is therefore closed.
                if shared.dialect.names_attempt(&parts.headers) {
                    pooled.release();
                } else {
                    pooled.close();
                }
            }
            return Err(AttemptFailure::new(AttemptEnd::NotRun, reason));
        }
        ResponseClass::Invalid => {
            let reason = format!("invalid response head with status {}", parts.status);
            return Err(AttemptFailure::new(AttemptEnd::Lost, reason));
        }
    };
    Ok(TargetResponse {
        status: parts.status,
        headers: parts.headers,
        body,
        framing,
        version: plan.target.version.clone(),
        pooled,
        guard: plan.guard,
        sent,
        predicted: plan.predicted,
        success,
    })
}

/// Reads a whole body into memory of `lease`.
///
/// # Errors
///
/// Returns the reason if the body breaks off, is too large or misses the deadline.
pub(super) async fn read_full_body(
    body: Incoming,
    (framing, headers): (Framing, &HeaderMap),
    deadline: Instant,
    lease: &mut BufferLease,
) -> Result<Bytes, String> {
    let mut received = BytesMut::new();
    let reading = read_frames(body, |data| {
        let bytes = received.len() + data.len();
        if bytes > MAX_BUFFERED_BYTES {
            return Err(format!("it has more than {MAX_BUFFERED_BYTES} bytes"));
        }
        lease.resize(bytes).map_err(|e| e.to_string())?;
        received.extend_from_slice(&data);
        Ok(())
    });
    match timeout_at(deadline, reading).await {
        Ok(read) => read?,
        Err(_) => return Err("it came too slowly".to_owned()),
    }
    let content_type = headers.get(CONTENT_TYPE).and_then(|t| t.to_str().ok());
    match check_body(framing, content_type.unwrap_or_default(), &received) {
        Ok(()) => Ok(received.freeze()),
        Err(truncation) => {
            log::info!(framing:%, bytes = received.len(), truncation:%; "response body truncated");
            Err(truncation.to_string())
        }
    }
}

/// Reads a body that nobody needs, so that its connection can be used again; returns whether it ended soon enough.
async fn discard_body(body: Incoming, deadline: Instant) -> bool {
    let mut left = MAX_DISCARDED_BYTES;
    let reading = read_frames(body, |data| {
        left = left.checked_sub(data.len()).ok_or_else(String::new)?;
        Ok(())
    });
    matches!(timeout_at(deadline, reading).await, Ok(Ok(())))
}

/// Reads a body to its end, unless `take` returns an error for a part of it.
async fn read_frames(
    mut body: Incoming,
    mut take: impl FnMut(Bytes) -> Result<(), String>,
) -> Result<(), String> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        if let Ok(data) = frame.into_data() {
            take(data)?;
        }
    }
    Ok(())
}
