//! Eras of a store that is restored from a copy.

use kumquatkeel_core::store::{EraChange, StoreEra, StorePosition};
use proptest::prelude::*;
use rstest::rstest;

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

#[test]
fn a_process_that_starts_takes_the_first_era_for_a_restore() {
    let mut era = StoreEra::default();
    assert_eq!(era.resume_after(StorePosition::default()), None);
    assert_eq!(era.observe(Some(3)), EraChange::Unchanged);
}

#[rstest]
#[case::same_era(2, Some(70))]
#[case::later_era(3, Some(70))]
#[case::earlier_era(1, None)]
#[case::no_era(0, Some(70))]
fn a_watch_resumes_after_a_revision_of_an_earlier_era(
    #[case] era: u64,
    #[case] expected: Option<u64>,
) {
    let mut known = StoreEra::default();
    known.observe(Some(2));
    let position = StorePosition { era, revision: 70 };
    assert_eq!(known.resume_after(position), expected);
}

#[rstest]
#[case::later_era((1, 900), (2, 0))]
#[case::later_version((2, 7), (2, 8))]
#[case::huge_version((1, u64::MAX), (2, 0))]
fn a_number_is_given_out_again_after_a_restore(
    #[case] first: (u64, u64),
    #[case] next: (u64, u64),
) {
    let number = |(stated, version)| {
        let mut era = StoreEra::default();
        era.observe(Some(stated));
        let number = era.next_number(3, version);
        assert!(era.is_current(number));
        assert_eq!(era.next_number(number, 5), number + 1);
        number
    };
    assert!(number(first) < number(next));
    assert_eq!(StoreEra::default().next_number(5, 9), 6);
}
