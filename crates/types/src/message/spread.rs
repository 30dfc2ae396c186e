//! The spread of configuration and member reports from relays to all processes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Member;

use crate::document::{Delta, RawDocument};
use crate::{DataCentreName, Revision};

/// Asks a relay for whatever is newer than the sender's state.
///
/// The relay holds the answer back until there is something to tell or `wait_ms` has passed, so
/// that a waiting poll is also the sender's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PollRequest {
    /// The sender's report of itself.
    pub member: Member,
    /// The configuration revision that the sender works from; none before the first.
    pub revision: Option<Revision>,
    /// The digest of that configuration.
    pub digest: u64,
    /// The relay's position up to which the sender has member reports.
    pub position: u64,
    /// The relay's life that `position` belongs to, as told in its last answer.
    pub relay_life: u64,
    /// The longest time to wait, in milliseconds.
    pub wait_ms: u64,
    /// News about processes that report through the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Member>,
    /// Whether the sender's target is as it last told this relay, and left out here.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub same_target: bool,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration's revision.
    pub revision: Revision,
    /// The configuration's digest.
    pub digest: u64,
    /// The configuration.
    pub document: Arc<RawDocument>,
}

/// What leads a process to the relay's configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The sender is up to date.
    Current,
    /// The changes since the sender's revision, in order.
    Deltas(Vec<Delta>),
    /// The whole configuration, because the changes are no longer kept.
    Snapshot(Snapshot),
}

/// A relay's answer to a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// The configuration update.
    pub config: ConfigUpdate,
    /// Member reports after the sender's position.
    pub members: Vec<Member>,
    /// The position up to which the reports reach.
    pub position: u64,
    /// The relay's life that `position` belongs to.
    pub relay_life: u64,
    /// The data centres that the relays can't reach at present.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<DataCentreName>,
}
