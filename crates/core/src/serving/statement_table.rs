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
pub(super) const UNLISTED_TTL: Duration = Duration::from_mins(10);

/// Longest time for which the first request after a pause keeps others back; it ends with its answer.
const TRIAL_TIME: Duration = Duration::from_millis(500);

/// A pause until the first answer after its end, which shows whether the target takes requests again.
#[derive(Debug, Clone, Copy)]
struct Pause {
    end: Timestamp,
    /// When the last request after the end was sent.
    trial: Option<Timestamp>,
}

impl Pause {
    /// Returns the time until a request may be sent; `None` if one may be now.
    fn left(&self, now: Timestamp) -> Option<Duration> {
        let trial_end = self.trial.map(|sent| sent.after(TRIAL_TIME));
        let end = self.end.max(trial_end.unwrap_or_default());
        (now < end).then(|| end.since(now))
    }
}

/// The statements of the latest incarnation of a target that has made any. They cover earlier ones too,
/// which must have ended before.
#[derive(Debug, Clone, Copy)]
struct Statements {
    /// Start of the incarnation.
    born: u64,
    /// Whether it has stated that it leaves.
    leaving: bool,
    pause: Option<Pause>,
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
            let known = statements.pause.map(|pause| pause.end);
            statements.pause = Some(Pause {
                end: now.after(pause).max(known.unwrap_or_default()),
                trial: None,
            });
        }
    }

    /// Records an answer that asks for no pause.
    pub fn record_answer(&mut self, incarnation: &Incarnation, now: Timestamp) {
        let statements = self.statements.get_mut(&incarnation.id);
        if let Some(statements) = statements.filter(|s| s.born == incarnation.born)
            && statements.pause.is_some_and(|pause| now >= pause.end)
        {
            statements.pause = None;
        }
    }

    /// Returns whether an incarnation accepts a request, which is sent if so.
    ///
    /// All that a pause has held back would be sent at its end. The first request goes alone, and others
    /// follow once it is answered.
    pub fn begin_request(&mut self, incarnation: &Incarnation, now: Timestamp) -> Acceptance {
        let acceptance = self.acceptance(incarnation, now);
        if acceptance == Acceptance::Accepts
            && let Some(statements) = self.statements.get_mut(&incarnation.id)
            && statements.born == incarnation.born
            && let Some(pause) = &mut statements.pause
        {
            pause.trial = Some(now);
        }
        acceptance
    }

    /// Returns whether an incarnation has stated that it leaves.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let statements = self.covering(incarnation);
        statements.is_some_and(|statements| statements.leaving)
    }

    /// Returns whether an incarnation accepts a request.
    pub fn acceptance(&self, incarnation: &Incarnation, now: Timestamp) -> Acceptance {
        let Some(statements) = self.covering(incarnation) else {
            return Acceptance::Accepts;
        };
        if statements.leaving {
            return Acceptance::Leaves;
        }
        let left = statements.pause.and_then(|pause| pause.left(now));
        left.map_or(Acceptance::Accepts, Acceptance::Paused)
    }

    /// Drops statements of targets that have not been listed for ten minutes, unless a pause lasts
    /// longer.
    pub fn expire(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Timestamp) {
        self.statements.retain(|id, statements| {
            if is_listed(id) {
                statements.renewed = now;
            }
            let pauses = statements.pause.is_some_and(|pause| now < pause.end);
            pauses || now.since(statements.renewed) < UNLISTED_TTL
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
            pause: None,
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
