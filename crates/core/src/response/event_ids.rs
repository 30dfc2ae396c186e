//! The ids of a stream's events, which grow over all runs of the stream.

use derive_more::{Display, Error};

/// An event is of a run that doesn't continue the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum EventIdFault {
    /// The id of an event does not grow.
    #[display("event {id} follows event {last}")]
    Repeated {
        /// The id of the last event before.
        last: u64,
        /// The id of the event.
        id: u64,
    },
    /// An event that should continue the stream has no numeric id.
    #[display("an event without an id should continue the stream")]
    Missing,
}

/// Checks that event ids grow, and keeps the last one.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::response::EventIds;
///
/// let mut ids = EventIds::after(Some(2));
/// assert!(ids.check(b"id: 3\ndata: a\n\n").is_ok());
/// assert!(ids.check(b"id: 1\ndata: b\n\n").is_err());
/// assert_eq!(ids.last(), Some(3));
/// ids.require();
/// assert!(ids.check(b"data: an error\n\n").is_err());
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventIds {
    last: Option<u64>,
    required: bool,
}

impl EventIds {
    /// Creates the check of a stream that continues after an event; `None` for a new stream.
    pub const fn after(last: Option<u64>) -> Self {
        Self {
            last,
            required: false,
        }
    }

    /// Requires an id of each event from now on: the run that follows was asked to continue the stream, and
    /// what has none may be an error that its target reports.
    pub const fn require(&mut self) {
        self.required = true;
    }

    /// Returns the id of the last event; `None` before the first.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the ids of complete events; those without a numeric id are passed over unless one is required.
    /// Comments alone are no event.
    ///
    /// # Errors
    ///
    /// Returns the first fault; the last id is then that before all of `events`.
    pub fn check(&mut self, events: &[u8]) -> Result<(), EventIdFault> {
        let mut latest = self.last;
        // Whether the event at hand has a field, and whether it has an id.
        let (mut has_field, mut has_id) = (false, false);
        for line in lines(events) {
            if line.is_empty() {
                if self.required && has_field && !has_id {
                    return Err(EventIdFault::Missing);
                }
                (has_field, has_id) = (false, false);
                continue;
            }
            has_field |= !line.starts_with(b":");
            let Some(id) = event_id(line) else { continue };
            has_id = true;
            if let Some(last) = latest.filter(|last| id <= *last) {
                return Err(EventIdFault::Repeated { last, id });
            }
            latest = Some(id);
        }
        self.last = latest;
        Ok(())
    }
}

/// Returns the lines of a text, which end with a line feed, a carriage return or both.
fn lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let end = rest.iter().position(|b| matches!(b, b'\n' | b'\r'))?;
        let line = &rest[..end];
        let is_pair = rest[end..].starts_with(b"\r\n");
        rest = &rest[end + 1 + usize::from(is_pair)..];
        Some(line)
    })
}

fn event_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
