//! Watermarks that stand in for the records of attempts that were evicted.

use std::collections::BTreeMap;

use kumquatkeel_types::{AttemptId, EntryName, Incarnation, RequestId};

/// A request of one entry, ordered by the entry's incarnation and then by its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    incarnation: Incarnation,
    number: u64,
}

impl From<&RequestId> for Position {
    fn from(request: &RequestId) -> Self {
        Self {
            incarnation: request.life,
            number: request.number,
        }
    }
}

/// The highest requests of one entry whose records were evicted.
#[derive(Debug, Clone, Copy, Default)]
struct Watermark {
    fenced: Option<Position>,
    ran: Option<Position>,
    raised: u64,
}

/// What the watermarks tell of an attempt without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PriorState {
    /// The attempt is above both watermarks and has not been seen.
    New,
    /// The attempt has not run, but may have been fenced, refused or cancelled.
    MayBeFenced,
    /// The attempt may have run.
    MayHaveRun,
}

/// The requests of each entry at or below which an attempt without a record must not start.
///
/// An entry numbers its requests in ascending order, so one number covers all evicted records.
#[derive(Debug, Default)]
pub(super) struct Watermarks {
    entries: BTreeMap<EntryName, Watermark>,
    clock: u64,
}

impl Watermarks {
    /// Raises the entry's watermark to cover the evicted record of `attempt`.
    ///
    /// Beyond `limit` entries, the watermark that was raised the longest time ago is dropped.
    pub(super) fn raise(&mut self, attempt: &AttemptId, ran: bool, limit: usize) {
        self.clock += 1;
        let request = &attempt.request;
        let watermark = self.entries.entry(request.entry.clone()).or_default();
        watermark.raised = self.clock;
        let mark = if ran {
            &mut watermark.ran
        } else {
            &mut watermark.fenced
        };
        *mark = (*mark).max(Some(Position::from(request)));
        self.evict(limit);
    }

    /// Returns what the watermarks tell of an attempt without a record.
    pub(super) fn prior_state(&self, attempt: &AttemptId) -> PriorState {
        let Some(watermark) = self.entries.get(&attempt.request.entry) else {
            return PriorState::New;
        };
        let position = Some(Position::from(&attempt.request));
        if position <= watermark.ran {
            PriorState::MayHaveRun
        } else if position <= watermark.fenced {
            PriorState::MayBeFenced
        } else {
            PriorState::New
        }
    }

    fn evict(&mut self, limit: usize) {
        if self.entries.len() <= limit {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, w)| w.raised);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}
