//! The incarnations of targets that have stated that they leave.
//!
//! A statement holds for its incarnation, whatever the target list shows: a record may say ready for a
//! while, disappear and return, or go back to an earlier incarnation when the list's store is restored.

use std::collections::HashMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::incarnation::Incarnation;
use super::target::TargetId;

/// How long a statement is kept after its target was last listed, which bounds the memory. An
/// incarnation that leaves has ended by then.
const UNLISTED_TTL: Duration = Duration::from_mins(10);

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Start of the latest incarnation that has stated that it leaves.
    born: u64,
    /// When the target was last listed or made the statement.
    renewed: Timestamp,
}

/// The incarnations that have stated that they leave.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::serving::{Incarnation, LeavingTable, TargetId};
/// use kumquatkeel_types::Timestamp;
///
/// let incarnation = |born| Incarnation { id: TargetId::from("t1"), born };
/// let mut table = LeavingTable::default();
/// assert!(table.record(&incarnation(100), Timestamp::from_millis(5_000)));
/// assert!(table.contains(&incarnation(100)));
/// // The target has started again.
/// assert!(!table.contains(&incarnation(200)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LeavingTable {
    statements: HashMap<TargetId, Statement>,
}

impl LeavingTable {
    /// Records that an incarnation leaves; returns whether that is new.
    pub fn record(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        if self.contains(incarnation) {
            return false;
        }
        let statement = Statement {
            born: incarnation.born,
            renewed: now,
        };
        self.statements.insert(incarnation.id.clone(), statement);
        true
    }

    /// Returns whether an incarnation has stated that it leaves, or a later one of its id has, before
    /// which it must have ended.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        let statement = self.statements.get(&incarnation.id);
        statement.is_some_and(|statement| incarnation.born <= statement.born)
    }

    /// Drops statements of targets that have not been listed for ten minutes.
    pub fn expire(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Timestamp) {
        self.statements.retain(|id, statement| {
            if is_listed(id) {
                statement.renewed = now;
            }
            now.since(statement.renewed) < UNLISTED_TTL
        });
    }
}
