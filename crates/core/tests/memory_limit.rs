//! Guards against overcommitted accelerators: a load must not begin unless it fits even if every
//! earlier load without a confirmed result was executed.

use kumquatkeel_core::memory::{BeginStep, MemorySettings, MemoryTracker};
use kumquatkeel_types::engine::{EngineLoad, EngineOrderReply};
use kumquatkeel_types::message::OrderAction;
use kumquatkeel_types::{ModelId, Timestamp};
use rstest::rstest;

const ACCELERATOR_MB: u32 = 100;

fn load(name: &str) -> OrderAction {
    OrderAction::Load {
        model: ModelId {
            name: name.try_into().expect("name"),
            version: "1".try_into().expect("name"),
        },
        accelerator: 0,
    }
}

fn tracker() -> MemoryTracker {
    let settings = MemorySettings {
        accelerators: 1,
        accelerator_mb: ACCELERATOR_MB,
        ..MemorySettings::default()
    };
    let mut tracker = MemoryTracker::new(settings, Timestamp::ZERO);
    let empty = EngineLoad {
        used_mb: vec![0],
        ..EngineLoad::default()
    };
    tracker.observe(&empty, Timestamp::from_millis(1), |_| None);
    tracker
}

/// State of the first load when the second one is ordered.
#[derive(Debug, Clone, Copy)]
enum First {
    InFlight,
    Settled(Option<EngineOrderReply>),
}

#[rstest]
#[case(First::InFlight, 60, 40, true)]
#[case(First::InFlight, 60, 41, false)]
#[case(First::Settled(Some(EngineOrderReply::Done)), 60, 40, true)]
#[case(First::Settled(Some(EngineOrderReply::Done)), 60, 41, false)]
#[case(First::Settled(None), 60, 41, false)]
#[case(First::Settled(Some(EngineOrderReply::Refused)), 60, 41, false)]
fn a_load_that_may_not_fit_is_refused(
    #[case] first: First,
    #[case] first_mb: u32,
    #[case] second_mb: u32,
    #[case] fits: bool,
) {
    let mut tracker = tracker();
    let now = Timestamp::from_millis(2);
    let begun = tracker.begin(&load("first"), Some(first_mb), now);
    let BeginStep::Send { number } = begun else {
        panic!("{begun:?}");
    };
    if let First::Settled(reply) = first {
        tracker.settle(number, reply, now);
    }
    let second = tracker.begin(&load("second"), Some(second_mb), now);
    assert_eq!(matches!(second, BeginStep::Send { .. }), fits, "{second:?}");
    assert!(
        tracker
            .committed_mb()
            .iter()
            .all(|mb| *mb <= ACCELERATOR_MB)
    );
    if !fits {
        let free_mb = ACCELERATOR_MB - first_mb;
        assert_eq!(second, BeginStep::NoMemory { free_mb });
    }
}
