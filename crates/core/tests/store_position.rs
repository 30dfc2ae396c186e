//! Eras of a store that is restored from a copy.

use kumquatkeel_core::serving::{EraChange, StoreEra, StorePosition};
use proptest::prelude::*;

proptest! {
    /// Answers of several connections arrive in any order.
    #[test]
    fn an_answer_from_before_a_restore_never_counts(
        eras in proptest::collection::vec(proptest::option::of(0_u64..6), 1..40),
    ) {
        let (mut era, mut newest) = (StoreEra::default(), None);
        for stated in eras {
            let expected = match (stated, newest) {
                (Some(stated), Some(newest)) if stated < newest => EraChange::Outdated,
                (Some(stated), Some(newest)) if stated > newest => EraChange::Restored,
                _ => EraChange::Unchanged,
            };
            prop_assert_eq!(era.observe(stated), expected);
            newest = newest.max(stated);
            prop_assert_eq!(era.number(), newest.unwrap_or_default());
        }
    }
}

#[test]
fn a_revision_of_an_earlier_era_is_not_ahead_of_a_lower_one_of_the_next() {
    let position = |era, revision| StorePosition { era, revision };
    assert!(position(1, 900) < position(2, 7));
    assert!(position(2, 7) < position(2, 8));
}
