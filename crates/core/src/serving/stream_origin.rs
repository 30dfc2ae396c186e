//! Where a stream began, and which agents keep that.

use std::cmp::Reverse;
use std::net::IpAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
