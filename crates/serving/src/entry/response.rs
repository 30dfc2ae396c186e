//! Responses to callers: the body type, and the responses that the entry makes itself.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use kumquatkeel_daemon::buffer::BufferedBody;

/// The body of a response to a caller.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Makes a body from a complete buffer.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes a body from a target's, which has been buffered.
pub(super) fn buffered_body(body: BufferedBody) -> ResponseBody {
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Makes a response with a status and a short text.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

/// Makes a 401 response: the request's key is missing or unknown.
pub(super) fn unauthorized_response() -> Response<ResponseBody> {
    text_response(StatusCode::UNAUTHORIZED, "unknown key\n")
}

/// Makes a 503 response: the request has not run, and `Retry-After` says when to send it again.
pub(super) fn not_run_response(
    text: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    retry_response(StatusCode::SERVICE_UNAVAILABLE, text, retry_after)
}

/// Makes a 429 response: the request has not run as its account is over its limit, and `Retry-After` says
/// when to send it again.
pub(super) fn over_limit_response(retry_after: Duration) -> Response<ResponseBody> {
    let text = "the account is over its limit\n";
    retry_response(StatusCode::TOO_MANY_REQUESTS, text, retry_after)
}

fn retry_response(
    status: StatusCode,
    text: &'static str,
    retry_after: Duration,
) -> Response<ResponseBody> {
    let mut response = text_response(status, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
