//! Tests of single planning rules: the conditions of an unload, and the limits and order of loads.

use std::collections::BTreeSet;

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use rstest::rstest;

use crate::fleet::{Fleet, ModelSpec, document, is_unload, loaded_model, model, target, validated};

fn fleet(targets: usize, models: &[ModelSpec], policy: &str) -> Fleet {
    Fleet::new(validated(document(targets, models, "1")), policy)
}

/// Returns two full targets with two replicas of models 0 and 1 each, and demand for model 0 only.
fn full_fleet() -> Fleet {
    let models = [ModelSpec::of(70_000), ModelSpec::of(70_000)];
    let mut fleet = fleet(2, &models, "demand");
    fleet.add_replica(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.add_replica(0, 1, model(1, "1"), ReplicaState::Ready);
    fleet.add_replica(1, 0, model(1, "1"), ReplicaState::Ready);
    fleet.add_replica(1, 1, model(0, "1"), ReplicaState::Ready);
    fleet.set_demand(model(0, "1"), 20.0, 200.0);
    fleet
}

/// Returns whether the planner orders an unload within 20 rounds whose orders are not executed.
fn plans_unload(fleet: &mut Fleet) -> bool {
    (0..20).any(|_| {
        fleet.second += 1;
        fleet.plan().iter().any(is_unload)
    })
}

#[test]
fn demand_replaces_a_surplus_replica() {
    let mut fleet = full_fleet();
    assert!(plans_unload(&mut fleet));
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.ready(&model(0, "1")), 3);
    assert_eq!(fleet.ready(&model(1, "1")), 1);
}

#[rstest]
#[case::loading(ReplicaState::Loading)]
#[case::uncertain(ReplicaState::Uncertain)]
#[case::unloading(ReplicaState::Unloading)]
fn a_replica_that_is_not_ready_does_not_count(#[case] state: ReplicaState) {
    let mut fleet = full_fleet();
    fleet.replicas[2].state = state;
    assert!(!plans_unload(&mut fleet));
}

#[test]
fn a_replica_on_a_leaving_target_does_not_count() {
    let mut fleet = full_fleet();
    fleet.leaving.insert(target(1));
    assert!(!plans_unload(&mut fleet));
}

#[test]
fn nothing_is_unloaded_when_only_loads_are_allowed() {
    let mut fleet = full_fleet();
    fleet.additive_only = true;
    assert!(!plans_unload(&mut fleet));
}

#[test]
fn remaining_replicas_are_fenced_before_an_unload() {
    let mut fleet = full_fleet();
    fleet.fenced = BTreeSet::new();
    fleet.second = 1;
    let mut orders = fleet.plan();
    while orders.is_empty() {
        fleet.second += 1;
        orders = fleet.plan();
    }
    assert!(orders.iter().all(|order| !is_unload(order)));
    let holds = |order| loaded_model(order).is_some_and(|m| *m == model(1, "1"));
    assert!(
        orders.iter().any(holds),
        "no order conveys the epoch to a target of model 1: {orders:?}"
    );
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.ready(&model(0, "1")), 3);
}

#[test]
fn a_replica_with_a_pending_unload_does_not_count() {
    let mut fleet = full_fleet();
    fleet.drop_orders = true;
    let unloads: Vec<_> = (0..60)
        .flat_map(|_| fleet.step())
        .filter(is_unload)
        .collect();
    assert!(!unloads.is_empty());
    assert!(
        unloads
            .iter()
            .all(|order| order.target == unloads[0].target)
    );
}

#[test]
fn a_moves_weight_of_one_allows_no_moves_for_demand() {
    let mut value = document(2, &[ModelSpec::of(30_000), ModelSpec::of(30_000)], "1");
    value["policy"]["moves_weight"] = 1.0.into();
    let mut fleet = Fleet::new(validated(value), "demand");
    for _ in 0..30 {
        fleet.step();
    }
    fleet.set_demand(model(0, "1"), 50.0, 500.0);
    let orders: usize = (0..60).map(|_| fleet.step().len()).sum();
    assert_eq!(orders, 0);
    assert_eq!(fleet.ready(&model(0, "1")), 1);
}

#[rstest]
#[case::static_policy("static")]
#[case::greedy("greedy")]
#[case::demand("demand")]
fn loads_stay_within_the_rate_limit(#[case] policy: &str) {
    let models = vec![ModelSpec::of(20_000); 12];
    let mut fleet = fleet(4, &models, policy);
    let mut loads = 0;
    for _ in 0..20 {
        loads += fleet.step().iter().filter_map(loaded_model).count();
    }
    assert!(
        (10..=20).contains(&loads),
        "{loads} loads in 20 s at a limit of one per second"
    );
}

#[test]
fn unreachable_models_are_loaded_before_floors_and_demand() {
    let models = [
        ModelSpec {
            floor: 2,
            ..ModelSpec::of(20_000)
        },
        ModelSpec::of(20_000),
    ];
    let mut fleet = fleet(2, &models, "demand");
    fleet.add_replica(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.set_demand(model(0, "1"), 50.0, 500.0);
    let orders: Vec<_> = (0..5).flat_map(|_| fleet.step()).collect();
    assert_eq!(orders.iter().find_map(loaded_model), Some(&model(1, "1")));
}

#[test]
fn floors_are_spread_over_data_centres() {
    let models = vec![
        ModelSpec {
            floor: 2,
            ..ModelSpec::of(20_000)
        };
        3
    ];
    let mut fleet = fleet(4, &models, "demand");
    for _ in 0..60 {
        fleet.step();
    }
    for index in 0..3 {
        let replicas = fleet
            .replicas
            .iter()
            .filter(|r| r.model == model(index, "1"));
        let centres: BTreeSet<_> = replicas
            .map(|r| fleet.document.target(&r.target).map(|t| &t.data_centre))
            .collect();
        assert_eq!(centres.len(), 2, "model {index}");
    }
}

#[test]
fn a_model_that_blocks_a_larger_one_is_relocated() {
    let models = [
        ModelSpec::of(75_000),
        ModelSpec::of(30_000),
        ModelSpec::of(30_000),
    ];
    let mut fleet = fleet(1, &models, "demand");
    fleet.add_replica(0, 0, model(1, "1"), ReplicaState::Ready);
    fleet.add_replica(0, 1, model(2, "1"), ReplicaState::Ready);
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.ready(&model(0, "1")), 1);
}

#[test]
fn adapters_stay_within_their_limit_and_reach_every_replica() {
    let models = [ModelSpec {
        adapters: 9,
        floor: 2,
        ..ModelSpec::of(20_000)
    }];
    let mut value = document(2, &models, "1");
    value["policy"]["adapter_flight"] = 4.into();
    let mut fleet = Fleet::new(validated(value), "demand");
    for _ in 0..60 {
        let orders = fleet.step();
        let adapter = |o: &&_| {
            matches!(
                o,
                kumquatkeel_core::placement::PlannedOrder {
                    action: OrderAction::LoadAdapter { .. },
                    ..
                }
            )
        };
        assert!(orders.iter().filter(adapter).count() <= 4);
    }
    assert!(fleet.replicas.iter().all(|r| r.adapters.len() == 9));
}

#[rstest]
#[case::static_policy("static")]
#[case::greedy("greedy")]
#[case::demand("demand")]
fn inconsistent_input_gives_no_orders(#[case] policy: &str) {
    let mut empty = fleet(2, &[ModelSpec::of(20_000)], policy);
    empty.serving.clear();
    empty.add_replica(0, 9, model(0, "1"), ReplicaState::Ready);
    assert!(empty.step().is_empty());
    let mut blank = Fleet::new(validated(serde_json::json!({})), policy);
    blank.add_replica(7, 9, model(3, "1"), ReplicaState::Ready);
    blank.set_demand(model(5, "1"), f64::NAN, f64::INFINITY);
    assert!(blank.plan().is_empty());
}

#[test]
fn a_model_that_fits_nowhere_is_not_ordered() {
    let mut fleet = fleet(2, &[ModelSpec::of(70_000); 2], "demand");
    fleet.kill(1);
    fleet.add_replica(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.add_replica(0, 1, model(0, "2"), ReplicaState::Uncertain);
    for _ in 0..20 {
        assert!(fleet.step().is_empty());
    }
}
