//! The ids of a stream's events, which grow over all runs of the stream.

use derive_more::{Display, Error};

/// An event's id does not grow, so that it is of a run that doesn't continue the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("event {id} follows event {last}")]
pub struct EventIdFault {
    /// The id of the last event before.
    pub last: u64,
    /// The id of the event.
    pub id: u64,
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
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventIds {
    last: Option<u64>,
}

impl EventIds {
    /// Creates the check of a stream that continues after an event; `None` for a new stream.
    pub const fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the id of the last event; `None` before the first.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the ids of complete events; events without a numeric id are passed over.
    ///
    /// # Errors
    ///
    /// Returns the first id that does not grow; the last id is then that before all of `events`.
    pub fn check(&mut self, events: &[u8]) -> Result<(), EventIdFault> {
        let mut latest = self.last;
        for id in events
            .split(|b| matches!(b, b'\n' | b'\r'))
            .filter_map(event_id)
        {
            if let Some(last) = latest.filter(|last| id <= *last) {
                return Err(EventIdFault { last, id });
            }
            latest = Some(id);
        }
        self.last = latest;
        Ok(())
    }
}

fn event_id(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
