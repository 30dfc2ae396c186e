//! What must hold in every cell.

use std::time::Duration;

use kumquatkeel_standin::engine::Prompt;
use tokio::time::{Instant, sleep};

use crate::traffic::{CallRecord, MAX_TOKENS, StreamRecord};
use crate::world::World;

/// Time for late effects to show.
const LATE_EFFECTS: Duration = Duration::from_secs(12);
/// Longest time until everything is reachable and in force after the last fault.
const RECOVERY: Duration = Duration::from_secs(30);

/// Checks all eight promises once the faults have ended.
pub(crate) async fn check(world: &mut World) -> Result<(), String> {
    world.traffic.finish().await;
    sleep(LATE_EFFECTS).await;
    check_calls(world)?;
    check_streams(world)?;
    check_recovery(world).await?;
    check_memory(world)?;
    match world.monitor.broken().first() {
        Some(broken) => Err(broken.clone()),
        None => Ok(()),
    }
}

fn check_calls(world: &World) -> Result<(), String> {
    for call in world.traffic.calls() {
        check_call(&call, world.fleet.executions(&call.key))?;
    }
    Ok(())
}

/// At most once; not run means not run; one answer to every asking.
fn check_call(call: &CallRecord, executions: usize) -> Result<(), String> {
    if executions > 1 {
        return Err(format!("doubled: {call:?} ran {executions} times"));
    }
    if call.told_not_run() && executions > 0 {
        return Err(format!("false not run: {call:?} ran"));
    }
    let mut answers = call.answers();
    let Some(first) = answers.next() else {
        return Ok(());
    };
    if executions != 1 {
        return Err(format!("lost: {call:?} ran {executions} times"));
    }
    if answers.any(|answer| answer.body != first.body) {
        return Err(format!("different answers: {call:?}"));
    }
    Ok(())
}

fn check_streams(world: &World) -> Result<(), String> {
    world.traffic.streams().iter().try_for_each(check_stream)
}

/// The whole answer to the caller's own request.
fn check_stream(stream: &StreamRecord) -> Result<(), String> {
    let Ok(completion) = &stream.answer else {
        return Ok(());
    };
    let whole = |version: &str| {
        let prompt = match stream.model {
            "tone" => Prompt::new("box", version, &*stream.prompt).with_adapter("tone"),
            model => Prompt::new(model, version, &*stream.prompt),
        };
        prompt.with_seed(stream.seed).expected(MAX_TOKENS).text()
    };
    let is_whole = ["1", "2"].into_iter().any(|v| completion.text == whole(v));
    if is_whole && completion.finish.is_some() {
        return Ok(());
    }
    Err(format!(
        "wrong answer: {stream:?} instead of {:?}",
        whole("1")
    ))
}

/// Every model and adapter is reachable, every call is answered, and the configuration in force.
async fn check_recovery(world: &mut World) -> Result<(), String> {
    let end = Instant::now() + RECOVERY;
    loop {
        let missing = find_missing(world).await;
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() > end {
            return Err(format!("after the faults: {missing:?}"));
        }
        sleep(Duration::from_millis(500)).await;
    }
}

async fn find_missing(world: &mut World) -> Vec<String> {
    let (calls, streams) = (world.traffic.calls().len(), world.traffic.streams().len());
    world.traffic.send_some();
    world.traffic.finish().await;
    let mut missing = Vec::new();
    for call in &world.traffic.calls()[calls..] {
        if call.answers().next().is_none() {
            missing.push(format!("{call:?}"));
        }
    }
    for stream in &world.traffic.streams()[streams..] {
        if stream.answer.is_err() {
            missing.push(format!("{stream:?}"));
        }
    }
    missing.extend(find_lagging(world));
    missing
}

/// Returns the processes that do not work from the accepted configuration.
fn find_lagging(world: &World) -> Vec<String> {
    let mut lagging = Vec::new();
    for entry in &world.fleet.entries {
        let revision = entry.handle().state().revision();
        if revision < Some(world.revision) {
            lagging.push(format!("an entry works from {revision:?}"));
        }
    }
    for (name, agent) in &world.fleet.agents {
        if world.left.contains(name) {
            continue;
        }
        let revision = agent.handle().member().borrow().revision;
        if revision < world.revision {
            lagging.push(format!("{name} works from {revision}"));
        }
    }
    lagging
}

fn check_memory(world: &World) -> Result<(), String> {
    for (name, engine) in &world.fleet.engines {
        if let Some(violation) = engine.record().violations.first() {
            return Err(format!("memory: {name} was given {violation:?}"));
        }
    }
    Ok(())
}
