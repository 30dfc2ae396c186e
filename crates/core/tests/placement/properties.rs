//! Random fleets, losses and demands against the promises.

use kumquatkeel_types::message::ReplicaState;
use proptest::prelude::*;

use crate::fleet::{FakeModel, Fleet, checked, document, model, target};

/// Something that happens to the fleet.
#[derive(Debug, Clone)]
enum Event {
    Kill(usize),
    Revive(usize),
    Leave(usize),
    Ask(usize, f64),
    Doubt(bool),
    LoseOrders(bool),
    ForgetEpoch,
    Uncertain(usize),
    Wait(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_usize).prop_map(Event::Kill),
        (0..6_usize).prop_map(Event::Revive),
        (0..6_usize).prop_map(Event::Leave),
        (0..8_usize, 0.0..40.0).prop_map(|(m, rate)| Event::Ask(m, rate)),
        any::<bool>().prop_map(Event::Doubt),
        any::<bool>().prop_map(Event::LoseOrders),
        Just(Event::ForgetEpoch),
        (0..20_usize).prop_map(Event::Uncertain),
        (1..20_usize).prop_map(Event::Wait),
    ]
}

fn fake_model() -> impl Strategy<Value = FakeModel> {
    (5_000..26_000_u32, 1..3_u16, 0..3_u16).prop_map(|(memory_mb, floor, adapters)| FakeModel {
        memory_mb,
        floor,
        adapters,
    })
}

fn apply(fleet: &mut Fleet, event: &Event, targets: usize) {
    match event {
        Event::Kill(t) => fleet.kill(t % targets),
        Event::Revive(t) => fleet.revive(t % targets),
        Event::Leave(t) => {
            fleet.leaving.insert(target(t % targets));
        }
        Event::Ask(m, rate) => fleet.ask(model(*m, "1"), *rate, rate * 10.0),
        Event::Doubt(doubt) => fleet.additive_only = *doubt,
        Event::LoseOrders(lose) => fleet.lose_orders = *lose,
        Event::ForgetEpoch => fleet.fenced.clear(),
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

    /// The fleet itself asserts that no last copy goes and that no load lacks memory.
    #[test]
    fn promises_hold_and_floors_converge(
        policy in prop_oneof![Just("demand"), Just("greedy")],
        targets in 4..7_usize,
        models in prop::collection::vec(fake_model(), 1..9),
        events in prop::collection::vec(event(), 1..40),
    ) {
        let mut fleet = Fleet::new(checked(document(targets, &models, "1")), policy);
        for event in &events {
            apply(&mut fleet, event, targets);
        }
        fleet.additive_only = false;
        fleet.lose_orders = false;
        for t in 0..targets {
            fleet.revive(t);
        }
        for replica in &mut fleet.replicas {
            if replica.state == ReplicaState::Uncertain {
                replica.state = ReplicaState::Ready;
            }
        }
        for _ in 0..200 {
            fleet.step();
        }
        for (index, fake) in models.iter().enumerate() {
            let ready = fleet.ready(&model(index, "1"));
            prop_assert!(ready >= usize::from(fake.floor), "{ready} copies of model {index}");
        }
    }
}
