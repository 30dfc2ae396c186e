//! Calls that run at most once, over two entries, an agent that may restart and a failing store.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use common::{CallFault, FakeStore};
use kumquatkeel_core::ledger::{
    Call, CallOutcome, Claim, ClaimHolder, LedgerKey, OpAnswer, Operation, PartitionId, WallTime,
    example_call,
};
use kumquatkeel_entry::ledger::{
    CallLedger, ClaimAnswer, LedgerPeers, SettleAnswer, StoreLedger, WallClock,
};
use kumquatkeel_platform::WriteIdGenerator;
use kumquatkeel_types::message::{FenceReply, FenceRequest};
use kumquatkeel_types::{AttemptId, EntryName, Incarnation, RequestId, TargetName};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// An agent and its target, which counts what it ran.
#[derive(Default)]
struct Agent {
    life: u64,
    ran: BTreeMap<AttemptId, u64>,
    fenced: BTreeSet<AttemptId>,
    runs: u32,
}

impl Agent {
    /// Runs an attempt, unless it was fenced or is for another life; says whether it ran.
    fn dispatch(&mut self, claim: &Claim) -> bool {
        let refused = claim.incarnation.0 != self.life || self.fenced.contains(&claim.attempt);
        if refused || self.ran.contains_key(&claim.attempt) {
            return false;
        }
        self.ran.insert(claim.attempt.clone(), self.life);
        self.runs += 1;
        true
    }

    fn fence(&mut self, request: &FenceRequest) -> FenceReply {
        if request.incarnation.0 != self.life {
            let incarnation = Incarnation(self.life);
            return FenceReply::WrongIncarnation { incarnation };
        }
        if self.ran.contains_key(&request.attempt) {
            return FenceReply::Answered {
                status: 200,
                content_type: "text/plain".into(),
                body: "booked".into(),
            };
        }
        self.fenced.insert(request.attempt.clone());
        FenceReply::NotRun
    }
}

struct Peers {
    agent: Arc<Mutex<Agent>>,
    reachable: bool,
}

#[async_trait]
impl LedgerPeers for Peers {
    fn writers(&self) -> u32 {
        2
    }

    fn holder(&self, request: &RequestId) -> ClaimHolder {
        // The first entry is dead or paused as soon as anyone asks.
        if request.life == Incarnation(1) {
            ClaimHolder::Gone
        } else {
            ClaimHolder::Alive
        }
    }

    fn owner(&self, _: PartitionId) -> Option<EntryName> {
        None
    }

    async fn forward(&self, _: &EntryName, _: &Operation) -> Option<OpAnswer> {
        None
    }

    async fn fence(&self, _: &TargetName, request: FenceRequest) -> Option<FenceReply> {
        let reply = || self.agent.lock().unwrap().fence(&request);
        self.reachable.then(reply)
    }
}

struct Bench {
    store: Arc<FakeStore>,
    agent: Arc<Mutex<Agent>>,
    stop: CancellationToken,
}

impl Bench {
    fn new() -> Self {
        let agent = Agent {
            life: 1,
            ..Agent::default()
        };
        Self {
            store: Arc::default(),
            agent: Arc::new(Mutex::new(agent)),
            stop: CancellationToken::new(),
        }
    }

    fn entry(&self, name: &str, reachable: bool) -> StoreLedger {
        let ids = WriteIdGenerator::new(name, &mut Pcg64::seed_from_u64(3));
        let agent = self.agent.clone();
        let peers = Arc::new(Peers { agent, reachable });
        let wall = WallClock::at(WallTime::from_millis(1_700_000_000_000));
        StoreLedger::new(self.store.clone(), ids, peers, wall, self.stop.clone())
    }

    fn runs(&self) -> u32 {
        self.agent.lock().unwrap().runs
    }

    fn dispatch(&self, claim: &Claim) -> bool {
        self.agent.lock().unwrap().dispatch(claim)
    }
}

fn call(number: u64, life: u64, agent: u64) -> Call {
    let mut call = example_call("swap", number);
    call.attempt.request.life = Incarnation(life);
    call.incarnation = Incarnation(agent);
    call
}

async fn settle(ledger: &StoreLedger, key: &LedgerKey, claim: &Claim, ran: bool) -> SettleAnswer {
    let outcome = if ran {
        CallOutcome::answered(200, "text/plain", "booked")
    } else {
        CallOutcome::NotRun
    };
    ledger.settle(key, claim, outcome).await
}

/// How far the first entry gets before it dies or is paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    Claimed,
    Dispatched,
    Settled,
    /// It is paused after its claim and goes on when the second entry is done.
    PausedAfterClaim,
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_repeat_through_another_entry_never_runs_twice(
    #[values(
        Reach::Claimed,
        Reach::Dispatched,
        Reach::Settled,
        Reach::PausedAfterClaim
    )]
    reach: Reach,
    #[values(1, 2, 3, 4, 5)] number: u64,
    #[values(0, 1, 2, 3, 4)] fault: usize,
    #[values(false, true)] restarts: bool,
) {
    let bench = Bench::new();
    let first = bench.entry("first", true);
    let second = bench.entry("second", true);
    let wanted = call(1, 1, 1);
    bench.store.fail(number, CallFault::ALL[fault]);
    let claim = match first.claim(wanted.clone()).await {
        ClaimAnswer::Run(claim) => Some(claim),
        ClaimAnswer::StoreUnavailable => None,
        other => panic!("{other:?}"),
    };
    if let Some(claim) = &claim
        && matches!(reach, Reach::Dispatched | Reach::Settled)
    {
        assert!(bench.dispatch(claim));
        if reach == Reach::Settled {
            settle(&first, &wanted.key, claim, true).await;
        }
    }
    if restarts {
        bench.agent.lock().unwrap().life = 2;
    }
    let agent = bench.agent.lock().unwrap().life;
    let mut last = None;
    for attempt in 2..12 {
        let answer = second.claim(call(attempt, 2, agent)).await;
        if let ClaimAnswer::Run(claim) = &answer {
            assert!(bench.dispatch(claim), "nobody fenced it");
            settle(&second, &wanted.key, claim, true).await;
        }
        last = Some(answer);
        sleep(Duration::from_secs(1)).await;
    }
    if reach == Reach::PausedAfterClaim
        && let Some(claim) = &claim
    {
        let ran = bench.dispatch(claim);
        settle(&first, &wanted.key, claim, ran).await;
    }
    assert!(bench.runs() <= 1, "{} runs", bench.runs());
    // In the end the caller knows, unless the agent that might have run it is gone.
    match last.unwrap() {
        ClaimAnswer::Answered { body, .. } => {
            assert_eq!(body.as_deref(), Some("booked"));
            assert_eq!(bench.runs(), 1);
        }
        ClaimAnswer::Unknown => assert!(restarts),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_copy_of_the_partition_is_found_out_by_the_condition() {
    let bench = Bench::new();
    let (first, second) = (bench.entry("first", true), bench.entry("second", true));
    let wanted = call(1, 2, 1);
    let partition = wanted.key.partition();
    let neighbour = (0..100_000)
        .map(|number| example_call(&format!("other-{number}"), 50))
        .find(|call| call.key.partition() == partition)
        .unwrap();
    assert!(matches!(second.claim(neighbour).await, ClaimAnswer::Run(_)));
    assert!(matches!(first.claim(wanted).await, ClaimAnswer::Run(_)));
    let again = second.claim(call(2, 2, 1)).await;
    assert!(matches!(again, ClaimAnswer::Running { .. }), "{again:?}");
}

#[tokio::test(start_paused = true)]
async fn a_store_outage_refuses_at_once_and_never_runs() {
    let bench = Bench::new();
    let ledger = bench.entry("first", true);
    bench.store.set_down(true);
    let begun = Instant::now();
    let refused = ledger.claim(call(1, 2, 1)).await;
    assert_eq!(refused, ClaimAnswer::StoreUnavailable);
    assert!(begun.elapsed() < Duration::from_millis(100));
    bench.store.set_down(false);
    sleep(Duration::from_secs(10)).await;
    let again = ledger.claim(call(2, 2, 1)).await;
    assert!(matches!(again, ClaimAnswer::Run(_)), "{again:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outcome_in_an_outage_is_stored_when_the_store_is_back() {
    let bench = Bench::new();
    let ledger = bench.entry("first", true);
    let wanted = call(1, 2, 1);
    let ClaimAnswer::Run(claim) = ledger.claim(wanted.clone()).await else {
        panic!("not claimed");
    };
    bench.store.set_down(true);
    let pending = settle(&ledger, &wanted.key, &claim, true).await;
    assert_eq!(pending, SettleAnswer::Pending);
    sleep(Duration::from_mins(5)).await;
    bench.store.set_down(false);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(ledger.pending(), 0);
    let again = bench.entry("second", true).claim(call(2, 3, 1)).await;
    assert!(matches!(again, ClaimAnswer::Answered { .. }));
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_does_not_answer_leaves_the_call_unknown() {
    let bench = Bench::new();
    let claimed = bench.entry("first", true).claim(call(1, 1, 1)).await;
    assert!(matches!(claimed, ClaimAnswer::Run(_)));
    let again = bench.entry("second", false).claim(call(2, 2, 1)).await;
    assert_eq!(again, ClaimAnswer::Unknown);
}

#[tokio::test(start_paused = true)]
async fn writes_stay_bounded_whatever_the_rate() {
    let bench = Bench::new();
    let ledger = bench.entry("first", true);
    let begun = Instant::now();
    let claims = (0..2_000).map(|number| {
        let mut call = example_call(&format!("key-{number}"), number);
        call.attempt.request.life = Incarnation(2);
        let ledger = ledger.clone();
        async move { ledger.claim(call).await }
    });
    let answers = futures::future::join_all(claims).await;
    assert!(answers.iter().all(|a| matches!(a, ClaimAnswer::Run(_))));
    let seconds = begun.elapsed().as_secs_f64();
    let writes = bench.store.puts() as f64;
    // This entry's half of 200 writes a second, and a burst.
    assert!(writes <= 100.0 * seconds + 10.0, "{writes} in {seconds} s");
}
