//! The agent's synchronous core: the scheduler, memory tracker and order validator of one target.
//!
//! All three are behind one lock. The core also holds a channel for each attempt that waits for the
//! scheduler's decision.

use std::collections::BTreeMap;

use kumquatkeel_core::memory::{MemoryTracker, OrderValidator};
use kumquatkeel_core::scheduler::{
    Admission, AttemptScheduler, CancelStep, Ending, PoolCapacity, PoolId, SchedulerStep,
};
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::{Dispatch, FenceReply, FenceRequest, ReplicaState};
use kumquatkeel_types::{AttemptId, ModelId, Timestamp};
use tokio::sync::oneshot;

/// The result of offering an attempt to the scheduler.
#[derive(Debug)]
pub(crate) enum OfferOutcome {
    /// The scheduler has decided at once.
    Decided(Admission),
    /// The attempt waits; the decision arrives on this channel.
    Pending(oneshot::Receiver<SchedulerStep>),
}

/// The scheduler, memory tracker and order validator of one target.
#[derive(Debug)]
pub(crate) struct AgentCore {
    pub(crate) scheduler: AttemptScheduler,
    pub(crate) memory: MemoryTracker,
    pub(crate) validator: OrderValidator,
    /// Whether a later incarnation of the agent holds the target.
    pub(crate) superseded: bool,
    waiters: BTreeMap<AttemptId, oneshot::Sender<SchedulerStep>>,
}

impl AgentCore {
    /// Creates a core on which no attempt waits.
    pub(crate) const fn new(
        scheduler: AttemptScheduler,
        memory: MemoryTracker,
        validator: OrderValidator,
    ) -> Self {
        Self {
            scheduler,
            memory,
            validator,
            superseded: false,
            waiters: BTreeMap::new(),
        }
    }

    /// Offers an attempt to the scheduler and registers it as waiting if it is not decided at once.
    pub(crate) fn offer(&mut self, dispatch: &Dispatch, now: Timestamp) -> OfferOutcome {
        let admission = self.scheduler.offer(dispatch, now);
        if !matches!(admission, Admission::Queued | Admission::Joined) {
            return OfferOutcome::Decided(admission);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(dispatch.attempt.clone(), sender);
        self.tick(now);
        OfferOutcome::Pending(receiver)
    }

    /// Reports the end of a started attempt to the scheduler.
    pub(crate) fn finish(&mut self, attempt: &AttemptId, end: Ending, now: Timestamp) {
        let steps = self.scheduler.finish(attempt, end, now);
        self.deliver(steps);
    }

    /// Cancels an attempt whose entry has disconnected.
    pub(crate) fn cancel(&mut self, attempt: &AttemptId, now: Timestamp) -> CancelStep {
        let (step, steps) = self.scheduler.cancel(attempt, now);
        self.deliver(steps);
        step
    }

    /// Fences an attempt, so that it can't start later, and returns its state.
    pub(crate) fn fence(&mut self, request: &FenceRequest, now: Timestamp) -> FenceReply {
        let (reply, steps) = self.scheduler.fence(request, now);
        self.deliver(steps);
        reply
    }

    /// Makes the scheduler refuse all new work from now on.
    pub(crate) fn drain(&mut self, now: Timestamp) {
        let steps = self.scheduler.drain(now);
        self.deliver(steps);
    }

    /// Ends attempts that have waited too long.
    pub(crate) fn tick(&mut self, now: Timestamp) {
        let steps = self.scheduler.tick(now);
        self.deliver(steps);
    }

    /// Opens the slot pool of a plain target.
    pub(crate) fn open_plain(&mut self, slots: u32, now: Timestamp) {
        let capacity = PoolCapacity {
            slots,
            ..PoolCapacity::default()
        };
        let steps = self.scheduler.open_pool(PoolId::Plain, capacity, now);
        self.deliver(steps);
    }

    /// Opens and closes slot pools to match the replicas that are ready.
    pub(crate) fn refresh_pools(
        &mut self,
        document: Option<&Document>,
        default_slots: u32,
        now: Timestamp,
    ) {
        let capacities = self.pool_capacities(document, default_slots);
        let mut steps = Vec::new();
        let open: Vec<_> = self.scheduler.pools().cloned().collect();
        for pool in open {
            if pool != PoolId::Plain && !capacities.contains_key(&pool) {
                steps.extend(self.scheduler.close_pool(&pool, now));
            }
        }
        for (pool, capacity) in capacities {
            steps.extend(self.scheduler.open_pool(pool, capacity, now));
        }
        self.deliver(steps);
    }

    fn pool_capacities(
        &self,
        document: Option<&Document>,
        default_slots: u32,
    ) -> BTreeMap<PoolId, PoolCapacity> {
        let slots_of = |model: &ModelId| {
            let model = document.and_then(|d| d.model(model));
            model.map_or(default_slots, |m| u32::from(m.slots))
        };
        let mut capacities: BTreeMap<PoolId, PoolCapacity> = BTreeMap::new();
        let residency = self.memory.residency();
        let ready = residency.iter().filter(|r| r.state == ReplicaState::Ready);
        for replica in ready {
            let capacity = capacities
                .entry(PoolId::Model(replica.model.clone()))
                .or_default();
            capacity.slots += slots_of(&replica.model);
            capacity.adapters.extend(replica.adapters.iter().cloned());
        }
        capacities
    }

    fn deliver(&mut self, steps: Vec<SchedulerStep>) {
        for step in steps {
            let waiter = self.waiters.remove(attempt_of(&step));
            if let Some(waiter) = waiter {
                // If the channel is closed, the task has withdrawn its attempt and reports its end.
                let _ = waiter.send(step);
            }
        }
    }
}

const fn attempt_of(step: &SchedulerStep) -> &AttemptId {
    match step {
        SchedulerStep::Start(attempt)
        | SchedulerStep::NotRun { attempt, .. }
        | SchedulerStep::Answer { attempt, .. }
        | SchedulerStep::Unknown(attempt) => attempt,
    }
}
