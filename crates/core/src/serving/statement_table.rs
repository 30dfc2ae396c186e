//! What incarnations of targets have stated about themselves.
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

/// The statements of the latest incarnation of a target that has made any. They cover earlier ones too,
/// which must have ended before.
#[derive(Debug, Clone, Copy)]
struct Statements {
    /// Start of the incarnation.
    born: u64,
    /// Whether it has stated that it leaves.
    leaving: bool,
    /// End of the pause that it has asked for.
    pause_end: Timestamp,
    /// When the target was last listed or made a statement.
    renewed: Timestamp,
}

/// Whether an incarnation accepts a request, by what it has stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It has stated nothing to the contrary.
    Accepts,
    /// It wants no request for this time.
    Paused(Duration),
    /// It finishes the work that it has and then stops.
    Leaves,
}

/// The statements of targets, by incarnation.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{Acceptance, Incarnation, StatementTable, TargetId};
/// use kumquatkeel_types::Timestamp;
///
/// let incarnation = |born| Incarnation { id: TargetId::from("t1"), born };
/// let now = Timestamp::from_millis(5_000);
/// let mut table = StatementTable::default();
/// table.record_pause(&incarnation(100), Duration::from_secs(3), now);
/// let later = now.after(Duration::from_secs(1));
/// let left = Acceptance::Paused(Duration::from_secs(2));
/// assert_eq!(table.acceptance(&incarnation(100), later), left);
/// // The target has started again.
/// assert_eq!(table.acceptance(&incarnation(200), later), Acceptance::Accepts);
/// ```
#[derive(Debug, Clone, Default)]
pub struct StatementTable {
    statements: HashMap<TargetId, Statements>,
}

impl StatementTable {
    /// Records that an incarnation leaves; returns whether that is new.
    pub fn record_leaving(&mut self, incarnation: &Incarnation, now: Timestamp) -> bool {
        let Some(statements) = self.statements_of(incarnation, now) else {
            return false;
        };
        !std::mem::replace(&mut statements.leaving, true)
    }

    /// Records that an incarnation wants no request for a time; a pause that ends later stands.
    pub fn record_pause(&mut self, incarnation: &Incarnation, pause: Duration, now: Timestamp) {
        if let Some(statements) = self.statements_of(incarnation, now) {
            statements.pause_end = statements.pause_end.max(now.after(pause));
        }
    }

    /// Returns whether an incarnation has stated that it leaves.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let statements = self.covering(incarnation);
        statements.is_some_and(|statements| statements.leaving)
    }

    /// Returns whether an incarnation accepts a request.
    pub fn acceptance(&self, incarnation: &Incarnation, now: Timestamp) -> Acceptance {
        match self.covering(incarnation) {
            Some(statements) if statements.leaving => Acceptance::Leaves,
            Some(statements) if now < statements.pause_end => {
                Acceptance::Paused(statements.pause_end.since(now))
            }
            _ => Acceptance::Accepts,
        }
    }

    /// Drops statements of targets that have not been listed for ten minutes, unless a pause lasts
    /// longer.
    pub fn expire(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Timestamp) {
        self.statements.retain(|id, statements| {
            if is_listed(id) {
                statements.renewed = now;
            }
            now.since(statements.renewed) < UNLISTED_TTL || now < statements.pause_end
        });
    }

    /// Returns the statements that cover an incarnation: its own or those of a later one.
    fn covering(&self, incarnation: &Incarnation) -> Option<&Statements> {
        let statements = self.statements.get(&incarnation.id)?;
        (incarnation.born <= statements.born).then_some(statements)
    }

    /// Returns the statements of an incarnation for a change; `None` if a later one has made any.
    fn statements_of(
        &mut self,
        incarnation: &Incarnation,
        now: Timestamp,
    ) -> Option<&mut Statements> {
        let none = Statements {
            born: incarnation.born,
            leaving: false,
            pause_end: Timestamp::ZERO,
            renewed: now,
        };
        let statements = self.statements.entry(incarnation.id.clone());
        let statements = statements.or_insert(none);
        if statements.born < incarnation.born {
            *statements = none;
        }
        statements.renewed = now;
        (statements.born == incarnation.born).then_some(statements)
    }
}
