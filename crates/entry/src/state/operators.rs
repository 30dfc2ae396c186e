//! What operators see of an entry's state.

use std::sync::Arc;

use kumquatkeel_types::document::Service;
use kumquatkeel_types::message::Member;
use kumquatkeel_types::operator::{BurnCounts, ServiceCounts, StatusReport};

use super::{EntryState, lock};
use crate::operator::{NoDesk, OperatorDesk};

impl EntryState {
    /// Connects the desk at which operators commit documents; only the first one counts.
    pub fn connect_desk(&self, desk: Arc<dyn OperatorDesk>) {
        let _ = self.desk.set(desk);
    }

    /// Returns the desk at which operators commit documents.
    pub(crate) fn desk(&self) -> Arc<dyn OperatorDesk> {
        self.desk.get().cloned().unwrap_or_else(|| Arc::new(NoDesk))
    }

    /// Returns the revision in force here and the newest report of each process.
    pub fn status(&self) -> StatusReport {
        StatusReport {
            revision: self.revision().unwrap_or_default(),
            members: lock(&self.members).values().cloned().collect(),
        }
    }

    pub(super) fn keep_member(&self, member: &Member) {
        let mut members = lock(&self.members);
        let is_newer = members
            .get(&member.role)
            .is_none_or(|old| old.version <= member.version);
        if is_newer {
            members.insert(member.role.clone(), member.clone());
        }
    }

    /// Returns the request counts of each service, as this entry has seen them.
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
