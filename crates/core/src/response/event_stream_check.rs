//! Whether an event stream is whole when the transport reports its end.

use super::{EventScanner, Framing, Truncation};

/// Largest event, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Checks whether an event stream is whole.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::response::{EventStreamCheck, Framing, Truncation};
///
/// let mut check = EventStreamCheck::new(Framing::Connection);
/// assert_eq!(check.push(b"data: a\n\nda"), Ok(9));
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
    ///
    /// # Errors
    ///
    /// Returns [`Truncation::OversizedEvent`] if an event has more than [`MAX_EVENT_BYTES`] without
    /// an end: the stream may never have one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<usize, Truncation> {
        let complete = self.scanner.push(bytes);
        if self.scanner.pending() > MAX_EVENT_BYTES {
            return Err(Truncation::OversizedEvent);
        }
        Ok(complete)
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
