//! Distribution of configuration revisions and member reports from the store through relays.
//!
//! A commit is a conditional update of the [`ConfigHead`] in the store. Some entries of each data
//! centre, the relays, watch the store; all other processes poll an entry, which [`PollTree`]
//! selects. Each process holds a [`ConfigLog`], whose revision never decreases, which checks every
//! update against the committed digest, and which produces the updates for processes that are
//! behind.

mod head;
mod log;
mod tree;

pub use head::{CatchUpStep, CommitPlan, ConfigHead, MAX_HEAD_BYTES, SnapshotRef, plan_commit};
pub use log::{Advance, ConfigLog};
pub use tree::{FAN_OUT, PollTree, RELAYS_PER_CENTRE, Upstream};
