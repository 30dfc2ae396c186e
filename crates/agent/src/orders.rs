//! Orders to the engine: from the lease holder's word to the engine's answer.

use std::sync::Arc;

use kumquatkeel_core::memory::{BeginStep, OrderCheck, OrderOutcome, action_memory_mb};
use kumquatkeel_core::scheduler::PoolId;
use kumquatkeel_types::engine::EngineOrder;
use kumquatkeel_types::message::{Order, OrderAction, OrderReply, OrderResult};
use log::{error, info, warn};
use tokio::time::{Instant, timeout, timeout_at};

use crate::decisions::Decisions;
use crate::record::{RecordError, RecordStore, SendRight};
use crate::shared::Shared;

/// When an order may come again that came before the target was taken over, in milliseconds.
const TAKEOVER_RETRY_MS: u64 = 1_000;

/// Says why an order that was begun was not sent.
enum Unsent {
    /// The replica's work did not end in time.
    Busy,
    /// The intent could not be written.
    Record(RecordError),
    /// The right to send passed while the intent was written.
    LeaseOver,
}

/// Takes an order, and carries it out in the background if it is taken up.
pub(crate) fn take_order(shared: &Arc<Shared>, order: &Order) -> OrderReply {
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
        if let Some(objection) = objection(core, order) {
            return (core.validator.reply(order, objection), None);
        }
        let step = core.memory.begin(&order.action, size, now);
        let number = match step {
            BeginStep::Send { number } => Some(number),
            _ => None,
        };
        (core.validator.reply(order, result_of(&step)), number)
    });
    info!(target: "orders", "orders: {:?} is answered with {:?}", order.action, reply.result);
    if let Some(number) = number {
        let task = carry_out(shared.clone(), order.action.clone(), number);
        shared.tasks.spawn(task);
    }
    reply
}

/// Returns why an order can't be taken up, whatever the memory.
fn objection(core: &Decisions, order: &Order) -> Option<OrderResult> {
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

async fn carry_out(shared: Arc<Shared>, action: OrderAction, number: u64) {
    match prepare(&shared, &action).await {
        Ok(right) => send(&shared, action, number, right).await,
        Err(unsent) => give_up(&shared, &action, number, &unsent),
    }
}

/// Waits for the replica's work to end, then writes the intent.
async fn prepare(shared: &Shared, action: &OrderAction) -> Result<Option<SendRight>, Unsent> {
    if let OrderAction::Unload { model, .. } = action {
        let pool = PoolId::Model(model.clone());
        if !wait_idle(shared, &pool).await {
            return Err(Unsent::Busy);
        }
    }
    let Some(record) = &shared.record else {
        return Ok(None);
    };
    let intents = shared.decisions().memory.intents(shared.now());
    let right = record.write(shared.incarnation, intents).await;
    right.map(Some).map_err(Unsent::Record)
}

/// Waits until nothing runs on a closed lane; an open one has other replicas.
async fn wait_idle(shared: &Shared, pool: &PoolId) -> bool {
    let limit = Instant::now() + shared.settings.limits.drain;
    loop {
        let changed = shared.changed.notified();
        let load = shared.decisions().scheduler.pool_load(pool);
        if load.slots > 0 || load.running == 0 {
            return true;
        }
        if timeout_at(limit, changed).await.is_err() {
            return false;
        }
    }
}

async fn send(shared: &Arc<Shared>, action: OrderAction, number: u64, right: Option<SendRight>) {
    if right.is_some_and(|right| !right.holds(shared.now())) {
        return give_up(shared, &action, number, &Unsent::LeaseOver);
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
            warn!(target: "orders", "orders: order {number} was not sent: {error}");
            return shared.update(|core, _| core.memory.abort(number));
        }
        Ok(Err(error)) => {
            warn!(target: "orders", "orders: the answer to order {number} was lost: {error}");
            None
        }
        Err(_) => {
            warn!(target: "orders", "orders: order {number} was not answered in time");
            None
        }
    };
    let step = shared.update(|core, now| {
        let step = core.memory.settle(number, reply, now);
        core.superseded |= step == OrderOutcome::Superseded;
        step
    });
    shared.telemetry.count_order(step);
    info!(target: "orders", "orders: order {number} ended as {step:?}");
    if step == OrderOutcome::Superseded {
        shared.yield_target("the engine has seen a later life");
    }
}

fn give_up(shared: &Shared, action: &OrderAction, number: u64, unsent: &Unsent) {
    shared.update(|core, _| core.memory.abort(number));
    match unsent {
        Unsent::Busy => {
            warn!(target: "orders", "orders: {action:?} is given up: requests did not end in time");
        }
        Unsent::LeaseOver => {
            warn!(target: "orders", "orders: {action:?} is given up: the right to send is over");
        }
        Unsent::Record(RecordError::Superseded { holder, .. }) => {
            shared.yield_target(format!("life {holder} holds the target"));
        }
        Unsent::Record(error) => {
            warn!(target: "orders", "orders: {action:?} is given up: {error}");
        }
    }
}

impl Shared {
    /// Gives no more orders and takes no new work: a later life holds the target.
    pub(crate) fn yield_target(&self, reason: impl AsRef<str>) {
        error!(target: "orders", "orders: this life ends: {}", reason.as_ref());
        self.update(|core, now| {
            core.superseded = true;
            core.drain(now);
        });
    }
}
