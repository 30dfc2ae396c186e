//! Runs the memory tracker against a model of an engine over random orders, lost replies, late and
//! duplicate executions, restarts and pauses. Guards against memory in use that exceeds the
//! accelerator, or that the tracker does not count as committed.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::memory::{AllocationId, BeginStep, Intent, MemorySettings, MemoryTracker};
use kumquatkeel_types::document::Fencing;
use kumquatkeel_types::engine::{EngineLoad, EngineOrder, EngineOrderReply, EngineReplica};
use kumquatkeel_types::message::OrderAction;
use kumquatkeel_types::{AdapterName, Incarnation, ModelId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the generated events.
const SEED: u64 = 7;
const ACCELERATORS: u16 = 2;
const ACCELERATOR_MB: u32 = 100;
const MODELS_MB: [u32; 3] = [50, 60, 45];
const ADAPTER_MB: u32 = 15;
const ORDER_DELAY: Duration = Duration::from_secs(4);
const ORDER_LEASE: Duration = Duration::from_secs(2);

/// A step of the simulation; `nth` selects one of the prepared or sent orders.
#[derive(Debug, Clone)]
enum Event {
    Order {
        allocation: u8,
        load: bool,
    },
    Send {
        nth: u8,
    },
    Execute {
        nth: u8,
        duplicate: bool,
        reply_lost: bool,
    },
    LoseReply {
        nth: u8,
    },
    Drop {
        nth: u8,
    },
    Advance {
        millis: u16,
    },
    Poll {
        age_ms: u16,
    },
    Restart {
        store_up: bool,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (any::<u8>(), prop::bool::weighted(0.7))
            .prop_map(|(allocation, load)| Event::Order { allocation, load }),
        6 => any::<u8>().prop_map(|nth| Event::Send { nth }),
        6 => (any::<u8>(), any::<bool>(), any::<bool>())
            .prop_map(|(nth, duplicate, reply_lost)| Event::Execute { nth, duplicate, reply_lost }),
        2 => any::<u8>().prop_map(|nth| Event::LoseReply { nth }),
        1 => any::<u8>().prop_map(|nth| Event::Drop { nth }),
        6 => (0..1_200_u16).prop_map(|millis| Event::Advance { millis }),
        6 => (0..6_000_u16).prop_map(|age_ms| Event::Poll { age_ms }),
        1 => any::<bool>().prop_map(|store_up| Event::Restart { store_up }),
    ];
    prop::collection::vec(event, 1..300)
}

fn model(index: usize) -> ModelId {
    ModelId {
        name: format!("m{index}").try_into().expect("a name"),
        version: "1".try_into().expect("a version"),
    }
}

fn adapter() -> AdapterName {
    "a".try_into().expect("a name")
}

fn memory_mb(allocation: &AllocationId) -> Option<u32> {
    let index = (0..MODELS_MB.len()).find(|i| model(*i) == allocation.model)?;
    Some(
        allocation
            .adapter
            .as_ref()
            .map_or(MODELS_MB[index], |_| ADAPTER_MB),
    )
}

fn action(allocation: u8, load: bool) -> OrderAction {
    let accelerator = u16::from(allocation) % ACCELERATORS;
    let model = model(usize::from(allocation / 2) % MODELS_MB.len());
    match (allocation.is_multiple_of(3), load) {
        (false, true) => OrderAction::Load { model, accelerator },
        (false, false) => OrderAction::Unload { model, accelerator },
        (true, load) => {
            let adapter = adapter();
            if load {
                OrderAction::LoadAdapter {
                    adapter,
                    model,
                    accelerator,
                }
            } else {
                OrderAction::UnloadAdapter {
                    adapter,
                    model,
                    accelerator,
                }
            }
        }
    }
}

const fn is_load(action: &OrderAction) -> bool {
    matches!(
        action,
        OrderAction::Load { .. } | OrderAction::LoadAdapter { .. }
    )
}

/// An order that its agent may send until `send_until`.
struct Prepared {
    order: EngineOrder,
    send_until: Timestamp,
}

/// An order on its way to the engine, which may execute it until `latest_arrival`.
struct Sent {
    order: EngineOrder,
    latest_arrival: Timestamp,
}

struct Simulation {
    fencing: Fencing,
    now: Timestamp,
    tracker: MemoryTracker,
    incarnation: u64,
    stored_intents: Vec<Intent>,
    prepared: Vec<Prepared>,
    sent: Vec<Sent>,
    engine: BTreeMap<AllocationId, u32>,
    fence: u64,
    history: Vec<(Timestamp, BTreeMap<AllocationId, u32>, u64)>,
    quarantine_over: bool,
}

impl Simulation {
    fn new(fencing: Fencing) -> Self {
        let mut simulation = Self {
            fencing,
            now: Timestamp::from_millis(1),
            tracker: MemoryTracker::new(settings(fencing, 1), Timestamp::ZERO),
            incarnation: 1,
            stored_intents: Vec::new(),
            prepared: Vec::new(),
            sent: Vec::new(),
            engine: BTreeMap::new(),
            fence: 0,
            history: Vec::new(),
            quarantine_over: false,
        };
        simulation.record_history();
        simulation.poll(0);
        simulation
    }

    fn record_history(&mut self) {
        self.history
            .push((self.now, self.engine.clone(), self.fence));
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Order { allocation, load } => self.order(&action(allocation, load)),
            Event::Send { nth } => self.send(nth),
            Event::Execute {
                nth,
                duplicate,
                reply_lost,
            } => self.execute(nth, duplicate, reply_lost),
            Event::LoseReply { nth } => {
                let number = u64::from(nth) + 1;
                self.settle_if_sent(number, None);
            }
            Event::Drop { nth } => {
                let index = usize::from(nth);
                if index < self.sent.len() {
                    self.sent.remove(index);
                }
            }
            Event::Advance { millis } => self.advance(Duration::from_millis(millis.into())),
            Event::Poll { age_ms } => self.poll(age_ms.into()),
            Event::Restart { store_up } => self.restart(store_up),
        }
    }

    fn order(&mut self, action: &OrderAction) {
        let size = memory_mb(&AllocationId::from(action));
        if let BeginStep::Send { number } = self.tracker.begin(action, size, self.now) {
            self.stored_intents = self.tracker.intents(self.now);
            let order = EngineOrder {
                fence: self.incarnation,
                number,
                action: action.clone(),
            };
            let send_until = self.now.after(ORDER_LEASE);
            self.prepared.push(Prepared { order, send_until });
        }
    }

    /// Sends a prepared order, of this incarnation or of a previous one that was only paused.
    fn send(&mut self, nth: u8) {
        if self.prepared.is_empty() {
            return;
        }
        let Prepared { order, send_until } =
            self.prepared.remove(usize::from(nth) % self.prepared.len());
        if self.now < send_until {
            let latest_arrival = self.now.after(ORDER_DELAY);
            self.sent.push(Sent {
                order,
                latest_arrival,
            });
        } else if order.fence == self.incarnation {
            self.tracker.abort(order.number);
        }
    }

    fn execute(&mut self, nth: u8, duplicate: bool, reply_lost: bool) {
        if self.sent.is_empty() {
            return;
        }
        let index = usize::from(nth) % self.sent.len();
        let order = self.sent[index].order.clone();
        if !duplicate {
            self.sent.remove(index);
        }
        let reply = self.execute_on_engine(&order);
        if order.fence == self.incarnation {
            self.tracker
                .settle(order.number, (!reply_lost).then_some(reply), self.now);
        }
    }

    /// Settles an order that was sent, such as after a lost reply; an unsent order stays pending.
    fn settle_if_sent(&mut self, number: u64, reply: Option<EngineOrderReply>) {
        let unsent = self
            .prepared
            .iter()
            .any(|p| p.order.fence == self.incarnation && p.order.number == number);
        if !unsent {
            self.tracker.settle(number, reply, self.now);
        }
    }

    fn execute_on_engine(&mut self, order: &EngineOrder) -> EngineOrderReply {
        if self.fencing == Fencing::Enforced && order.fence < self.fence {
            return EngineOrderReply::OldFence;
        }
        self.fence = self.fence.max(order.fence);
        let allocation = AllocationId::from(&order.action);
        let reply = if is_load(&order.action) {
            let base_missing =
                allocation.adapter.is_some() && !self.engine.contains_key(&allocation.base());
            if base_missing {
                EngineOrderReply::Refused
            } else {
                let size = memory_mb(&allocation).expect("a known allocation");
                self.engine.insert(allocation, size);
                EngineOrderReply::Done
            }
        } else {
            self.engine.retain(|id, _| {
                *id != allocation && (allocation.adapter.is_some() || id.base() != allocation)
            });
            EngineOrderReply::Done
        };
        self.record_history();
        reply
    }

    /// Advances the clock, and drops the orders that can no longer arrive.
    fn advance(&mut self, span: Duration) {
        self.now = self.now.after(span);
        let now = self.now;
        self.sent.retain(|sent| sent.latest_arrival >= now);
    }

    fn poll(&mut self, age_ms: u64) {
        let age = Duration::from_millis(age_ms).min(self.now.since(Timestamp::from_millis(1)));
        let at = Timestamp::from_micros(self.now.as_micros() - age.as_micros() as u64);
        let past = self.history.iter().rev().find(|(time, _, _)| *time <= at);
        let Some((_, allocations, fence)) = past else {
            return;
        };
        let load = report(allocations, *fence, age);
        self.tracker.observe(&load, self.now, memory_mb);
        let probe = self.tracker.begin(
            &OrderAction::Unload {
                model: model(9),
                accelerator: 0,
            },
            None,
            self.now,
        );
        self.quarantine_over = !matches!(probe, BeginStep::Quarantined { .. });
    }

    fn restart(&mut self, store_up: bool) {
        self.incarnation += 1;
        let settings = settings(self.fencing, self.incarnation);
        self.tracker = MemoryTracker::new(settings, self.now);
        self.tracker
            .recover_intents(self.stored_intents.clone(), self.now);
        if !store_up {
            self.tracker =
                MemoryTracker::new(self::settings(self.fencing, self.incarnation), self.now);
            self.tracker.quarantine(self.now);
        }
        self.quarantine_over = false;
    }

    fn check(&self) {
        let mut used = vec![0; usize::from(ACCELERATORS)];
        for (allocation, mb) in &self.engine {
            used[usize::from(allocation.accelerator)] += mb;
        }
        assert!(
            used.iter().all(|mb| *mb <= ACCELERATOR_MB),
            "in use: {used:?}"
        );
        let committed = self.tracker.committed_mb();
        let covered = used
            .iter()
            .zip(&committed)
            .all(|(used, committed)| used <= committed);
        assert!(
            !self.quarantine_over || covered,
            "in use {used:?}, committed {committed:?}"
        );
    }
}

fn settings(fencing: Fencing, incarnation: u64) -> MemorySettings {
    MemorySettings {
        incarnation: Incarnation(incarnation),
        accelerators: ACCELERATORS,
        accelerator_mb: ACCELERATOR_MB,
        fencing,
        order_delay: ORDER_DELAY,
        order_lease: ORDER_LEASE,
    }
}

fn report(allocations: &BTreeMap<AllocationId, u32>, fence: u64, age: Duration) -> EngineLoad {
    let bases = allocations
        .keys()
        .filter(|allocation| allocation.adapter.is_none());
    let replicas = bases.map(|base| EngineReplica {
        model: base.model.clone(),
        accelerator: base.accelerator,
        ready: true,
        adapters: allocations
            .keys()
            .filter(|allocation| allocation.base() == *base)
            .filter_map(|allocation| allocation.adapter.clone())
            .collect(),
        running: 0,
        waiting: 0,
    });
    let mut used_mb = vec![0; usize::from(ACCELERATORS)];
    for (allocation, mb) in allocations {
        used_mb[usize::from(allocation.accelerator)] += mb;
    }
    EngineLoad {
        age_ms: age.as_millis() as u64,
        replicas: replicas.collect(),
        used_mb,
        fence,
    }
}

fn run(fencing: Fencing, events: &[Event]) {
    let mut simulation = Simulation::new(fencing);
    simulation.check();
    for event in events {
        simulation.apply(event);
        simulation.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn memory_is_never_overcommitted_with_engines_that_ignore_fencing(events in events()) {
        run(Fencing::Ignored, &events);
    }

    #[test]
    fn memory_is_never_overcommitted_with_engines_that_enforce_fencing(events in events()) {
        run(Fencing::Enforced, &events);
    }
}
