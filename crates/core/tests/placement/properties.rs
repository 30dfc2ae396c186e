//! Random fleets, failures and demand against the invariants of the planner.
//!
//! Guards against an unload of a model's last ready replica and a load without memory, which can
//! follow from failed targets, lost orders, unseen epochs or uncertain replicas.

use kumquatkeel_types::message::ReplicaState;
use proptest::prelude::*;

use crate::fleet::{Fleet, ModelSpec, document, model, target, validated};

/// A change of the fleet or of the demand.
#[derive(Debug, Clone)]
enum Event {
    Kill(usize),
    Restore(usize),
    Leave(usize),
    SetDemand(usize, f64),
    AdditiveOnly(bool),
    DropOrders(bool),
    ForgetEpochs,
    Uncertain(usize),
    Wait(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_usize).prop_map(Event::Kill),
        (0..6_usize).prop_map(Event::Restore),
        (0..6_usize).prop_map(Event::Leave),
        (0..8_usize, 0.0..40.0).prop_map(|(m, rate)| Event::SetDemand(m, rate)),
        any::<bool>().prop_map(Event::AdditiveOnly),
        any::<bool>().prop_map(Event::DropOrders),
        Just(Event::ForgetEpochs),
        (0..20_usize).prop_map(Event::Uncertain),
        (1..20_usize).prop_map(Event::Wait),
    ]
}

fn model_spec() -> impl Strategy<Value = ModelSpec> {
    (5_000..26_000_u32, 1..3_u16, 0..3_u16).prop_map(|(memory_mb, floor, adapters)| ModelSpec {
        memory_mb,
        floor,
        adapters,
    })
}

fn apply(fleet: &mut Fleet, event: &Event, targets: usize) {
    match event {
        Event::Kill(t) => fleet.kill(t % targets),
        Event::Restore(t) => fleet.restore(t % targets),
        Event::Leave(t) => {
            fleet.leaving.insert(target(t % targets));
        }
        Event::SetDemand(m, rate) => fleet.set_demand(model(*m, "1"), *rate, rate * 10.0),
        Event::AdditiveOnly(additive_only) => fleet.additive_only = *additive_only,
        Event::DropOrders(dropped) => fleet.drop_orders = *dropped,
        Event::ForgetEpochs => fleet.fenced.clear(),
        Event::Uncertain(r) => {
            if let Some(replica) = fleet.replicas.get_mut(*r)
                && replica.state == ReplicaState::Ready
            {
                replica.state = ReplicaState::Uncertain;
            }
        }
        Event::Wait(seconds) => {
            for _ in 0..*seconds {
                fleet.step();
            }
        }
    }
    fleet.step();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// `Fleet::step` asserts that no last replica is unloaded and that no load lacks memory.
    #[test]
    fn invariants_hold_and_floors_converge(
        policy in prop_oneof![Just("demand"), Just("greedy")],
        targets in 4..7_usize,
        models in prop::collection::vec(model_spec(), 1..9),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut fleet = Fleet::new(validated(document(targets, &models, "1")), policy);
        for event in &events {
            apply(&mut fleet, event, targets);
        }
        fleet.additive_only = false;
        fleet.drop_orders = false;
        for t in 0..targets {
            fleet.restore(t);
        }
        for replica in &mut fleet.replicas {
            if replica.state == ReplicaState::Uncertain {
                replica.state = ReplicaState::Ready;
            }
        }
        for _ in 0..200 {
            fleet.step();
        }
        for (index, spec) in models.iter().enumerate() {
            let ready = fleet.ready(&model(index, "1"));
            prop_assert!(ready >= usize::from(spec.floor), "{ready} ready replicas of model {index}");
        }
    }
}
