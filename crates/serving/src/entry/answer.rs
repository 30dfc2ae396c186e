//! Answers of the entry itself.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The body of an answer to a caller.
pub(super) type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// Wraps whole bytes as a body.
pub(super) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers with a status and a short text.
pub(super) fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    response
}

/// Says that the request has not run and when the caller should return.
pub(super) fn not_run(text: &'static str, retry_after: Duration) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
