//! The parts of an entry's state that operators read: member reports and request counts.

use std::sync::Arc;

use kumquatkeel_types::document::Service;
use kumquatkeel_types::message::Member;
use kumquatkeel_types::operator::{BurnCounts, ServiceCounts, StatusReport};

use super::{EntryState, lock};
use crate::operator::{DocumentCommitter, NoCommitter};

impl EntryState {
    /// Sets the committer for operators' documents; later calls have no effect.
    pub fn set_committer(&self, committer: Arc<dyn DocumentCommitter>) {
        let _ = self.committer.set(committer);
    }

    /// Returns the committer for operators' documents, or [`NoCommitter`] if none is set.
    pub(crate) fn committer(&self) -> Arc<dyn DocumentCommitter> {
        self.committer
            .get()
            .cloned()
            .unwrap_or_else(|| Arc::new(NoCommitter))
    }

    /// Returns the active revision and the newest report of each process.
    pub fn status(&self) -> StatusReport {
        StatusReport {
            revision: self.revision().unwrap_or_default(),
            members: lock(&self.members).values().cloned().collect(),
        }
    }

    /// Stores a process's report unless a newer one is stored already.
    pub(super) fn store_member(&self, member: &Member) {
        let mut members = lock(&self.members);
        let is_newer = members
            .get(&member.role)
            .is_none_or(|old| old.version <= member.version);
        if is_newer {
            members.insert(member.role.clone(), member.clone());
        }
    }

    /// Returns the counts of requests that this entry has finished, per service and window.
    pub fn burn_counts(&self) -> BurnCounts {
        let now = self.clock.now();
        let Some(document) = self.document() else {
            return BurnCounts::default();
        };
        let counts = |service: &Service| ServiceCounts {
            service: service.name.clone(),
            objective: service.objective,
            windows: lock(&self.service(service).burn).counts(now),
        };
        BurnCounts {
            services: document.services.iter().map(counts).collect(),
        }
    }
}
