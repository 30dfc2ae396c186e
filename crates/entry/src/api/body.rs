//! Reads request bodies within limits of size and time, and parses them.

use std::sync::Arc;

use bytes::Bytes;
use dropshot::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use kumquatkeel_types::{ErrorBody, ErrorCode};
use serde::de::DeserializeOwned;

use super::responses::{not_run, refused};
use super::serve::RETRY_DELAY;
use crate::EntryState;
use crate::path::TimeLimit;

/// Reads a body of at most `max_bytes` bytes that arrives completely within the time of the settings
/// and before the end of a stop.
pub(super) async fn read_body(
    state: &Arc<EntryState>,
    body: Body,
    max_bytes: usize,
) -> Result<Bytes, ErrorBody> {
    let max_time = state.settings.body_timeout;
    let limit = TimeLimit::new(state.clone(), state.clock.now().after(max_time));
    let invalid = |reason: String| refused(ErrorCode::InvalidRequest, format!("body: {reason}"));
    let reading = Limited::new(body, max_bytes).collect();
    match limit.bound(reading).await {
        Err(ErrorCode::Draining) => {
            let message = "this entry is stopping";
            Err(not_run(ErrorCode::Draining, message, RETRY_DELAY))
        }
        Err(_) => Err(invalid(format!(
            "is not complete after {} ms",
            max_time.as_millis()
        ))),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(invalid(format!("is over {max_bytes} bytes")))
        }
        Ok(Err(_)) => Err(invalid("broke off".into())),
        Ok(Ok(content)) => Ok(content.to_bytes()),
    }
}

/// Parses a JSON body; an error names the field that is at fault.
pub(super) fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, ErrorBody> {
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
