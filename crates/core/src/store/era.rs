//! The era of a store: how often it has been restored from a copy.

use super::position::StorePosition;

/// Bits of a number that are counted up within an era; the others hold the era.
const VERSION_BITS: u32 = 40;
const MAX_VERSION: u64 = (1 << VERSION_BITS) - 2;
const MAX_ERA: u64 = u64::MAX >> VERSION_BITS;

/// What an answer's era says of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraChange {
    /// The answer belongs to the known era.
    Unchanged,
    /// The store has been restored since the last answer: earlier revisions mean nothing any more.
    Restored,
    /// The answer comes late, from before a restore; it must be ignored.
    Outdated,
}

/// The era of a store, as one reader of it has last seen it.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::store::{EraChange, StoreEra};
///
/// let mut era = StoreEra::default();
/// assert_eq!(era.observe(Some(4)), EraChange::Unchanged);
/// assert_eq!(era.observe(Some(5)), EraChange::Restored);
/// assert_eq!(era.observe(Some(4)), EraChange::Outdated);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreEra(Option<u64>);

impl StoreEra {
    /// Creates the era of a store that has not answered yet.
    pub const fn new() -> Self {
        Self(None)
    }

    /// Records the era of an answer, which is `None` if the answer doesn't state it.
    pub fn observe(&mut self, era: Option<u64>) -> EraChange {
        let Some(era) = era else {
            return EraChange::Unchanged;
        };
        let known = *self.0.get_or_insert(era);
        self.0 = Some(known.max(era));
        match era.cmp(&known) {
            std::cmp::Ordering::Less => EraChange::Outdated,
            std::cmp::Ordering::Equal => EraChange::Unchanged,
            std::cmp::Ordering::Greater => EraChange::Restored,
        }
    }

    /// Returns the revision after which a reader watches that got the objects up to `position` from
    /// elsewhere; `None` if it must list them first.
    ///
    /// A process that starts holds no objects, and position 0/0 says nothing of the store's era.
    pub fn resume_after(&mut self, position: StorePosition) -> Option<u64> {
        let StorePosition { era, revision } = position;
        let is_held = revision > 0 && self.observe((era > 0).then_some(era)) != EraChange::Outdated;
        is_held.then_some(revision)
    }

    /// Returns the number to give out after `last`, which was read from an object of the store at `version`.
    ///
    /// Numbers that must never be given out twice, such as fencing tokens, are counted up in objects of
    /// the store, which a restore sets back. A version read before a restore may also stand in the restored
    /// store, so that a write replaces an object that its writer has not seen. So numbers of each era are
    /// above those of all earlier ones, and the first after an earlier era is above the version that it
    /// replaces, and so above all that were given out in this era and then replaced.
    pub fn next_number(self, last: u64, version: u64) -> u64 {
        if self.0.is_none() || self.is_current(last) {
            return last + 1;
        }
        self.first_number() + version.min(MAX_VERSION) + 1
    }

    /// Returns whether a number was given out since the last restore, as far as that is known.
    pub fn is_current(self, number: u64) -> bool {
        number > self.first_number()
    }

    /// Returns the number above which those of this era are.
    fn first_number(self) -> u64 {
        self.number().min(MAX_ERA) << VERSION_BITS
    }

    /// Returns the era as the store has stated it; `None` if it has stated none.
    pub const fn stated(self) -> Option<u64> {
        self.0
    }

    /// Returns the era; 0 if it is unknown.
    pub fn number(self) -> u64 {
        self.0.unwrap_or_default()
    }
}
