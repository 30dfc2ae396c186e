//! What an entry answers to operators.
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
    /// Its revision.
    pub revision: Revision,
    /// The document.
    pub document: RawDocument,
}

/// Asks to replace the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The revision that the operator's document was made from; none when there is no document yet.
    pub base: Option<Revision>,
    /// The whole new document.
    pub document: RawDocument,
}

/// What became of an attempt to replace the configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyReply {
    /// The document was committed at this revision; it spreads from now on.
    Committed {
        /// The revision.
        revision: Revision,
    },
    /// The document has faults; nothing was committed.
    Invalid {
        /// All faults.
        faults: Faults,
    },
    /// Another operator was first; nothing was committed.
    Conflict {
        /// The revision in force.
        revision: Revision,
        /// What changed since the base.
        changes: Vec<Change>,
    },
    /// The store can't be reached; nothing was committed.
    StoreUnavailable {
        /// The cause.
        reason: String,
    },
    /// The store's answer was lost; read the document again before another attempt.
    Unknown {
        /// The cause.
        reason: String,
    },
}

/// What an entry knows of the whole system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The entry's own configuration revision.
    pub revision: Revision,
    /// The reports of all processes known to the entry.
    pub members: Vec<Member>,
}

impl StatusReport {
    /// Returns the processes that do not work from the entry's revision yet.
    pub fn lagging(&self) -> impl Iterator<Item = &Member> {
        let revision = self.revision;
        self.members
            .iter()
            .filter(move |m| m.state != MemberState::Gone && m.revision < revision)
    }
}

/// Requests of one window, for the burn report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCount {
    /// The window's length, in seconds.
    pub window_s: u64,
    /// Requests answered whole within their limits.
    pub good: u64,
    /// All other requests.
    pub bad: u64,
}

/// One service's requests at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// The service.
    pub service: ServiceName,
    /// The share of requests that shall be good.
    pub objective: f64,
    /// The windows, the shortest first.
    pub windows: Vec<WindowCount>,
}

/// The requests of all services at one entry.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnCounts {
    /// The services.
    pub services: Vec<ServiceCounts>,
}
