//! Who is alive, leaving or replaced, merged from reports that each process writes of itself.
//!
//! Only a process itself raises the version of its report; the highest version stands. A parent
//! that misses a child's heartbeats marks the last report as gone without raising its version, so
//! that one newer report of the child refutes it.

mod own;
mod table;

pub use own::{Echo, OwnReport};
pub use table::{MemberTable, MemberUpdates, MergeOutcome, ReportOrigin};
