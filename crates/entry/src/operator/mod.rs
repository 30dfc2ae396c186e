//! Commits the configuration documents that operators submit.

mod committer;
mod store_committer;

pub use committer::{DocumentCommitter, NoCommitter};
pub use store_committer::StoreCommitter;
