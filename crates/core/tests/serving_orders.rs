//! Orders to an engine that loses, delays and refuses them.
//!
//! Guards against overcommitted engine memory: an order that is carried out late must not take
//! effect in a state other than the one for which it was checked.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    EngineOrder, EngineReport, EngineSpec, LoadCommand, ModelSpec, OrderQueue, ResidentModel,
    TargetId,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;

const SIZES: [(&str, f64); 4] = [("m0", 65.0), ("m1", 72.7), ("m2", 72.7), ("m3", 34.3)];
const MEMORY_MB: f64 = 180.0;
const ADAPTER_SLOTS: u32 = 3;
const ADAPTER_MB: f64 = 2.0;

fn spec() -> EngineSpec {
    let model = |(name, weights_mb): &(&str, f64)| {
        let name: Arc<str> = Arc::from(*name);
        let spec = ModelSpec {
            name: name.clone(),
            weights_mb: *weights_mb,
            load: Duration::from_secs(6),
            disk_load: Duration::from_secs(1),
            adapters: 10,
            adapter_mb: ADAPTER_MB,
        };
        (name, spec)
    };
    EngineSpec {
        weights_mb: MEMORY_MB,
        adapter_slots: ADAPTER_SLOTS,
        load_rate: 1.0,
        models: SIZES.iter().map(model).collect(),
    }
}

/// An engine that carries out an order at once if its expected order count is right.
#[derive(Debug, Default)]
struct Engine {
    models: Vec<(Arc<str>, BTreeSet<Arc<str>>)>,
    seq: u64,
}

impl Engine {
    fn report(&self) -> EngineReport {
        let resident = |(name, adapters): &(Arc<str>, BTreeSet<Arc<str>>)| ResidentModel {
            name: name.clone(),
            adapters: adapters.iter().cloned().collect(),
        };
        EngineReport {
            models: self.models.iter().map(resident).collect(),
            order_seq: self.seq,
            ..EngineReport::default()
        }
    }

    fn carry_out(&mut self, order: &EngineOrder) {
        if order.expected != self.seq {
            return;
        }
        self.seq += 1;
        let held = self
            .models
            .iter_mut()
            .find(|(name, _)| *name == order.model);
        match (&order.adapter, held) {
            (None, None) if order.load => {
                self.models.push((order.model.clone(), BTreeSet::new()));
            }
            (None, Some(_)) if !order.load => {
                self.models.retain(|(name, _)| *name != order.model);
            }
            (Some(adapter), Some((_, adapters))) if order.load => {
                adapters.insert(adapter.clone());
            }
            (Some(adapter), Some((_, adapters))) => {
                adapters.remove(adapter);
            }
            _ => {}
        }
    }

    fn memory(&self) -> f64 {
        let size = |name: &str| SIZES.iter().find(|(n, _)| *n == name).unwrap().1;
        let model = |(name, adapters): &(Arc<str>, BTreeSet<Arc<str>>)| {
            size(name) + ADAPTER_MB * adapters.len() as f64
        };
        self.models.iter().map(model).sum()
    }

    fn adapters(&self) -> usize {
        self.models.iter().map(|(_, adapters)| adapters.len()).sum()
    }
}

fn command(model: usize, evict: &[Arc<str>]) -> LoadCommand {
    LoadCommand {
        target: TargetId::from("e"),
        model: Arc::from(SIZES[model].0),
        evict: evict.to_vec(),
    }
}

proptest! {
    /// Arbitrary load commands, adapters requested at any time, lost answers, and orders that are
    /// carried out late.
    #[test]
    fn no_sequence_of_events_overcommits_the_engine(
        steps in proptest::collection::vec((0_u8..6, 0_usize..4, 0_usize..10, 0_u64..900), 1..200),
    ) {
        let spec = spec();
        let mut engine = Engine::default();
        let mut orders = OrderQueue::default();
        let mut delayed: VecDeque<EngineOrder> = VecDeque::new();
        let mut now = 0;
        for (step, model, adapter, pause) in steps {
            now += pause;
            let at = Timestamp::from_millis(now);
            match step {
                0 => {
                    let evict: Vec<Arc<str>> =
                        engine.models.iter().take(adapter % 3).map(|m| m.0.clone()).collect();
                    orders.submit(command(model, &evict), at);
                }
                1 => {
                    let key = (Arc::from(SIZES[model].0), Arc::from(format!("a{adapter}")));
                    orders.request_adapter(key, at);
                }
                2 => {
                    if let Some(order) = delayed.pop_front() {
                        engine.carry_out(&order);
                    }
                }
                _ => {
                    if let Some(order) = orders.next_order(&engine.report(), &spec, at) {
                        if step == 3 {
                            // The answer is lost, and the order is carried out later, perhaps
                            // after newer ones.
                            delayed.push_back(order);
                        } else {
                            engine.carry_out(&order);
                            orders.record_accepted(&order, at);
                        }
                    }
                }
            }
            prop_assert!(engine.memory() <= MEMORY_MB, "{engine:?}");
            prop_assert!(engine.adapters() <= ADAPTER_SLOTS as usize, "{engine:?}");
        }
    }
}

#[test]
fn a_model_is_evicted_before_the_next_is_loaded() {
    let spec = spec();
    let mut engine = Engine::default();
    for model in ["m0", "m1"] {
        engine.models.push((Arc::from(model), BTreeSet::new()));
    }
    let mut orders = OrderQueue::default();
    assert!(orders.submit(command(2, &[Arc::from("m1")]), Timestamp::ZERO));
    assert!(
        !orders.submit(command(3, &[]), Timestamp::ZERO),
        "one command at a time"
    );
    let published = orders.published_report(&engine.report(), Some(&spec), Timestamp::ZERO);
    assert!(
        !published.holds("m1"),
        "a model about to be evicted gets no more work"
    );
    let loading: Vec<Arc<str>> = published.loading.into_iter().map(|l| l.model).collect();
    assert_eq!(loading, [Arc::from("m2")]);
    for _ in 0..3 {
        if let Some(order) = orders.next_order(&engine.report(), &spec, Timestamp::ZERO) {
            engine.carry_out(&order);
            orders.record_accepted(&order, Timestamp::ZERO);
        }
    }
    let held: Vec<&str> = engine.models.iter().map(|(name, _)| &**name).collect();
    assert_eq!(held, ["m0", "m2"]);
    assert!(orders.is_idle());
}

#[test]
fn a_busy_engine_gets_no_order() {
    let mut report = Engine::default().report();
    report.busy = true;
    let mut orders = OrderQueue::default();
    orders.submit(command(0, &[]), Timestamp::ZERO);
    assert_eq!(orders.next_order(&report, &spec(), Timestamp::ZERO), None);
}

#[test]
fn a_restarted_engine_restores_only_models_cached_on_its_instance() {
    let spec = spec();
    let mut engine = Engine::default();
    let report = |engine: &Engine| EngineReport {
        cached: vec![Arc::from("m3"), Arc::from("m0")],
        ..engine.report()
    };
    let mut orders = OrderQueue::default();
    let former = ["m0", "m2", "m3"].map(Arc::from);
    orders.restore(former.to_vec(), &report(&engine));

    let published = orders.published_report(&report(&engine), Some(&spec), Timestamp::ZERO);
    let loads: Vec<(&str, u32)> = (published.loading.iter())
        .map(|load| (&*load.model, load.left_ms))
        .collect();
    assert_eq!(loads, [("m0", 1_000), ("m3", 2_000)], "one after the other");

    for _ in 0..6 {
        if let Some(order) = orders.next_order(&report(&engine), &spec, Timestamp::ZERO) {
            engine.carry_out(&order);
            orders.record_accepted(&order, Timestamp::ZERO);
        }
    }
    let held: Vec<&str> = engine.models.iter().map(|(name, _)| &**name).collect();
    assert_eq!(held, ["m0", "m3"]);
    assert!(orders.is_idle());
}

#[test]
fn a_restore_whose_cached_copy_is_gone_is_skipped() {
    let spec = spec();
    let mut engine = Engine::default();
    let report_with = |engine: &Engine, cached: &[&str]| EngineReport {
        cached: cached.iter().map(|m| Arc::from(*m)).collect(),
        ..engine.report()
    };
    let mut orders = OrderQueue::default();
    let names = ["m0", "m3"];
    orders.restore(names.map(Arc::from).to_vec(), &report_with(&engine, &names));
    for _ in 0..4 {
        let report = report_with(&engine, if engine.seq == 0 { &names } else { &["m0"] });
        if let Some(order) = orders.next_order(&report, &spec, Timestamp::ZERO) {
            engine.carry_out(&order);
            orders.record_accepted(&order, Timestamp::ZERO);
        }
    }
    let held: Vec<&str> = engine.models.iter().map(|(name, _)| &**name).collect();
    assert_eq!(held, ["m0"]);
}
