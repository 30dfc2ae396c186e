//! The body of a caller's request, within size and time limits.

use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::de::DeserializeOwned;

use super::answer::refused;

/// Reads a body of at most `most` bytes that its sender finishes within `time`.
pub(super) async fn read_body(body: Body, most: usize, time: Duration) -> Result<Bytes, ErrorBody> {
    let invalid = |reason: String| refused(ErrorCode::InvalidRequest, format!("body: {reason}"));
    let reading = Limited::new(body, most).collect();
    match tokio::time::timeout(time, reading).await {
        Err(_) => Err(invalid(format!(
            "is not complete after {} ms",
            time.as_millis()
        ))),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(invalid(format!("is over {most} bytes")))
        }
        Ok(Err(_)) => Err(invalid("broke off".into())),
        Ok(Ok(content)) => Ok(content.to_bytes()),
    }
}

/// Reads JSON into a type, and names the wrong field.
pub(super) fn read_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, ErrorBody> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let field = if path.starts_with(['.', '?']) {
            "body"
        } else {
            &path
        };
        let reason = error.inner();
        refused(ErrorCode::InvalidRequest, format!("{field}: {reason}"))
    })?;
    json.end()
        .map_err(|error| refused(ErrorCode::InvalidRequest, format!("body: {error}")))?;
    Ok(value)
}
