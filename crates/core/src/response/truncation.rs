//! Whether the body of a response is whole when the transport reports its end.

use derive_more::{Display, Error};
use serde::de::IgnoredAny;

use super::{EventScanner, Framing};

/// Why a body is not whole although the transport reported its end as orderly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum Truncation {
    /// The last event is incomplete.
    #[display("the stream ended inside an event")]
    InsideEvent,
    /// A stream without an end mark has no event.
    #[display("the stream ended without an event")]
    NoEvent,
    /// A JSON body without an end mark is no JSON value.
    #[display("the JSON body is incomplete")]
    IncompleteJson,
}

/// Checks whether an event stream is whole.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::response::{EventStreamCheck, Framing, Truncation};
///
/// let mut check = EventStreamCheck::new(Framing::Connection);
/// check.push(b"data: a\n\nda");
/// assert_eq!(check.end(), Err(Truncation::InsideEvent));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventStreamCheck {
    framing: Framing,
    scanner: EventScanner,
}

impl EventStreamCheck {
    /// Creates the check of a stream of which nothing has been received.
    pub fn new(framing: Framing) -> Self {
        Self {
            framing,
            scanner: EventScanner::default(),
        }
    }

    /// Scans the next bytes and returns how many of them belong to events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        self.scanner.push(bytes)
    }

    /// Returns how the end of the stream is marked.
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns the position in the stream.
    pub const fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Decides at the end that the transport reports whether the stream is whole.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not whole.
    pub const fn end(&self) -> Result<(), Truncation> {
        if self.scanner.is_inside_event() {
            return Err(Truncation::InsideEvent);
        }
        match self.framing {
            // A crash before the first event is no empty stream.
            Framing::Connection if self.scanner.events() == 0 => Err(Truncation::NoEvent),
            Framing::Connection | Framing::Delimited => Ok(()),
        }
    }
}

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
        check.push(body);
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
