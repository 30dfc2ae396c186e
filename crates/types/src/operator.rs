//! Requests and replies of an entry's operator API.
//!
//! | path | method | body | answer |
//! |---|---|---|---|
//! | `/operator/document` | GET | | [`CurrentDocument`] |
//! | `/operator/document` | PUT | [`ApplyRequest`] | 200 [`ApplyReply`] |
//! | `/operator/status` | GET | | [`StatusReport`] |
//! | `/operator/burn` | GET | | [`BurnCounts`] |

use serde::{Deserialize, Serialize};

use crate::document::{Change, Faults, RawDocument};
use crate::message::{Member, MemberState};
use crate::{Revision, ServiceName};

/// The configuration in force at the entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CurrentDocument {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The document of the configuration.
    pub document: RawDocument,
}

/// Asks an entry to replace the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision on which the new document is based; `None` if there is no configuration yet.
    pub base: Option<Revision>,
    /// The complete new document.
    pub document: RawDocument,
}

/// The result of an attempt to replace the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyReply {
    /// The document was committed, and is being distributed to all processes.
    Committed {
        /// The revision of the new document.
        revision: Revision,
    },
    /// The document has faults; nothing was committed.
    Invalid {
        /// All faults of the document.
        faults: Faults,
    },
    /// The configuration has changed since the base revision; nothing was committed.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// The changes since the base revision.
        changes: Vec<Change>,
    },
    /// The store is unavailable; nothing was committed.
    StoreUnavailable {
        /// The cause, for human readers.
        reason: String,
    },
    /// The store's reply was lost, so the document may have been committed; read the document again
    /// before a retry.
    Unknown {
        /// The cause, for human readers.
        reason: String,
    },
}

/// The state of all processes, as one entry knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The configuration revision that the entry has applied.
    pub revision: Revision,
    /// The latest report of each process that the entry knows of.
    pub members: Vec<Member>,
}

impl StatusReport {
    /// Returns the processes that have not applied the entry's revision yet, without those that are
    /// gone.
    pub fn lagging(&self) -> impl Iterator<Item = &Member> {
        let revision = self.revision;
        self.members
            .iter()
            .filter(move |m| m.state != MemberState::Gone && m.revision < revision)
    }
}

/// Request counts of one time window, from which the burn report computes the burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// The window's length, in seconds.
    pub window_s: u64,
    /// Number of requests answered completely and within the service's limits.
    pub good: u64,
    /// Number of all other requests.
    pub bad: u64,
}

/// The request counts of one service at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The service.
    pub service: ServiceName,
    /// The share of requests that should be good, from the configuration.
    pub objective: f64,
    /// The counts by window, the shortest window first.
    pub windows: Vec<WindowCount>,
}

/// The request counts of all services at one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// One item per service.
    pub services: Vec<ServiceCounts>,
}
