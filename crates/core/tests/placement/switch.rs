//! Tests of changes in the served models.
//!
//! Guards against a version switch that unloads the old version before the new one is ready, which
//! would leave the model unreachable.

use kumquatkeel_types::message::ReplicaState;
use rstest::rstest;

use crate::fleet::{Fleet, ModelSpec, document, model, validated};

#[rstest]
#[case::with_room(20_000)]
#[case::without_room(70_000)]
fn a_version_stays_until_its_successor_is_ready(#[case] memory_mb: u32) {
    let mut fleet = Fleet::new(
        validated(document(1, &[ModelSpec::of(memory_mb)], "1")),
        "demand",
    );
    fleet.add_replica(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.add_replica(0, 1, model(0, "1"), ReplicaState::Ready);
    fleet.document = validated(document(1, &[ModelSpec::of(memory_mb)], "2"));
    for _ in 0..60 {
        fleet.step();
        let ready = fleet.ready(&model(0, "1")) + fleet.ready(&model(0, "2"));
        assert!(ready > 0, "no version is ready at second {}", fleet.second);
    }
    assert_eq!(fleet.ready(&model(0, "1")), 0);
    assert_eq!(fleet.ready(&model(0, "2")), 1);
}

#[rstest]
fn a_model_that_is_no_longer_served_is_unloaded() {
    let two = document(1, &[ModelSpec::of(20_000), ModelSpec::of(20_000)], "1");
    let mut fleet = Fleet::new(validated(two), "demand");
    fleet.add_replica(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.add_replica(0, 0, model(1, "1"), ReplicaState::Ready);
    fleet.document = validated(document(1, &[ModelSpec::of(20_000)], "1"));
    let orders: Vec<_> = (0..3).flat_map(|_| fleet.plan()).collect();
    assert_eq!(
        orders.iter().filter(|o| crate::fleet::is_unload(o)).count(),
        1
    );
}
