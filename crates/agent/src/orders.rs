//! Handles orders for the engine, from the lease holder's request to the engine's answer.
//!
//! An order is validated and its memory is reserved. Its intent is then written to the store, and
//! the order is sent while the send lease of that write is valid.

use std::sync::Arc;

use kumquatkeel_core::memory::{BeginStep, OrderCheck, OrderOutcome, action_memory_mb};
use kumquatkeel_core::scheduler::PoolId;
use kumquatkeel_types::engine::EngineOrder;
use kumquatkeel_types::message::{Order, OrderAction, OrderReply, OrderResult};
use log::{error, info, warn};
use tokio::time::{Instant, timeout, timeout_at};

use crate::agent_core::AgentCore;
use crate::record::{RecordError, RecordStore, SendLease};
use crate::shared::Shared;

/// Retry delay for an order that arrives before the target is taken over, in milliseconds.
const TAKEOVER_RETRY_MS: u64 = 1_000;

/// Why an accepted order was not sent to the engine.
enum Unsent {
    /// Requests still ran on the replica at the drain limit.
    Busy,
    /// The intent could not be written.
    Record(RecordError),
    /// The send lease expired before the order could be sent.
    LeaseExpired,
}

/// Answers an order and executes it in the background if it is accepted.
pub(crate) fn handle_order(shared: &Arc<Shared>, order: &Order) -> OrderReply {
    let document = shared.document();
    let size = document
        .as_ref()
        .and_then(|d| action_memory_mb(d, &order.action));
    let holds_target = shared.record.as_ref().is_none_or(RecordStore::holds_target);
    let (reply, number) = shared.update(|core, now| {
        if let OrderCheck::Reply(reply) = core.validator.check(order) {
            return (reply, None);
        }
        if !holds_target {
            let retry_after_ms = TAKEOVER_RETRY_MS;
            let result = OrderResult::Quarantined { retry_after_ms };
            return (core.validator.reply(order, result), None);
        }
        if let Some(refusal) = refusal(core, order) {
            return (core.validator.reply(order, refusal), None);
        }
        let step = core.memory.begin(&order.action, size, now);
        let number = match step {
            BeginStep::Send { number } => Some(number),
            _ => None,
        };
        (core.validator.reply(order, result_of(&step)), number)
    });
    info!(target: "orders", "orders: {:?} answered with {:?}", order.action, reply.result);
    if let Some(number) = number {
        let task = execute(shared.clone(), order.action.clone(), number);
        shared.tasks.spawn(task);
    }
    reply
}

/// Returns why an order is refused regardless of memory, or `None` if it may proceed.
fn refusal(core: &AgentCore, order: &Order) -> Option<OrderResult> {
    if core.superseded {
        return Some(OrderResult::WrongIncarnation);
    }
    let refused = |reason: &str| {
        Some(OrderResult::Refused {
            reason: reason.into(),
        })
    };
    match &order.action {
        OrderAction::Unload { model, .. } => {
            let pool = PoolId::Model(model.clone());
            let last = core.memory.ready_replicas(model) == 1;
            let waiting = core.scheduler.pool_load(&pool).waiting > 0;
            (last && waiting).then(|| refused("requests wait for the replica"))?
        }
        OrderAction::UnloadAdapter { adapter, model, .. } => core
            .scheduler
            .uses_adapter(model, adapter)
            .then(|| refused("requests use the adapter"))?,
        OrderAction::Load { .. } | OrderAction::LoadAdapter { .. } => core
            .scheduler
            .is_draining()
            .then(|| refused("the agent takes no new work"))?,
    }
}

fn result_of(step: &BeginStep) -> OrderResult {
    match *step {
        BeginStep::Send { .. } => OrderResult::Started,
        BeginStep::Already => OrderResult::Already,
        BeginStep::NoMemory { free_mb } => OrderResult::NoMemory { free_mb },
        BeginStep::Quarantined { retry_after_ms } => OrderResult::Quarantined { retry_after_ms },
        BeginStep::Refused { reason } => OrderResult::Refused {
            reason: reason.into(),
        },
    }
}

async fn execute(shared: Arc<Shared>, action: OrderAction, number: u64) {
    match prepare(&shared, &action).await {
        Ok(lease) => send(&shared, action, number, lease).await,
        Err(unsent) => abandon(&shared, &action, number, &unsent),
    }
}

/// Waits until the replica of an unload is idle, then writes the intent of the order.
///
/// Returns no lease if the agent has no store.
async fn prepare(shared: &Shared, action: &OrderAction) -> Result<Option<SendLease>, Unsent> {
    if let OrderAction::Unload { model, .. } = action {
        let pool = PoolId::Model(model.clone());
        if !wait_idle(shared, &pool).await {
            return Err(Unsent::Busy);
        }
    }
    let Some(record) = &shared.record else {
        return Ok(None);
    };
    let intents = shared.core().memory.intents(shared.now());
    let lease = record.write(shared.incarnation, intents).await;
    lease.map(Some).map_err(Unsent::Record)
}

/// Waits until nothing runs in a closed slot pool and returns whether that happened in time.
///
/// A pool that is still open has other replicas, so there is nothing to wait for.
async fn wait_idle(shared: &Shared, pool: &PoolId) -> bool {
    let limit = Instant::now() + shared.settings.limits.drain;
    loop {
        let changed = shared.changed.notified();
        let load = shared.core().scheduler.pool_load(pool);
        if load.slots > 0 || load.running == 0 {
            return true;
        }
        if timeout_at(limit, changed).await.is_err() {
            return false;
        }
    }
}

async fn send(shared: &Arc<Shared>, action: OrderAction, number: u64, lease: Option<SendLease>) {
    if lease.is_some_and(|lease| !lease.is_valid(shared.now())) {
        return abandon(shared, &action, number, &Unsent::LeaseExpired);
    }
    let order = EngineOrder {
        fence: shared.incarnation.0,
        number,
        action,
    };
    let answer = timeout(
        shared.settings.limits.order_wait,
        shared.engine.order(&order),
    )
    .await;
    let reply = match answer {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(error)) if error.not_run.is_some() => {
            warn!(target: "orders", "orders: order {number} did not reach the engine: {error}");
            return shared.update(|core, _| core.memory.abort(number));
        }
        Ok(Err(error)) => {
            warn!(target: "orders", "orders: the answer to order {number} was lost: {error}");
            None
        }
        Err(_) => {
            warn!(target: "orders", "orders: order {number} got no answer from the engine in time");
            None
        }
    };
    let step = shared.update(|core, now| {
        let step = core.memory.settle(number, reply, now);
        core.superseded |= step == OrderOutcome::Superseded;
        step
    });
    shared.telemetry.count_order(step);
    info!(target: "orders", "orders: order {number} ended: {step:?}");
    if step == OrderOutcome::Superseded {
        shared.step_down("the engine has seen a later incarnation");
    }
}

fn abandon(shared: &Shared, action: &OrderAction, number: u64, unsent: &Unsent) {
    shared.update(|core, _| core.memory.abort(number));
    match unsent {
        Unsent::Busy => {
            warn!(target: "orders", "orders: {action:?} was not sent: the replica is still busy");
        }
        Unsent::LeaseExpired => {
            warn!(target: "orders", "orders: {action:?} was not sent: the send lease expired");
        }
        Unsent::Record(RecordError::Superseded { holder, .. }) => {
            shared.step_down(format!("incarnation {holder} holds the target"));
        }
        Unsent::Record(error) => {
            warn!(target: "orders", "orders: {action:?} was not sent: {error}");
        }
    }
}

impl Shared {
    /// Stops sending orders and refuses new work, because a later incarnation holds the target.
    pub(crate) fn step_down(&self, reason: impl AsRef<str>) {
        error!(target: "orders", "orders: this incarnation steps down: {}", reason.as_ref());
        self.update(|core, now| {
            core.superseded = true;
            core.drain(now);
        });
    }
}
