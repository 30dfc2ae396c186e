//! Callers repeat keyed calls through both entries while the agent dies and the store loses answers.
//!
//! Each key is checked against a register that is written at most once.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_standin::demo::{CALLER_KEY, Caller, sample_plan};
use kumquatkeel_standin::fleet::{EntrySlot, Fleet, FleetPlan, pace_clock};
use kumquatkeel_standin::plain::PlainFault;
use kumquatkeel_types::Outcome;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;
use todc_utils::Specification;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::recorder::{Actions, Recorder, is_linearizable, seeds};

const KEYS: usize = 6;
const CALLERS: usize = 2;
const TRIES: usize = 4;
const PATIENCE: Duration = Duration::from_secs(30);
/// The share of the store's answers to writes that are lost.
const LOST_SHARE: f64 = 0.2;

/// What a caller was told of a keyed call.
#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyCall {
    Asked,
    /// The call was answered so.
    Done(String),
    /// This asking ran nothing.
    NotRun,
    /// The call may have run; whether it did is read from the service's record after the run.
    Unknown {
        ran: Option<String>,
    },
}

struct WriteOnce;

impl Specification for WriteOnce {
    type State = Option<String>;
    type Operation = KeyCall;

    fn init() -> Self::State {
        None
    }

    fn apply(call: &KeyCall, state: &Self::State) -> (bool, Self::State) {
        match (call, state) {
            (KeyCall::Asked, _) => (false, state.clone()),
            (KeyCall::Done(answer), None) => (true, Some(answer.clone())),
            (KeyCall::Done(answer), Some(written)) => (answer == written, state.clone()),
            (KeyCall::Unknown { ran }, None) => (true, ran.clone()),
            (KeyCall::NotRun | KeyCall::Unknown { .. }, _) => (true, state.clone()),
        }
    }
}

async fn call_key(
    process: usize,
    entries: Vec<SocketAddr>,
    key: String,
    seed: u64,
    recorder: Recorder<KeyCall>,
) {
    let mut rng = Pcg64::seed_from_u64(seed * 1_000 + process as u64);
    let caller = Caller::new(CALLER_KEY);
    let body = json!({ "key": key });
    for number in 0..TRIES {
        sleep(Duration::from_millis(rng.random_range(0..900))).await;
        let entry = entries[(process + number) % entries.len()];
        recorder.call(process, KeyCall::Asked);
        let call = caller.call(entry, "/v1/services/swap-desk/swap", &key, &body);
        let reply = timeout(PATIENCE, call).await.ok().and_then(Result::ok);
        let told = match reply.as_ref().and_then(|reply| reply.outcome) {
            Some(Outcome::Done) => KeyCall::Done(reply.map(|r| r.body).unwrap_or_default()),
            Some(Outcome::NotRun) => KeyCall::NotRun,
            _ => KeyCall::Unknown { ran: None },
        };
        recorder.respond(process, told);
    }
}

/// Returns the demo's fleet with a second plain target, so that no single agent knows every call.
fn plan() -> FleetPlan {
    let mut plan = sample_plan().expect("plan");
    let first = plan
        .document
        .targets
        .iter()
        .find(|t| !t.services.is_empty());
    let mut second = first.expect("a plain target").clone();
    second.name = "swaps-irbid-a".try_into().expect("name");
    second.data_centre = "irbid-a".try_into().expect("name");
    second.agent = "127.0.0.1:5".parse().expect("address");
    plan.document.targets.push(second);
    plan
}

/// Runs all callers of all keys and returns each key's history with the service's executions.
async fn run(seed: u64) -> Vec<(Actions<KeyCall>, usize)> {
    let mut fleet = Fleet::start(plan()).await.expect("starts");
    sleep(Duration::from_secs(3)).await;
    let mut rng = Pcg64::seed_from_u64(seed);
    let target = "swaps-amman-a".try_into().expect("name");
    for service in fleet.plains.values() {
        let nth = rng.random_range(1..4);
        service.faults().script(nth, PlainFault::LostAfter);
    }
    fleet.store.faults().set_losses(LOST_SHARE, seed);
    let entries: Vec<_> = fleet.entries.iter().map(EntrySlot::address).collect();
    let recorders: Vec<_> = (0..KEYS).map(|_| Recorder::new()).collect();
    let mut callers = JoinSet::new();
    for (number, recorder) in recorders.iter().enumerate() {
        for process in 0..CALLERS {
            let (entries, key) = (entries.clone(), format!("key-{number}"));
            callers.spawn(call_key(
                process,
                entries,
                key,
                seed + number as u64,
                recorder.clone(),
            ));
        }
    }
    sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
    let agent = fleet.agents.get_mut(&target).expect("agent");
    agent.kill();
    sleep(Duration::from_millis(300)).await;
    agent.revive().await.expect("starts");
    while callers.join_next().await.is_some() {}
    sleep(Duration::from_secs(5)).await;
    let history = |(number, recorder): (usize, &Recorder<KeyCall>)| {
        let key = format!("key-{number}");
        (recorder.actions(), fleet.executions(&key))
    };
    recorders.iter().enumerate().map(history).collect()
}

/// Replaces what an unknown outcome was with what the answers say was written.
fn resolve(actions: Actions<KeyCall>, executions: usize) -> Actions<KeyCall> {
    let written = actions.iter().find_map(|(_, action)| match action {
        todc_utils::Action::Response(KeyCall::Done(answer)) => Some(answer.clone()),
        _ => None,
    });
    let written = (executions > 0).then(|| written.unwrap_or_default());
    actions
        .into_iter()
        .map(|(process, action)| match action {
            todc_utils::Action::Response(KeyCall::Unknown { .. }) => {
                let ran = written.clone();
                (
                    process,
                    todc_utils::Action::Response(KeyCall::Unknown { ran }),
                )
            }
            action => (process, action),
        })
        .collect()
}

#[tokio::test(start_paused = true)]
async fn keyed_calls_are_written_at_most_once() {
    tokio::spawn(pace_clock());
    let mut answered = 0;
    for seed in seeds(4) {
        for (actions, executions) in run(seed).await {
            assert!(
                executions <= 1,
                "KUMQUATKEEL_SEED={seed}: ran {executions} times"
            );
            let history = resolve(actions, executions);
            let is_done = |action: &todc_utils::Action<KeyCall>| {
                matches!(action, todc_utils::Action::Response(KeyCall::Done(_)))
            };
            let done = history.iter().filter(|(_, action)| is_done(action)).count();
            assert!(
                done == 0 || executions == 1,
                "KUMQUATKEEL_SEED={seed}: {history:?}"
            );
            answered += done;
            assert!(
                is_linearizable::<WriteOnce>(history.clone()),
                "KUMQUATKEEL_SEED={seed}: {history:#?}"
            );
        }
    }
    assert!(answered > 0, "no call was answered");
}

#[test]
fn the_check_sees_two_answers_to_one_key() {
    use todc_utils::Action::{Call, Response};
    let history = vec![
        (0, Call(KeyCall::Asked)),
        (0, Response(KeyCall::Done("1".into()))),
        (1, Call(KeyCall::Asked)),
        (1, Response(KeyCall::Done("2".into()))),
    ];
    assert!(!is_linearizable::<WriteOnce>(history));
}
