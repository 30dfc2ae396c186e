//! The spread of configuration revisions and member reports through relays.
//!
//! [`ConfigLog`] is what every process holds of the configuration: it moves only upwards, checks
//! each step against the digest that was committed, and answers whoever is behind. [`ConfigHead`]
//! is the object in the store whose conditional update is the commit. [`PollTree`] says whom a
//! process polls.

mod head;
mod log;
mod tree;

pub use head::{CatchUpStep, CommitPlan, ConfigHead, MAX_HEAD_BYTES, SnapshotRef, plan_commit};
pub use log::{Advance, ConfigLog};
pub use tree::{FAN_OUT, PollTree, RELAYS_PER_CENTRE, Upstream};
