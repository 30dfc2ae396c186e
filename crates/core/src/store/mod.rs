//! States of the platform's store, which may be restored from a copy.
//!
//! A restored store has lost its latest changes, gives versions and revisions out again, and states a
//! higher era in all its answers. Whatever is ordered by them is ordered by the era first.

mod era;
mod position;

pub use era::{EraChange, StoreEra};
pub use position::StorePosition;
