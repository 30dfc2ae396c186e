//! What the gate remembers of attempts whose records it no longer keeps.

use std::collections::BTreeMap;

use kumquatkeel_types::{AttemptId, EntryName, Incarnation, RequestId};

/// An entry's request, ordered by the entry's life and then by its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    life: Incarnation,
    number: u64,
}

impl From<&RequestId> for Position {
    fn from(request: &RequestId) -> Self {
        Self {
            life: request.life,
            number: request.number,
        }
    }
}

/// The highest requests of one entry whose records were dropped.
#[derive(Debug, Clone, Copy, Default)]
struct Floor {
    fenced: Option<Position>,
    ran: Option<Position>,
    touched: u64,
}

/// What is known of an attempt without a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Past {
    /// The attempt is new.
    New,
    /// The attempt may have been fenced, and has not run.
    MayBeFenced,
    /// The attempt may have run.
    MayHaveRun,
}

/// For each entry, the requests at or below which an attempt without a record may not start.
///
/// An entry numbers its requests upwards, so one number stands for all records dropped.
#[derive(Debug, Default)]
pub(super) struct Floors {
    entries: BTreeMap<EntryName, Floor>,
    clock: u64,
}

impl Floors {
    /// Remembers that the record of `attempt` is dropped.
    pub(super) fn raise(&mut self, attempt: &AttemptId, ran: bool, limit: usize) {
        self.clock += 1;
        let request = &attempt.request;
        let floor = self.entries.entry(request.entry.clone()).or_default();
        floor.touched = self.clock;
        let side = if ran {
            &mut floor.ran
        } else {
            &mut floor.fenced
        };
        *side = (*side).max(Some(Position::from(request)));
        self.shrink(limit);
    }

    /// Returns what is known of an attempt without a record.
    pub(super) fn past(&self, attempt: &AttemptId) -> Past {
        let Some(floor) = self.entries.get(&attempt.request.entry) else {
            return Past::New;
        };
        let position = Some(Position::from(&attempt.request));
        if position <= floor.ran {
            Past::MayHaveRun
        } else if position <= floor.fenced {
            Past::MayBeFenced
        } else {
            Past::New
        }
    }

    fn shrink(&mut self, limit: usize) {
        if self.entries.len() <= limit {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, f)| f.touched);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.entries.remove(&name);
        }
    }
}
