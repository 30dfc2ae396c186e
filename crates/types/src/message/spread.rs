//! Long polls by which configuration and member reports reach all processes through relays.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Member;

use crate::document::{Delta, RawDocument};
use crate::{DataCentreName, Revision};

/// Asks a relay for the configuration and the member reports that the sender lacks.
///
/// The relay delays its reply until there is an update or `wait_ms` has passed. Each poll is also
/// the sender's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PollRequest {
    /// The sender's own status report.
    pub member: Member,
    /// The configuration revision of the sender; `None` before it has one.
    pub revision: Option<Revision>,
    /// The digest of that configuration; ignored without a revision.
    pub digest: u64,
    /// The position in the relay's sequence of member updates up to which the sender has them.
    pub position: u64,
    /// Identifies the run of the relay that `position` belongs to, as in its last reply.
    ///
    /// Positions of different runs of a relay are not comparable.
    pub relay_life: u64,
    /// Upper bound on the delay of the reply, in milliseconds.
    pub wait_ms: u64,
    /// Updated reports of processes that report through the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<Member>,
    /// Whether the sender's target status is left out of `member` because it has not changed since
    /// the sender last reported it to this relay.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub same_target: bool,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration's revision.
    pub revision: Revision,
    /// The configuration's digest.
    pub digest: u64,
    /// The document of the configuration.
    pub document: Arc<RawDocument>,
}

/// The update that brings the sender to the relay's configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// No update: the relay has no newer configuration.
    Current,
    /// The changes since the sender's revision, in order.
    Deltas(Vec<Delta>),
    /// The complete configuration, because the sender has none, its digest differs, or the changes
    /// since its revision are no longer retained.
    Snapshot(Snapshot),
}

/// A relay's reply to a poll.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollReply {
    /// The configuration update.
    pub config: ConfigUpdate,
    /// Member reports after the sender's position.
    pub members: Vec<Member>,
    /// The position in the relay's sequence of member updates after these reports.
    pub position: u64,
    /// Identifies the run of the relay that `position` belongs to.
    pub relay_life: u64,
    /// The data centres that are unreachable from the relays at present.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<DataCentreName>,
}
