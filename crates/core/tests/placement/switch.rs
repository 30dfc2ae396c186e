//! A version switch without an unreachable moment.

use kumquatkeel_types::message::ReplicaState;
use rstest::rstest;

use crate::fleet::{FakeModel, Fleet, checked, document, model};

#[rstest]
#[case::with_room(20_000)]
#[case::without_room(70_000)]
fn a_version_stays_until_the_next_is_ready(#[case] memory_mb: u32) {
    let mut fleet = Fleet::new(
        checked(document(1, &[FakeModel::of(memory_mb)], "1")),
        "demand",
    );
    fleet.put(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.put(0, 1, model(0, "1"), ReplicaState::Ready);
    fleet.document = checked(document(1, &[FakeModel::of(memory_mb)], "2"));
    for _ in 0..60 {
        fleet.step();
        let ready = fleet.ready(&model(0, "1")) + fleet.ready(&model(0, "2"));
        assert!(ready > 0, "no version is ready at second {}", fleet.second);
    }
    assert_eq!(fleet.ready(&model(0, "1")), 0);
    assert_eq!(fleet.ready(&model(0, "2")), 1);
}

#[rstest]
fn a_model_that_is_no_longer_served_goes() {
    let two = document(1, &[FakeModel::of(20_000), FakeModel::of(20_000)], "1");
    let mut fleet = Fleet::new(checked(two), "demand");
    fleet.put(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.put(0, 0, model(1, "1"), ReplicaState::Ready);
    fleet.document = checked(document(1, &[FakeModel::of(20_000)], "1"));
    let orders: Vec<_> = (0..3).flat_map(|_| fleet.plan()).collect();
    assert_eq!(
        orders.iter().filter(|o| crate::fleet::is_unload(o)).count(),
        1
    );
}
