//! Responses to callers: status codes, outcome headers and error bodies.
//!
//! | outcome | code | status |
//! |---|---|---|
//! | `done` | | 200, or the status of the plain service |
//! | `refused` | `invalid_request` | 400 |
//! | `refused` | `unauthorized` | 401 |
//! | `refused` | `forbidden` | 403 |
//! | `refused` | `not_found` | 404 |
//! | `refused` | `key_reused` | 422 |
//! | `refused` | `key_expired` | 410 |
//! | `not_run` | `overloaded` | 429 |
//! | `not_run` | `deadline`, `unavailable`, `store_unavailable`, `draining` | 503 |
//! | `unknown` | `deadline` | 504 |
//! | `unknown` | any other | 502 |

use std::time::Duration;

use dropshot::Body;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, RequestId};
use serde::Serialize;

/// The response header with the outcome.
pub const OUTCOME_HEADER: &str = "kumquatkeel-outcome";
/// The response header with the request id, as it appears in the logs.
pub const REQUEST_HEADER: &str = "kumquatkeel-request";
const JSON_TYPE: &str = "application/json";

/// Builds the error body for an invalid request, which would fail again if repeated.
pub fn refused(code: ErrorCode, message: impl Into<String>) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Refused,
        code,
        message: message.into(),
        request: None,
        retry_after_ms: None,
    }
}

/// Builds the error body for a request that was not run and may be repeated after `after`.
pub fn not_run(code: ErrorCode, message: impl Into<String>, after: Duration) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::NotRun,
        code,
        message: message.into(),
        request: None,
        retry_after_ms: Some(after.as_millis() as u64),
    }
}

/// Returns the status code for an error body; see the table of the module.
pub const fn status_of(body: &ErrorBody) -> StatusCode {
    match (body.outcome, body.code) {
        (Outcome::Refused, ErrorCode::Unauthorized) => StatusCode::UNAUTHORIZED,
        (Outcome::Refused, ErrorCode::Forbidden) => StatusCode::FORBIDDEN,
        (Outcome::Refused, ErrorCode::NotFound) => StatusCode::NOT_FOUND,
        (Outcome::Refused, ErrorCode::KeyReused) => StatusCode::UNPROCESSABLE_ENTITY,
        (Outcome::Refused, ErrorCode::KeyExpired) => StatusCode::GONE,
        (Outcome::Refused, _) => StatusCode::BAD_REQUEST,
        (Outcome::NotRun, ErrorCode::Overloaded) => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, ErrorCode::Deadline) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Unknown | Outcome::Done, _) => StatusCode::BAD_GATEWAY,
    }
}

/// Builds the response for an error body.
///
/// It has `Retry-After` if the body has a delay, and closes the connection to a draining entry.
pub fn error_response(body: &ErrorBody) -> Response<Body> {
    let mut response = json_response(status_of(body), body.outcome, body);
    if let Some(after) = body.retry_after_ms {
        let seconds = HeaderValue::from(after.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    if body.code == ErrorCode::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(request) = &body.request {
        set_request_id(&mut response, request);
    }
    response
}

/// Builds a response with a JSON body.
pub fn json_response(
    status: StatusCode,
    outcome: Outcome,
    body: &impl Serialize,
) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static(JSON_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, json);
    set_outcome(&mut response, outcome);
    response
}

/// Sets [`OUTCOME_HEADER`].
pub fn set_outcome(response: &mut Response<Body>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Done => "done",
        Outcome::Refused => "refused",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    let value = HeaderValue::from_static(value);
    response.headers_mut().insert(OUTCOME_HEADER, value);
}

/// Sets [`REQUEST_HEADER`].
pub fn set_request_id(response: &mut Response<Body>, request: &RequestId) {
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
}
