//! The origins of streams that a process knows.
//!
//! An entry records the origin of each stream that may be resumed at a few agents, chosen by the
//! attempt that began it. Another entry finds it there when the caller resumes the stream, also
//! after the entry that relayed its beginning has failed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use kumquatkeel_types::Timestamp;

use super::stream_origin::StreamOrigin;

/// Most origins that a process keeps; those whose time ends first are dropped first.
const MAX_ORIGINS: usize = 16_384;
/// Longest attempt id, in bytes, whose origin is kept; callers choose the ids.
const MAX_ATTEMPT_BYTES: usize = 128;

/// An origin and the time until which its stream may be resumed.
#[derive(Debug, Clone)]
struct Record {
    origin: StreamOrigin,
    until: Timestamp,
}

/// The origins that a process knows, by the attempt that began the stream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{OriginTable, StreamOrigin};
/// use kumquatkeel_types::Timestamp;
///
/// let origin = StreamOrigin { service: "assist".into(), version: "v1".into() };
/// let (now, until) = (Timestamp::ZERO, Timestamp::ZERO.after(Duration::from_secs(15)));
/// let mut table = OriginTable::default();
/// table.record("a1".into(), origin.clone(), until, now);
/// assert_eq!(table.get("a1", now), Some(&origin));
/// assert_eq!(table.get("a1", until), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    records: HashMap<Arc<str>, Record>,
    /// The attempts by the time at which their records end.
    order: BTreeSet<(Timestamp, Arc<str>)>,
}

impl OriginTable {
    /// Records the origin of a stream that may be resumed until `until`. The first origin of an attempt
    /// stands, for the longest time that is recorded; an overlong attempt id is ignored.
    pub fn record(
        &mut self,
        attempt: Arc<str>,
        origin: StreamOrigin,
        until: Timestamp,
        now: Timestamp,
    ) {
        self.expire(now);
        if attempt.len() > MAX_ATTEMPT_BYTES || until <= now {
            return;
        }
        if let Some(record) = self.records.get_mut(&attempt) {
            if record.until < until {
                self.order.remove(&(record.until, attempt.clone()));
                self.order.insert((until, attempt));
                record.until = until;
            }
            return;
        }
        self.order.insert((until, attempt.clone()));
        self.records.insert(attempt, Record { origin, until });
        if self.records.len() > MAX_ORIGINS {
            self.drop_first();
        }
    }

    /// Returns the origin of the stream that an attempt began, if it is known.
    pub fn get(&mut self, attempt: &str, now: Timestamp) -> Option<&StreamOrigin> {
        self.expire(now);
        self.records.get(attempt).map(|record| &record.origin)
    }

    /// Returns the origin of the stream that an attempt began, and until when the stream may be resumed.
    pub fn get_until(
        &mut self,
        attempt: &str,
        now: Timestamp,
    ) -> Option<(&StreamOrigin, Timestamp)> {
        self.expire(now);
        let record = self.records.get(attempt)?;
        Some((&record.origin, record.until))
    }

    /// Returns all known origins, and until when their streams may be resumed.
    pub fn iter(
        &mut self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&Arc<str>, &StreamOrigin, Timestamp)> {
        self.expire(now);
        let records = self.records.iter();
        records.map(|(attempt, record)| (attempt, &record.origin, record.until))
    }

    fn expire(&mut self, now: Timestamp) {
        while (self.order.first()).is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, attempt)) = self.order.pop_first() {
            self.records.remove(&attempt);
        }
    }
}
