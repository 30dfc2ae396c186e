//! One case for each guard and limit.

use std::collections::BTreeSet;

use kumquatkeel_types::message::{OrderAction, ReplicaState};
use rstest::rstest;

use crate::fleet::{FakeModel, Fleet, checked, document, is_unload, loaded, model, target};

fn fleet(targets: usize, models: &[FakeModel], policy: &str) -> Fleet {
    Fleet::new(checked(document(targets, models, "1")), policy)
}

/// A fleet of two full targets on which model 0 is asked for and model 1 has two copies.
fn full_fleet() -> Fleet {
    let models = [FakeModel::of(70_000), FakeModel::of(70_000)];
    let mut fleet = fleet(2, &models, "demand");
    fleet.put(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.put(0, 1, model(1, "1"), ReplicaState::Ready);
    fleet.put(1, 0, model(1, "1"), ReplicaState::Ready);
    fleet.put(1, 1, model(0, "1"), ReplicaState::Ready);
    fleet.ask(model(0, "1"), 20.0, 200.0);
    fleet
}

/// Returns whether the planner unloads anything within some rounds in which nothing is done.
fn unloads(fleet: &mut Fleet) -> bool {
    (0..20).any(|_| {
        fleet.second += 1;
        fleet.plan().iter().any(is_unload)
    })
}

#[test]
fn demand_swaps_an_extra_copy() {
    let mut fleet = full_fleet();
    assert!(unloads(&mut fleet));
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
fn a_copy_that_is_not_ready_does_not_count(#[case] state: ReplicaState) {
    let mut fleet = full_fleet();
    fleet.replicas[2].state = state;
    assert!(!unloads(&mut fleet));
}

#[test]
fn a_copy_on_a_leaving_target_does_not_count() {
    let mut fleet = full_fleet();
    fleet.leaving.insert(target(1));
    assert!(!unloads(&mut fleet));
}

#[test]
fn nothing_is_unloaded_in_doubt() {
    let mut fleet = full_fleet();
    fleet.additive_only = true;
    assert!(!unloads(&mut fleet));
}

#[test]
fn the_remaining_copy_is_fenced_first() {
    let mut fleet = full_fleet();
    fleet.fenced = BTreeSet::new();
    fleet.second = 1;
    let mut orders = fleet.plan();
    while orders.is_empty() {
        fleet.second += 1;
        orders = fleet.plan();
    }
    assert!(orders.iter().all(|order| !is_unload(order)));
    let holds = |order| loaded(order).is_some_and(|m| *m == model(1, "1"));
    assert!(
        orders.iter().any(holds),
        "no order raises the epoch: {orders:?}"
    );
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.ready(&model(0, "1")), 3);
}

#[test]
fn an_unload_that_may_come_late_is_not_relied_on() {
    let mut fleet = full_fleet();
    fleet.lose_orders = true;
    let first: Vec<_> = (0..60)
        .flat_map(|_| fleet.step())
        .filter(is_unload)
        .collect();
    assert!(!first.is_empty());
    assert!(first.iter().all(|order| order.target == first[0].target));
}

#[test]
fn only_moves_weigh() {
    let mut value = document(2, &[FakeModel::of(30_000), FakeModel::of(30_000)], "1");
    value["policy"]["moves_weight"] = 1.0.into();
    let mut fleet = Fleet::new(checked(value), "demand");
    for _ in 0..30 {
        fleet.step();
    }
    fleet.ask(model(0, "1"), 50.0, 500.0);
    let orders: usize = (0..60).map(|_| fleet.step().len()).sum();
    assert_eq!(orders, 0);
    assert_eq!(fleet.ready(&model(0, "1")), 1);
}

#[rstest]
#[case::even("static")]
#[case::greedy("greedy")]
#[case::demand("demand")]
fn loads_keep_the_rate(#[case] policy: &str) {
    let models = vec![FakeModel::of(20_000); 12];
    let mut fleet = fleet(4, &models, policy);
    let mut loads = 0;
    for _ in 0..20 {
        loads += fleet.step().iter().filter_map(loaded).count();
    }
    assert!(
        (10..=20).contains(&loads),
        "{loads} loads in 20 s at one a second"
    );
}

#[test]
fn unreachable_models_come_before_floors_and_demand() {
    let models = [
        FakeModel {
            floor: 2,
            ..FakeModel::of(20_000)
        },
        FakeModel::of(20_000),
    ];
    let mut fleet = fleet(2, &models, "demand");
    fleet.put(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.ask(model(0, "1"), 50.0, 500.0);
    let orders: Vec<_> = (0..5).flat_map(|_| fleet.step()).collect();
    assert_eq!(orders.iter().find_map(loaded), Some(&model(1, "1")));
}

#[test]
fn floors_spread_over_data_centres() {
    let models = vec![
        FakeModel {
            floor: 2,
            ..FakeModel::of(20_000)
        };
        3
    ];
    let mut fleet = fleet(4, &models, "demand");
    for _ in 0..60 {
        fleet.step();
    }
    for index in 0..3 {
        let copies = fleet
            .replicas
            .iter()
            .filter(|r| r.model == model(index, "1"));
        let centres: BTreeSet<_> = copies
            .map(|r| fleet.document.target(&r.target).map(|t| &t.data_centre))
            .collect();
        assert_eq!(centres.len(), 2, "model {index}");
    }
}

#[test]
fn a_model_in_the_way_is_relocated() {
    let models = [
        FakeModel::of(75_000),
        FakeModel::of(30_000),
        FakeModel::of(30_000),
    ];
    let mut fleet = fleet(1, &models, "demand");
    fleet.put(0, 0, model(1, "1"), ReplicaState::Ready);
    fleet.put(0, 1, model(2, "1"), ReplicaState::Ready);
    for _ in 0..60 {
        fleet.step();
    }
    assert_eq!(fleet.ready(&model(0, "1")), 1);
}

#[test]
fn adapters_keep_their_limit_and_reach_every_copy() {
    let models = [FakeModel {
        adapters: 9,
        floor: 2,
        ..FakeModel::of(20_000)
    }];
    let mut value = document(2, &models, "1");
    value["policy"]["adapter_flight"] = 4.into();
    let mut fleet = Fleet::new(checked(value), "demand");
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
#[case::even("static")]
#[case::greedy("greedy")]
#[case::demand("demand")]
fn an_odd_fleet_gives_no_orders(#[case] policy: &str) {
    let mut empty = fleet(2, &[FakeModel::of(20_000)], policy);
    empty.serving.clear();
    empty.put(0, 9, model(0, "1"), ReplicaState::Ready);
    assert!(empty.step().is_empty());
    let mut blank = Fleet::new(checked(serde_json::json!({})), policy);
    blank.put(7, 9, model(3, "1"), ReplicaState::Ready);
    blank.ask(model(5, "1"), f64::NAN, f64::INFINITY);
    assert!(blank.plan().is_empty());
}

#[test]
fn a_model_that_fits_nowhere_now_waits() {
    let mut fleet = fleet(2, &[FakeModel::of(70_000); 2], "demand");
    fleet.kill(1);
    fleet.put(0, 0, model(0, "1"), ReplicaState::Ready);
    fleet.put(0, 1, model(0, "2"), ReplicaState::Uncertain);
    for _ in 0..20 {
        assert!(fleet.step().is_empty());
    }
}
