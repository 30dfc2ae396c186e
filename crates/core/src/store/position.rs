//! Positions in a store that may be restored from a copy.

use derive_more::Display;

/// A state of the platform's store. A store that is restored from a copy gives its revisions out again,
/// in a later era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{era}/{revision}")]
pub struct StorePosition {
    /// How often the store has been restored, as it states; 0 if it doesn't.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}
