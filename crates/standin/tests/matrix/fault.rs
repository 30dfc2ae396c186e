//! The faults, and where each can occur.

use std::time::Duration;

use kumquatkeel_platform::{InstanceRecord, InstanceState};
use kumquatkeel_standin::engine::{EngineCall, EngineFault};
use kumquatkeel_standin::fleet::LinkMode;
use kumquatkeel_standin::plain::PlainFault;
use kumquatkeel_standin::platform::{CallFault, CallKind};
use tokio::time::sleep;

use crate::step::Step;
use crate::world::{World, target};

/// How long a fault lasts that ends by itself.
const OUTAGE: Duration = Duration::from_secs(4);
/// How long a process is paused: longer than every lease.
const PAUSE: Duration = Duration::from_secs(12);
/// How late an order is carried out.
const LATE_ORDER: Duration = Duration::from_secs(3);
/// How much a slow store holds each call up.
const SLOW_STORE: Duration = Duration::from_millis(900);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    OrderLost,
    OrderLate,
    AnswerLost,
    ProcessDies,
    ProcessPaused,
    StoreDown,
    StoreSlow,
    WatchGap,
    ListStale,
    LinkCut,
    ReportLate,
    OperatorsRace,
}

impl Fault {
    pub(crate) const ALL: [Self; 12] = [
        Self::OrderLost,
        Self::OrderLate,
        Self::AnswerLost,
        Self::ProcessDies,
        Self::ProcessPaused,
        Self::StoreDown,
        Self::StoreSlow,
        Self::WatchGap,
        Self::ListStale,
        Self::LinkCut,
        Self::ReportLate,
        Self::OperatorsRace,
    ];

    /// Says why the fault can't occur at a step.
    pub(crate) const fn cannot_occur(self, step: Step) -> Option<&'static str> {
        match self {
            Self::OrderLost | Self::OrderLate if !step.gives_orders() => {
                Some("the step gives no order")
            }
            _ => None,
        }
    }

    /// Brings the fault about at a step.
    pub(crate) async fn strike(self, world: &mut World, step: Step) {
        match self {
            Self::OrderLost => script(world, EngineCall::Order, 1, EngineFault::LostBefore),
            Self::OrderLate => {
                let late = EngineFault::LateEffect(LATE_ORDER);
                script(world, EngineCall::Order, 1, late);
            }
            Self::AnswerLost => lose_answer(world, step),
            Self::ProcessDies => kill(world, step).await,
            Self::ProcessPaused => pause(world, step).await,
            Self::StoreDown => {
                world.fleet.store.set_outage(true);
                sleep(OUTAGE).await;
                world.fleet.store.set_outage(false);
            }
            Self::StoreSlow => {
                world.fleet.store.faults().set_write_delay(SLOW_STORE);
                world.fleet.store.faults().set_read_delay(SLOW_STORE);
                sleep(OUTAGE).await;
            }
            Self::WatchGap => {
                let gap = CallFault::Gap;
                world.fleet.store.faults().script(CallKind::Watch, 1, gap);
                world.fleet.store.compact();
            }
            Self::ListStale => {
                world.fleet.store.set_instances([InstanceRecord {
                    name: "swaps-a".try_into().expect("name"),
                    data_centre: "amman-a".try_into().expect("name"),
                    state: InstanceState::Leaving,
                }]);
            }
            Self::LinkCut => {
                set_region(world, LinkMode::Cut);
                sleep(OUTAGE).await;
                set_region(world, LinkMode::Pass);
            }
            Self::ReportLate => {
                let late = EngineFault::Late(Duration::from_secs(3));
                for nth in 1..=4 {
                    script(world, EngineCall::Report, nth, late);
                }
            }
            Self::OperatorsRace => race(world).await,
        }
    }
}

/// Makes the `nth` call of a kind at each engine meet a fault.
fn script(world: &World, call: EngineCall, nth: u64, fault: EngineFault) {
    for engine in world.fleet.engines.values() {
        engine.faults().script(call, nth, fault);
    }
}

/// Sets the mode of the links into one region: to an entry, an engine's and a service's agent.
fn set_region(world: &World, mode: LinkMode) {
    world.fleet.entries[1].set_links(mode);
    for name in ["engine-b", "swaps-b"] {
        if let Some(agent) = world.fleet.agents.get(&target(name)) {
            agent.front().set_mode(mode);
        }
    }
}

/// Loses the answer of the step's own call after it took effect.
fn lose_answer(world: &World, step: Step) {
    match step {
        Step::Claim | Step::Settle | Step::Apply | Step::Boot => {
            let faults = world.fleet.store.faults();
            for nth in 1..=3 {
                faults.script(CallKind::Put, nth, CallFault::LostAfter);
            }
        }
        Step::Admit | Step::Dispatch | Step::Drain => {
            for plain in world.fleet.plains.values() {
                plain.faults().script(1, PlainFault::LostAfter);
            }
        }
        Step::Stream => {
            script(
                world,
                EngineCall::Completion,
                1,
                EngineFault::InterruptAfter(3),
            );
        }
        Step::Load | Step::Unload | Step::Switch => {
            script(world, EngineCall::Order, 1, EngineFault::LostAfter);
        }
    }
}

/// Returns the target whose agent the step concerns.
fn victim(step: Step) -> &'static str {
    match step {
        Step::Load | Step::Unload | Step::Switch | Step::Stream => "engine-a",
        Step::Drain => "swaps-b",
        _ => "swaps-a",
    }
}

async fn kill(world: &mut World, step: Step) {
    let name = target(victim(step));
    let Some(agent) = world.fleet.agents.get_mut(&name) else {
        return;
    };
    agent.kill();
    sleep(Duration::from_millis(500)).await;
    if world.left.contains(&name) {
        return;
    }
    agent.revive().await.expect("agent starts");
    world.monitor.watch_agent(&name, agent);
}

async fn pause(world: &World, step: Step) {
    let Some(agent) = world.fleet.agents.get(&target(victim(step))) else {
        return;
    };
    agent.pause();
    sleep(PAUSE).await;
    agent.resume();
}

/// Two operators commit at once: one is accepted, the other gets a conflict.
async fn race(world: &mut World) {
    let base = Some(world.revision);
    let mut first = world.fleet.document.clone();
    first.policy.link_bytes = 1_000_001;
    let mut second = world.fleet.document.clone();
    second.policy.link_bytes = 1_000_002;
    let fleet = &world.fleet;
    let (first, second) = tokio::join!(fleet.commit(first, base), fleet.commit(second, base));
    world.note_commit(first.ok().as_ref());
    world.note_commit(second.ok().as_ref());
}
