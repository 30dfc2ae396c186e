//! The faults of an evening, drawn before it begins.

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
    /// Orders are lost and late, or not.
    Orders(bool),
    /// Plain answers are lost after their effect, or not.
    Answers(bool),
    /// The platform's store is out, or back.
    Store(bool),
    /// Agents' reports lag by several seconds, or not.
    Reports(bool),
}

/// The faults that hold now.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Faults {
    /// Orders are lost and late.
    pub(super) orders: bool,
    /// Plain answers are lost after their effect.
    pub(super) answers: bool,
    /// The platform's store is out.
    pub(super) store: bool,
    /// Agents' reports lag.
    pub(super) reports: bool,
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
    /// Draws what becomes of an order.
    pub(super) fn order(&self, rng: &mut Pcg64) -> Passage {
        if !self.orders {
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
        self.answers && rng.random_bool(ANSWER_SHARE)
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
        (Fault::Orders(true), Fault::Orders(false)),
        (Fault::Answers(true), Fault::Answers(false)),
        (Fault::Store(true), Fault::Store(false)),
        (Fault::Reports(true), Fault::Reports(false)),
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
