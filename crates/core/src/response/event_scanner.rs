//! Finds the boundaries of server-sent events in a stream of bytes.

/// Finds the boundaries of server-sent events in a stream that arrives in pieces.
///
/// An event ends with an empty line. Lines end with a line feed, a carriage return or both.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::response::EventScanner;
///
/// let mut scanner = EventScanner::default();
/// assert_eq!(scanner.push(b"data: a\n\nda"), 9);
/// assert!(scanner.is_inside_event());
/// assert_eq!(scanner.push(b"ta: b\n\n"), 7);
/// assert!(!scanner.is_inside_event());
/// assert_eq!(scanner.events(), 2);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventScanner {
    events: u64,
    inside_event: bool,
    inside_line: bool,
    /// Bytes since the last complete event.
    pending: usize,
    /// Whether the last byte was a carriage return; a line feed after it ends no further line.
    after_return: bool,
}

impl EventScanner {
    /// Scans the next bytes and returns how many of them belong to events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        let mut complete = 0;
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.after_return => self.after_return = false,
                b'\n' | b'\r' => {
                    self.after_return = *byte == b'\r';
                    if !self.inside_line && self.inside_event {
                        self.inside_event = false;
                        self.events += 1;
                    }
                    self.inside_line = false;
                }
                _ => {
                    self.after_return = false;
                    self.inside_line = true;
                    self.inside_event = true;
                }
            }
            if !self.inside_event {
                complete = index + 1;
            }
        }
        self.pending = match complete {
            0 => self.pending.saturating_add(bytes.len()),
            complete => bytes.len() - complete,
        };
        complete
    }

    /// Returns the number of complete events.
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of bytes since the last complete event.
    pub const fn pending(&self) -> usize {
        self.pending
    }

    /// Returns whether the last event is incomplete.
    pub const fn is_inside_event(&self) -> bool {
        self.inside_event
    }
}
