//! The origins of streams that a process knows.
//!
//! An entry records the origin of each stream that may be resumed at a few agents, chosen by the
//! attempt that began it. Another entry finds it there when the caller resumes the stream, also
//! after the entry that relayed its beginning has failed.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::stream_origin::StreamOrigin;

/// How long an origin is kept, which is longer than any caller waits for its stream.
const ORIGIN_TTL: Duration = Duration::from_mins(1);
/// Most origins that a process keeps; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;
/// Longest attempt id, in bytes, whose origin is kept; callers choose the ids.
const MAX_ATTEMPT_BYTES: usize = 128;

/// The origins that a process knows, by the attempt that began the stream.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::serving::{OriginTable, StreamOrigin};
/// use kumquatkeel_types::Timestamp;
///
/// let origin = StreamOrigin { service: "assist".into(), version: "v1".into() };
/// let mut table = OriginTable::default();
/// table.record("a1".into(), origin.clone(), Timestamp::ZERO);
/// assert_eq!(table.get("a1", Timestamp::ZERO), Some(&origin));
/// ```
#[derive(Debug, Clone, Default)]
pub struct OriginTable {
    origins: HashMap<Arc<str>, StreamOrigin>,
    /// The attempts by the time at which they were recorded.
    order: VecDeque<(Timestamp, Arc<str>)>,
}

impl OriginTable {
    /// Records the origin of a stream; the first record of an attempt stands, and an overlong
    /// attempt id is ignored.
    pub fn record(&mut self, attempt: Arc<str>, origin: StreamOrigin, now: Timestamp) {
        self.expire(now);
        if attempt.len() > MAX_ATTEMPT_BYTES || self.origins.contains_key(&attempt) {
            return;
        }
        if self.order.len() >= MAX_ORIGINS {
            self.drop_oldest();
        }
        self.order.push_back((now, attempt.clone()));
        self.origins.insert(attempt, origin);
    }

    /// Returns the origin of the stream that an attempt began, if it is known.
    pub fn get(&mut self, attempt: &str, now: Timestamp) -> Option<&StreamOrigin> {
        self.expire(now);
        self.origins.get(attempt)
    }

    /// Returns all known origins.
    pub fn iter(&mut self, now: Timestamp) -> impl Iterator<Item = (&Arc<str>, &StreamOrigin)> {
        self.expire(now);
        self.origins.iter()
    }

    fn expire(&mut self, now: Timestamp) {
        while (self.order.front()).is_some_and(|(at, _)| now.since(*at) >= ORIGIN_TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, attempt)) = self.order.pop_front() {
            self.origins.remove(&attempt);
        }
    }
}
