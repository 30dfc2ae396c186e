//! Whether a body that was read to the end is whole.

use serde::de::IgnoredAny;

use super::{EventStreamCheck, Framing, Truncation};

/// Decides whether a body that was read to the end is whole, by its content type.
///
/// A body without an end mark whose type does not show its end is taken as whole, as HTTP defines
/// it; the transport reports a connection that was reset.
///
/// # Errors
///
/// Returns why the body is not whole.
pub fn check_body(framing: Framing, content_type: &str, body: &[u8]) -> Result<(), Truncation> {
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    if media_type.eq_ignore_ascii_case("text/event-stream") {
        let mut check = EventStreamCheck::new(framing);
        check.push(body)?;
        return check.end();
    }
    let is_json = media_type.eq_ignore_ascii_case("application/json");
    if framing == Framing::Connection && is_json {
        return serde_json::from_slice(body)
            .map(|IgnoredAny| ())
            .map_err(|_| Truncation::IncompleteJson);
    }
    Ok(())
}
