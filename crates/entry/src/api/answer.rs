//! Answers to callers: statuses, outcome headers and error bodies.
//!
//! | outcome | code | status |
//! |---|---|---|
//! | `done` | | 200, or the plain service's own |
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

/// The header that names an answer's outcome.
pub const OUTCOME_HEADER: &str = "kumquatkeel-outcome";
/// The header that names the request, as in the logs.
pub const REQUEST_HEADER: &str = "kumquatkeel-request";
/// The content type of JSON.
const JSON: &str = "application/json";

/// Makes the body of a refusal: the request is wrong, and sending it again changes nothing.
pub fn refused(code: ErrorCode, message: impl Into<String>) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Refused,
        code,
        message: message.into(),
        request: None,
        retry_after_ms: None,
    }
}

/// Makes the body for a request that was not run and may be sent again.
pub fn not_run(code: ErrorCode, message: impl Into<String>, after: Duration) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::NotRun,
        code,
        message: message.into(),
        request: None,
        retry_after_ms: Some(after.as_millis() as u64),
    }
}

/// Returns the status for an error body.
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

/// Makes the answer for an error body.
pub fn error_answer(body: &ErrorBody) -> Response<Body> {
    let mut response = json_answer(status_of(body), body.outcome, body);
    if let Some(after) = body.retry_after_ms {
        let seconds = HeaderValue::from(after.div_ceil(1_000));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    if body.code == ErrorCode::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(request) = &body.request {
        name_request(&mut response, request);
    }
    response
}

/// Makes an answer with a JSON body.
pub fn json_answer(status: StatusCode, outcome: Outcome, body: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static(JSON);
    response.headers_mut().insert(CONTENT_TYPE, json);
    name_outcome(&mut response, outcome);
    response
}

/// Names the outcome in an answer's headers.
pub fn name_outcome(response: &mut Response<Body>, outcome: Outcome) {
    let value = match outcome {
        Outcome::Done => "done",
        Outcome::Refused => "refused",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    let value = HeaderValue::from_static(value);
    response.headers_mut().insert(OUTCOME_HEADER, value);
}

/// Names the request in an answer's headers.
pub fn name_request(response: &mut Response<Body>, request: &RequestId) {
    if let Ok(value) = HeaderValue::try_from(request.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
}
