//! Membership of the system's processes, merged from the report that each process writes about
//! itself.
//!
//! Reports travel up and down the tree of polls: an agent or entry polls its parent, and the polls
//! serve as heartbeats. Only a process itself raises the version of its report, and the highest
//! version wins. A parent that misses a child's heartbeats marks the last report as gone without
//! raising its version, so that one newer report of the child refutes it.

mod own;
mod table;

pub use own::{Echo, OwnReport};
pub use table::{MemberTable, MemberUpdates, MergeOutcome, ReportOrigin};
