//! The events of the driver and the order in which they happen.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_types::engine::EngineOrderReply;
use kumquatkeel_types::message::{Dispatch, FenceRequest, Member, Order, OrderAction, ProbeReply};
use kumquatkeel_types::{AttemptId, Incarnation, TargetName, Timestamp};

use super::fault::Fault;

/// Something that happens.
#[derive(Debug)]
pub(super) enum Event {
    /// A request reaches its entry.
    Arrive(usize),
    /// Something happens to a request at its entry.
    Flow(usize, FlowEvent),
    /// The answers to a request's probes have come.
    Probed(usize, Vec<(TargetName, ProbeReply)>),
    /// A request's due time may have come.
    Due(usize),
    /// Waiting requests at an entry may have waited too long.
    Admission(usize),
    /// An attempt reaches an agent.
    Dispatch(usize, usize, Box<Dispatch>),
    /// A fence reaches an agent.
    Fence(usize, usize, FenceRequest),
    /// A caller's leaving reaches an agent.
    Cancel(usize, AttemptId),
    /// Attempts at an agent may have waited too long.
    Scheduler(usize),
    /// An engine's step ends.
    Step(usize, Incarnation),
    /// A plain call ends.
    PlainEnd(usize, Incarnation, AttemptId),
    /// An order reaches an agent.
    Order(usize, Box<Order>),
    /// An engine has executed an order.
    Executed(usize, Incarnation, Execution),
    /// An agent's report reaches the entries.
    Report(Box<Member>),
    /// A second passes.
    Second,
    /// A fault begins or ends.
    Fault(Fault),
}

/// The end of an order at an engine.
#[derive(Debug, Clone)]
pub(super) struct Execution {
    /// The order's number at the agent.
    pub(super) number: u64,
    /// What was ordered.
    pub(super) action: OrderAction,
    /// What the engine answers.
    pub(super) reply: EngineOrderReply,
}

/// An event at its time; events of one time happen in the order in which they were planned.
#[derive(Debug)]
struct Timed {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// The events to come.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    events: BinaryHeap<Timed>,
    numbers: u64,
}

impl Agenda {
    /// Plans an event.
    pub(super) fn plan(&mut self, at: Timestamp, event: Event) {
        self.numbers += 1;
        self.events.push(Timed {
            at,
            number: self.numbers,
            event,
        });
    }

    /// Takes out the next event.
    pub(super) fn next(&mut self) -> Option<(Timestamp, Event)> {
        self.events.pop().map(|timed| (timed.at, timed.event))
    }
}
