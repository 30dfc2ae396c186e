//! Where streams began, so that a stream goes on only at the software version that began it.
//!
//! An entry records the origin of each stream that may be resumed at a few agents, chosen by the
//! attempt that began it. Another entry finds it there when the caller takes the stream up, also
//! after the entry that relayed its beginning has failed.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long an origin is kept, which is longer than any caller waits for its stream.
const ORIGIN_TTL: Duration = Duration::from_mins(1);
/// Most origins that a process keeps; the oldest are dropped first.
const MAX_ORIGINS: usize = 16_384;
/// Number of agents that keep the origin of a stream.
const HOLDERS: usize = 3;

/// The service and software version whose target sent the first event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct StreamOrigin {
    /// The service.
    pub service: Arc<str>,
    /// The version of the target's software.
    pub version: Arc<str>,
}

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
    /// Records the origin of a stream; the first record of an attempt stands.
    pub fn record(&mut self, attempt: Arc<str>, origin: StreamOrigin, now: Timestamp) {
        self.expire(now);
        if self.origins.contains_key(&attempt) {
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

/// Returns the hosts whose agents keep the origin of the stream that an attempt began.
///
/// Each host ranks by a hash of its own with the attempt, so that few origins change their hosts
/// when a host comes or goes.
pub fn origin_holders(attempt: &str, hosts: impl IntoIterator<Item = IpAddr>) -> Vec<IpAddr> {
    let rank = |host: &IpAddr| {
        let seed = xxh3_64_with_seed(host.to_string().as_bytes(), 0);
        Reverse(xxh3_64_with_seed(attempt.as_bytes(), seed))
    };
    let mut hosts: Vec<IpAddr> = hosts.into_iter().collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts.sort_by_cached_key(rank);
    hosts.truncate(HOLDERS);
    hosts
}

/// The targets of a service at which a stream may begin or go on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum StreamScope {
    /// Any target.
    #[default]
    Any,
    /// Targets of one software version.
    Version(Arc<str>),
    /// No target: the stream's version is unknown, and there are several or none.
    Nowhere,
}

impl StreamScope {
    /// Decides where a stream that its caller takes up may go on.
    ///
    /// `versions` are the software versions that the service's targets have or had recently.
    pub fn of_resumed(origin: Option<&StreamOrigin>, versions: &[Arc<str>]) -> Self {
        match (origin, versions) {
            (Some(origin), _) => Self::Version(origin.version.clone()),
            (None, [_]) => Self::Any,
            (None, _) => Self::Nowhere,
        }
    }

    /// Returns whether a stream may go on at a target of this software version.
    pub fn admits(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Version(own) => **own == *version,
            Self::Nowhere => false,
        }
    }
}
