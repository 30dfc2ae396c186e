//! The faults of an evening, drawn before it begins.

use std::collections::BTreeSet;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use kumquatkeel_types::Timestamp;

/// Added to the seed, so that faults and demand are drawn apart.
const FAULT_STREAM: u64 = 0x5eed_fa17;
/// The share of orders that are lost, and of those that are late, while orders fail.
const ORDER_SHARE: f64 = 0.3;
/// Longest delay of a late order, in milliseconds.
const ORDER_DELAY_MS: u64 = 8_000;
/// The share of plain answers that are lost after their effect, while answers fail.
const ANSWER_SHARE: f64 = 0.1;

/// A fault that begins or ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    /// The instance of a target dies.
    Die(usize),
    /// The instance of a target is replaced, empty.
    Replace(usize),
    /// A data centre is cut off, or joined again.
    Centre(usize, bool),
    /// The regional link is cut, or joined again.
    Link(bool),
    /// A condition begins, or ends.
    Condition(Condition, bool),
}

/// A fault of messages or of the platform that holds for some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Condition {
    /// Orders are lost and late.
    Orders,
    /// Plain answers are lost after their effect.
    Answers,
    /// The platform's store is out.
    Store,
    /// Agents' reports lag by several seconds.
    Reports,
}

/// The faults that hold now.
#[derive(Debug, Clone, Default)]
pub(super) struct Faults {
    active: BTreeSet<Condition>,
}

/// What becomes of an order on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Passage {
    /// It arrives after this many milliseconds more.
    Arrives(u64),
    /// It is lost.
    Lost,
}

impl Faults {
    /// Begins or ends a condition.
    pub(super) fn set(&mut self, condition: Condition, holds: bool) {
        if holds {
            self.active.insert(condition);
        } else {
            self.active.remove(&condition);
        }
    }

    /// Says whether a condition holds.
    pub(super) fn holds(&self, condition: Condition) -> bool {
        self.active.contains(&condition)
    }

    /// Draws what becomes of an order.
    pub(super) fn order(&self, rng: &mut Pcg64) -> Passage {
        if !self.holds(Condition::Orders) {
            return Passage::Arrives(0);
        }
        if rng.random_bool(ORDER_SHARE) {
            return Passage::Lost;
        }
        if rng.random_bool(ORDER_SHARE) {
            return Passage::Arrives(rng.random_range(0..ORDER_DELAY_MS));
        }
        Passage::Arrives(0)
    }

    /// Draws whether a plain answer is lost.
    pub(super) fn loses_answer(&self, rng: &mut Pcg64) -> bool {
        self.holds(Condition::Answers) && rng.random_bool(ANSWER_SHARE)
    }
}

/// Draws the faults of an evening of `seconds` with this many engines.
///
/// Each kind comes once, at a random time, and holds for a minute or so.
pub(super) fn draw(seed: u64, seconds: u64, engines: usize) -> Vec<(Timestamp, Fault)> {
    let mut rng = Pcg64::seed_from_u64(seed ^ FAULT_STREAM);
    let dying = rng.random_range(0..engines);
    let centre = rng.random_range(0..3);
    let kinds = [
        (Fault::Die(dying), Fault::Replace(dying)),
        (Fault::Centre(centre, true), Fault::Centre(centre, false)),
        (Fault::Link(true), Fault::Link(false)),
        condition(Condition::Orders),
        condition(Condition::Answers),
        condition(Condition::Store),
        condition(Condition::Reports),
    ];
    let mut faults = Vec::new();
    for (begin, end) in kinds {
        let start = rng.random_range(seconds / 10..seconds * 8 / 10);
        let span = rng.random_range(30..120);
        faults.push((Timestamp::from_millis(start * 1_000), begin));
        faults.push((Timestamp::from_millis((start + span) * 1_000), end));
    }
    faults
}

/// Returns the begin and the end of a condition.
const fn condition(condition: Condition) -> (Fault, Fault) {
    (
        Fault::Condition(condition, true),
        Fault::Condition(condition, false),
    )
}
