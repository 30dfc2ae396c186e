//! The agent's decisions behind one lock, and the attempts that wait on them.

use std::collections::BTreeMap;

use kumquatkeel_core::gate::{Admission, CancelStep, Ending, Gate, GateStep, LaneId, LaneOffer};
use kumquatkeel_core::memory::{Account, OrderDesk};
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{Dispatch, FenceReply, FenceRequest, ReplicaState};
use kumquatkeel_types::{AttemptId, ModelId, Timestamp};
use tokio::sync::oneshot;

/// What becomes of an attempt that was offered.
#[derive(Debug)]
pub(crate) enum Offered {
    /// The gate has decided.
    Now(Admission),
    /// The gate will tell.
    Later(oneshot::Receiver<GateStep>),
}

/// Gate, account and orders of one target.
#[derive(Debug)]
pub(crate) struct Decisions {
    pub(crate) gate: Gate,
    pub(crate) account: Account,
    pub(crate) desk: OrderDesk,
    /// Whether a later life of the agent holds the target.
    pub(crate) superseded: bool,
    waiters: BTreeMap<AttemptId, oneshot::Sender<GateStep>>,
}

impl Decisions {
    /// Puts the parts together.
    pub(crate) const fn new(gate: Gate, account: Account, desk: OrderDesk) -> Self {
        Self {
            gate,
            account,
            desk,
            superseded: false,
            waiters: BTreeMap::new(),
        }
    }

    /// Offers an attempt to the gate.
    pub(crate) fn offer(&mut self, dispatch: &Dispatch, now: Timestamp) -> Offered {
        let admission = self.gate.offer(dispatch, now);
        if !matches!(admission, Admission::Queued | Admission::Joined) {
            return Offered::Now(admission);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(dispatch.attempt.clone(), sender);
        self.tick(now);
        Offered::Later(receiver)
    }

    /// Takes in the end of an attempt that ran.
    pub(crate) fn finish(&mut self, attempt: &AttemptId, end: Ending, now: Timestamp) {
        let steps = self.gate.finish(attempt, end, now);
        self.deliver(steps);
    }

    /// Takes in that a caller has left.
    pub(crate) fn cancel(&mut self, attempt: &AttemptId, now: Timestamp) -> CancelStep {
        let (step, steps) = self.gate.cancel(attempt, now);
        self.deliver(steps);
        step
    }

    /// Fences an attempt.
    pub(crate) fn fence(&mut self, request: &FenceRequest, now: Timestamp) -> FenceReply {
        let (reply, steps) = self.gate.fence(request, now);
        self.deliver(steps);
        reply
    }

    /// Takes no new work from now on.
    pub(crate) fn drain(&mut self, now: Timestamp) {
        let steps = self.gate.drain(now);
        self.deliver(steps);
    }

    /// Ends what has waited too long.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        let steps = self.gate.tick(now);
        self.deliver(steps);
    }

    /// Opens the lane of a plain target.
    pub(crate) fn open_plain(&mut self, slots: u32, now: Timestamp) {
        let offer = LaneOffer {
            slots,
            ..LaneOffer::default()
        };
        let steps = self.gate.open_lane(LaneId::Plain, offer, now);
        self.deliver(steps);
    }

    /// Opens and closes lanes so that they offer just what is resident.
    pub(crate) fn refresh_lanes(
        &mut self,
        document: Option<&Document>,
        default_slots: u32,
        now: Timestamp,
    ) {
        let offers = self.lane_offers(document, default_slots);
        let mut steps = Vec::new();
        let gone: Vec<_> = self.gate.lanes().cloned().collect();
        for lane in gone {
            if lane != LaneId::Plain && !offers.contains_key(&lane) {
                steps.extend(self.gate.close_lane(&lane, now));
            }
        }
        for (lane, offer) in offers {
            steps.extend(self.gate.open_lane(lane, offer, now));
        }
        self.deliver(steps);
    }

    fn lane_offers(
        &self,
        document: Option<&Document>,
        default_slots: u32,
    ) -> BTreeMap<LaneId, LaneOffer> {
        let slots_of = |model: &ModelId| {
            let model = document.and_then(|d| d.model(model));
            model.map_or(default_slots, |m| u32::from(m.slots))
        };
        let mut offers: BTreeMap<LaneId, LaneOffer> = BTreeMap::new();
        let residency = self.account.residency();
        let ready = residency.iter().filter(|r| r.state == ReplicaState::Ready);
        for replica in ready {
            let offer = offers
                .entry(LaneId::Model(replica.model.clone()))
                .or_default();
            offer.slots += slots_of(&replica.model);
            offer.adapters.extend(replica.adapters.iter().cloned());
        }
        offers
    }

    fn deliver(&mut self, steps: Vec<GateStep>) {
        for step in steps {
            let waiter = self.waiters.remove(attempt_of(&step));
            if let Some(waiter) = waiter {
                // A waiter that is gone has left by itself and takes in its own end.
                let _ = waiter.send(step);
            }
        }
    }
}

const fn attempt_of(step: &GateStep) -> &AttemptId {
    match step {
        GateStep::Start(attempt)
        | GateStep::NotRun { attempt, .. }
        | GateStep::Answer { attempt, .. }
        | GateStep::Unknown(attempt) => attempt,
    }
}
