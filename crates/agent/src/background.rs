//! The agent's background tasks: polling the engine's load, expiring waiting attempts, and taking
//! the target over if that failed at the start.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::memory::{AllocationId, action_memory_mb};
use kumquatkeel_types::Timestamp;
use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::OrderAction;
use log::{info, warn};
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until, timeout};

use crate::record::RecordStore;
use crate::shared::Shared;

/// Longest time to wait for the engine's load report.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time between two checks for expired attempts.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two tries to take the target over while the store is unavailable.
const TAKEOVER_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the engine's load until the agent stops.
pub(crate) async fn poll_engine(shared: Arc<Shared>) {
    let mut ticks = interval(shared.settings.limits.poll);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failures = 0_u32;
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let asked = shared.now();
        match timeout(POLL_TIMEOUT, shared.engine.load()).await {
            Ok(Ok(load)) => {
                failures = 0;
                let document = shared.document();
                let size =
                    |allocation: &AllocationId| allocation_mb(document.as_deref()?, allocation);
                shared.update(|core, _| core.memory.observe(&load, asked, size));
            }
            Ok(Err(error)) => {
                failures += 1;
                warn!(target: "poll", "poll: load report failed, {failures} in a row: {error}");
            }
            Err(_) => {
                failures += 1;
                warn!(target: "poll", "poll: load report timed out, {failures} in a row");
            }
        }
    }
}

fn allocation_mb(document: &Document, allocation: &AllocationId) -> Option<u32> {
    let model = allocation.model.clone();
    let accelerator = allocation.accelerator;
    let action = match allocation.adapter.clone() {
        None => OrderAction::Load { model, accelerator },
        Some(adapter) => OrderAction::LoadAdapter {
            adapter,
            model,
            accelerator,
        },
    };
    action_memory_mb(document, &action)
}

/// Ends attempts that have waited too long and publishes the member record until the agent stops.
pub(crate) async fn tick_scheduler(shared: Arc<Shared>) {
    loop {
        let changed = shared.changed.notified();
        let wake = next_wake(&shared);
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = sleep_until(shared.clock.instant(wake)) => {
                let now = shared.now();
                shared.core().tick(now);
                shared.publish();
            }
            () = changed => {}
        }
    }
}

fn next_wake(shared: &Shared) -> Timestamp {
    let latest = shared.now().after(MAX_TICK_INTERVAL);
    let wake = shared.core().scheduler.next_wake();
    wake.map_or(latest, |wake| wake.min(latest))
}

/// Takes the target over once the store is available, after a start without it.
pub(crate) async fn retry_takeover(shared: Arc<Shared>) {
    let Some(record) = &shared.record else {
        return;
    };
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = sleep(TAKEOVER_RETRY_INTERVAL) => {}
        }
        match try_takeover(&shared, record).await {
            Ok(()) => return,
            Err(reason) => {
                warn!(target: "record", "record: the target is not taken over yet: {reason}");
            }
        }
    }
}

async fn try_takeover(shared: &Shared, record: &RecordStore) -> Result<(), String> {
    let takeover = record.take_over(shared.incarnation).await;
    let takeover = takeover.map_err(|error| error.to_string())?;
    if takeover.incarnation != shared.incarnation {
        shared.step_down(format!(
            "the record held an incarnation at or above this one and is now at {}",
            takeover.incarnation
        ));
        return Ok(());
    }
    info!(target: "record", "record: incarnation {} holds the target", shared.incarnation);
    shared.update(|core, now| {
        core.memory.recover_intents(takeover.intents, now);
        core.memory.quarantine(now);
    });
    Ok(())
}
