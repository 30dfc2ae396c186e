//! Commits configuration documents to the platform's object store.

use std::sync::Arc;

use async_trait::async_trait;
use kumquatkeel_daemon::config::{
    CommitOutcome, ConfigConflict, ConfigError, Proposal, commit_document,
};
use kumquatkeel_platform::{ObjectStore, WriteIdGenerator};
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest};

use super::DocumentCommitter;

/// Commits a document by one conditional write of the configuration's head object.
pub struct StoreCommitter {
    store: Arc<dyn ObjectStore>,
    ids: WriteIdGenerator,
}

impl StoreCommitter {
    /// Creates a committer that writes to `store` under ids from `ids`.
    pub const fn new(store: Arc<dyn ObjectStore>, ids: WriteIdGenerator) -> Self {
        Self { store, ids }
    }
}

#[async_trait]
impl DocumentCommitter for StoreCommitter {
    async fn apply(&self, request: ApplyRequest) -> ApplyReply {
        let proposal = Proposal {
            document: request.document,
            base: request.base,
        };
        match commit_document(&*self.store, &self.ids, proposal).await {
            Ok(CommitOutcome::Committed(revision) | CommitOutcome::Unchanged(revision)) => {
                ApplyReply::Committed { revision }
            }
            Ok(CommitOutcome::Conflict(conflict)) => conflict_reply(*conflict),
            Err(ConfigError::Invalid(faults)) => ApplyReply::Invalid { faults },
            Err(error @ ConfigError::Unresolved(_)) => ApplyReply::Unknown {
                reason: error.to_string(),
            },
            Err(error) => ApplyReply::StoreUnavailable {
                reason: error.to_string(),
            },
        }
    }
}

fn conflict_reply(conflict: ConfigConflict) -> ApplyReply {
    ApplyReply::Conflict {
        revision: conflict.current.unwrap_or_default(),
        changes: conflict
            .theirs
            .into_iter()
            .flat_map(|delta| delta.changes)
            .collect(),
    }
}
