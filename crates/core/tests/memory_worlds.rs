//! The memory account against a model engine, over random orders, losses, late executions,
//! restarts and pauses: memory in use is never over size, and the account never below it.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_core::memory::{AllocationId, BeginStep, Intent, MemorySettings, MemoryTracker};
use kumquatkeel_types::document::Fencing;
use kumquatkeel_types::engine::{EngineLoad, EngineOrder, EngineOrderReply, EngineReplica};
use kumquatkeel_types::message::OrderAction;
use kumquatkeel_types::{AdapterName, Incarnation, ModelId, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Seed of the random events.
const SEED: u64 = 7;
const ACCELERATORS: u16 = 2;
const SIZE_MB: u32 = 100;
const MODELS_MB: [u32; 3] = [50, 60, 45];
const ADAPTER_MB: u32 = 15;
const DELAY: Duration = Duration::from_secs(4);
const LEASE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
enum Event {
    Order { unit: u8, load: bool },
    Send { nth: u8 },
    Execute { nth: u8, again: bool, lost: bool },
    LoseAnswer { nth: u8 },
    Drop { nth: u8 },
    Pass { millis: u16 },
    Poll { age_ms: u16 },
    Restart { store_up: bool },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        6 => (any::<u8>(), prop::bool::weighted(0.7))
            .prop_map(|(unit, load)| Event::Order { unit, load }),
        6 => any::<u8>().prop_map(|nth| Event::Send { nth }),
        6 => (any::<u8>(), any::<bool>(), any::<bool>())
            .prop_map(|(nth, again, lost)| Event::Execute { nth, again, lost }),
        2 => any::<u8>().prop_map(|nth| Event::LoseAnswer { nth }),
        1 => any::<u8>().prop_map(|nth| Event::Drop { nth }),
        6 => (0..1_200_u16).prop_map(|millis| Event::Pass { millis }),
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

fn size_of(unit: &AllocationId) -> Option<u32> {
    let index = (0..MODELS_MB.len()).find(|i| model(*i) == unit.model)?;
    Some(
        unit.adapter
            .as_ref()
            .map_or(MODELS_MB[index], |_| ADAPTER_MB),
    )
}

fn action(unit: u8, load: bool) -> OrderAction {
    let accelerator = u16::from(unit) % ACCELERATORS;
    let model = model(usize::from(unit / 2) % MODELS_MB.len());
    match (unit.is_multiple_of(3), load) {
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

/// An order that its agent may send until a moment.
struct Prepared {
    order: EngineOrder,
    until: Timestamp,
}

/// An order under way to the engine.
struct Sent {
    order: EngineOrder,
    latest: Timestamp,
}

struct World {
    fencing: Fencing,
    now: Timestamp,
    account: MemoryTracker,
    incarnation: u64,
    record: Vec<Intent>,
    prepared: Vec<Prepared>,
    sent: Vec<Sent>,
    engine: BTreeMap<AllocationId, u32>,
    fence: u64,
    history: Vec<(Timestamp, BTreeMap<AllocationId, u32>, u64)>,
    trusted: bool,
}

impl World {
    fn new(fencing: Fencing) -> Self {
        let mut world = Self {
            fencing,
            now: Timestamp::from_millis(1),
            account: MemoryTracker::new(settings(fencing, 1), Timestamp::ZERO),
            incarnation: 1,
            record: Vec::new(),
            prepared: Vec::new(),
            sent: Vec::new(),
            engine: BTreeMap::new(),
            fence: 0,
            history: Vec::new(),
            trusted: false,
        };
        world.remember();
        world.poll(0);
        world
    }

    fn remember(&mut self) {
        self.history
            .push((self.now, self.engine.clone(), self.fence));
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Order { unit, load } => self.order(&action(unit, load)),
            Event::Send { nth } => self.send(nth),
            Event::Execute { nth, again, lost } => self.execute(nth, again, lost),
            Event::LoseAnswer { nth } => {
                let number = u64::from(nth) + 1;
                self.settle_sent(number, None);
            }
            Event::Drop { nth } => {
                let index = usize::from(nth);
                if index < self.sent.len() {
                    self.sent.remove(index);
                }
            }
            Event::Pass { millis } => self.pass(Duration::from_millis(millis.into())),
            Event::Poll { age_ms } => self.poll(age_ms.into()),
            Event::Restart { store_up } => self.restart(store_up),
        }
    }

    fn order(&mut self, action: &OrderAction) {
        let size = size_of(&AllocationId::from(action));
        if let BeginStep::Send { number } = self.account.begin(action, size, self.now) {
            self.record = self.account.intents(self.now);
            let order = EngineOrder {
                fence: self.incarnation,
                number,
                action: action.clone(),
            };
            let until = self.now.after(LEASE);
            self.prepared.push(Prepared { order, until });
        }
    }

    /// Sends a prepared order, of this life or of an earlier one that was only paused.
    fn send(&mut self, nth: u8) {
        if self.prepared.is_empty() {
            return;
        }
        let Prepared { order, until } =
            self.prepared.remove(usize::from(nth) % self.prepared.len());
        if self.now < until {
            let latest = self.now.after(DELAY);
            self.sent.push(Sent { order, latest });
        } else if order.fence == self.incarnation {
            self.account.abort(order.number);
        }
    }

    fn execute(&mut self, nth: u8, again: bool, lost: bool) {
        if self.sent.is_empty() {
            return;
        }
        let index = usize::from(nth) % self.sent.len();
        let order = self.sent[index].order.clone();
        if !again {
            self.sent.remove(index);
        }
        let reply = self.carry_out(&order);
        if order.fence == self.incarnation {
            self.account
                .settle(order.number, (!lost).then_some(reply), self.now);
        }
    }

    /// Settles an order whose answer was given up; one that was not sent is not settled so.
    fn settle_sent(&mut self, number: u64, reply: Option<EngineOrderReply>) {
        let unsent = self
            .prepared
            .iter()
            .any(|p| p.order.fence == self.incarnation && p.order.number == number);
        if !unsent {
            self.account.settle(number, reply, self.now);
        }
    }

    fn carry_out(&mut self, order: &EngineOrder) -> EngineOrderReply {
        if self.fencing == Fencing::Enforced && order.fence < self.fence {
            return EngineOrderReply::OldFence;
        }
        self.fence = self.fence.max(order.fence);
        let unit = AllocationId::from(&order.action);
        let reply = if is_load(&order.action) {
            let base_missing = unit.adapter.is_some() && !self.engine.contains_key(&unit.base());
            if base_missing {
                EngineOrderReply::Refused
            } else {
                let size = size_of(&unit).expect("a known unit");
                self.engine.insert(unit, size);
                EngineOrderReply::Done
            }
        } else {
            self.engine
                .retain(|id, _| *id != unit && (unit.adapter.is_some() || id.base() != unit));
            EngineOrderReply::Done
        };
        self.remember();
        reply
    }

    /// Lets time pass; an order that was not executed by its latest arrival never will be.
    fn pass(&mut self, span: Duration) {
        self.now = self.now.after(span);
        let now = self.now;
        self.sent.retain(|sent| sent.latest >= now);
    }

    fn poll(&mut self, age_ms: u64) {
        let age = Duration::from_millis(age_ms).min(self.now.since(Timestamp::from_millis(1)));
        let at = Timestamp::from_micros(self.now.as_micros() - age.as_micros() as u64);
        let past = self.history.iter().rev().find(|(time, _, _)| *time <= at);
        let Some((_, units, fence)) = past else {
            return;
        };
        let load = report(units, *fence, age);
        self.account.observe(&load, self.now, size_of);
        let probe = self.account.begin(
            &OrderAction::Unload {
                model: model(9),
                accelerator: 0,
            },
            None,
            self.now,
        );
        self.trusted = !matches!(probe, BeginStep::Quarantined { .. });
    }

    fn restart(&mut self, store_up: bool) {
        self.incarnation += 1;
        let settings = settings(self.fencing, self.incarnation);
        self.account = MemoryTracker::new(settings, self.now);
        self.account.recover_intents(self.record.clone(), self.now);
        if !store_up {
            self.account =
                MemoryTracker::new(self::settings(self.fencing, self.incarnation), self.now);
            self.account.quarantine(self.now);
        }
        self.trusted = false;
    }

    fn check(&self) {
        let mut used = vec![0; usize::from(ACCELERATORS)];
        for (unit, mb) in &self.engine {
            used[usize::from(unit.accelerator)] += mb;
        }
        assert!(used.iter().all(|mb| *mb <= SIZE_MB), "in use: {used:?}");
        let committed = self.account.committed_mb();
        let covered = used
            .iter()
            .zip(&committed)
            .all(|(used, committed)| used <= committed);
        assert!(
            !self.trusted || covered,
            "in use {used:?}, committed {committed:?}"
        );
    }
}

fn settings(fencing: Fencing, incarnation: u64) -> MemorySettings {
    MemorySettings {
        incarnation: Incarnation(incarnation),
        accelerators: ACCELERATORS,
        accelerator_mb: SIZE_MB,
        fencing,
        order_delay: DELAY,
        order_lease: LEASE,
    }
}

fn report(units: &BTreeMap<AllocationId, u32>, fence: u64, age: Duration) -> EngineLoad {
    let bases = units.keys().filter(|unit| unit.adapter.is_none());
    let replicas = bases.map(|base| EngineReplica {
        model: base.model.clone(),
        accelerator: base.accelerator,
        ready: true,
        adapters: units
            .keys()
            .filter(|unit| unit.base() == *base)
            .filter_map(|unit| unit.adapter.clone())
            .collect(),
        running: 0,
        waiting: 0,
    });
    let mut used_mb = vec![0; usize::from(ACCELERATORS)];
    for (unit, mb) in units {
        used_mb[usize::from(unit.accelerator)] += mb;
    }
    EngineLoad {
        age_ms: age.as_millis() as u64,
        replicas: replicas.collect(),
        used_mb,
        fence,
    }
}

fn run(fencing: Fencing, events: &[Event]) {
    let mut world = World::new(fencing);
    world.check();
    for event in events {
        world.apply(event);
        world.check();
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn memory_is_never_over_size_with_engines_that_ignore_fencing(events in events()) {
        run(Fencing::Ignored, &events);
    }

    #[test]
    fn memory_is_never_over_size_with_engines_that_check_fencing(events in events()) {
        run(Fencing::Enforced, &events);
    }
}
