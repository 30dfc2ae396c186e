//! The configuration and the daemons' incarnations in the platform's store.

mod commit;
mod error;
mod incarnation;
mod reader;

pub use commit::{CommitOutcome, ConfigConflict, Proposal, commit_document, restore_document};
pub use error::ConfigError;
pub use incarnation::{AssignedIncarnation, raise_incarnation};
pub use reader::{CONFIG_PREFIX, StoredConfig, decode_head, fetch_snapshot, follow, read_config};

use kumquatkeel_platform::ObjectKey;

/// Returns the key of the configuration's head, the object that names the revision in force.
pub fn head_key() -> ObjectKey {
    ObjectKey::from("config/head")
}
