//! The ledger of calls that run at most once, with two entries, one agent and a faulty store.
//!
//! Guards against a second run of a call when an entry dies or pauses at any stage of the call, the
//! agent restarts or a store call fails, and the caller retries through the other entry.

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
    ClaimAnswer, ClaimLedger, LedgerPeers, SettleAnswer, StoreLedger, WallClock,
};
use kumquatkeel_platform::WriteIdGenerator;
use kumquatkeel_types::message::{FenceReply, FenceRequest};
use kumquatkeel_types::{AttemptId, EntryName, Incarnation, RequestId, TargetName};
use rand_pcg::Pcg64;
use rand_pcg::rand_core::SeedableRng;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// An agent with its target, which counts the calls that it ran.
#[derive(Default)]
struct FakeAgent {
    incarnation: u64,
    ran: BTreeMap<AttemptId, u64>,
    fenced: BTreeSet<AttemptId>,
    runs: u32,
}

impl FakeAgent {
    /// Runs an attempt unless it was fenced, ran before or is for another incarnation; returns
    /// whether it ran.
    fn dispatch(&mut self, claim: &Claim) -> bool {
        let refused =
            claim.incarnation.0 != self.incarnation || self.fenced.contains(&claim.attempt);
        if refused || self.ran.contains_key(&claim.attempt) {
            return false;
        }
        self.ran.insert(claim.attempt.clone(), self.incarnation);
        self.runs += 1;
        true
    }

    fn fence(&mut self, request: &FenceRequest) -> FenceReply {
        if request.incarnation.0 != self.incarnation {
            let incarnation = Incarnation(self.incarnation);
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

struct FakePeers {
    agent: Arc<Mutex<FakeAgent>>,
    reachable: bool,
}

#[async_trait]
impl LedgerPeers for FakePeers {
    fn live_entries(&self) -> u32 {
        2
    }

    fn holder_state(&self, request: &RequestId) -> ClaimHolder {
        // The first entry, of incarnation 1, is reported gone from the start.
        if request.life == Incarnation(1) {
            ClaimHolder::Gone
        } else {
            ClaimHolder::Alive
        }
    }

    fn partition_owner(&self, _: PartitionId) -> Option<EntryName> {
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

struct Fixture {
    store: Arc<FakeStore>,
    agent: Arc<Mutex<FakeAgent>>,
    stop: CancellationToken,
}

impl Fixture {
    fn new() -> Self {
        let agent = FakeAgent {
            incarnation: 1,
            ..FakeAgent::default()
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
        let peers = Arc::new(FakePeers { agent, reachable });
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

fn call(number: u64, entry_incarnation: u64, agent_incarnation: u64) -> Call {
    let mut call = example_call("swap", number);
    call.attempt.request.life = Incarnation(entry_incarnation);
    call.incarnation = Incarnation(agent_incarnation);
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

/// How far the first entry gets before it dies or pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Claimed,
    Dispatched,
    Settled,
    /// It pauses after its claim and resumes when the second entry is done.
    PausedAfterClaim,
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn a_retry_through_another_entry_never_runs_the_call_twice(
    #[values(
        Progress::Claimed,
        Progress::Dispatched,
        Progress::Settled,
        Progress::PausedAfterClaim
    )]
    progress: Progress,
    #[values(1, 2, 3, 4, 5)] failing_call: u64,
    #[values(0, 1, 2, 3, 4)] fault: usize,
    #[values(false, true)] agent_restarts: bool,
) {
    let fixture = Fixture::new();
    let first = fixture.entry("first", true);
    let second = fixture.entry("second", true);
    let first_call = call(1, 1, 1);
    fixture.store.fail(failing_call, CallFault::ALL[fault]);
    let claim = match first.claim(first_call.clone()).await {
        ClaimAnswer::Run(claim) => Some(claim),
        ClaimAnswer::StoreUnavailable => None,
        other => panic!("{other:?}"),
    };
    if let Some(claim) = &claim
        && matches!(progress, Progress::Dispatched | Progress::Settled)
    {
        assert!(fixture.dispatch(claim));
        if progress == Progress::Settled {
            settle(&first, &first_call.key, claim, true).await;
        }
    }
    if agent_restarts {
        fixture.agent.lock().unwrap().incarnation = 2;
    }
    let agent_incarnation = fixture.agent.lock().unwrap().incarnation;
    let mut last = None;
    for attempt in 2..12 {
        let answer = second.claim(call(attempt, 2, agent_incarnation)).await;
        if let ClaimAnswer::Run(claim) = &answer {
            assert!(
                fixture.dispatch(claim),
                "the agent refused a claimed attempt"
            );
            settle(&second, &first_call.key, claim, true).await;
        }
        last = Some(answer);
        sleep(Duration::from_secs(1)).await;
    }
    if progress == Progress::PausedAfterClaim
        && let Some(claim) = &claim
    {
        let ran = fixture.dispatch(claim);
        settle(&first, &first_call.key, claim, ran).await;
    }
    assert!(fixture.runs() <= 1, "{} runs", fixture.runs());
    // The caller gets the response unless the agent, which may have run the call, has restarted.
    match last.unwrap() {
        ClaimAnswer::Answered { body, .. } => {
            assert_eq!(body.as_deref(), Some("booked"));
            assert_eq!(fixture.runs(), 1);
        }
        ClaimAnswer::Unknown => assert!(agent_restarts),
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn a_stale_partition_copy_fails_the_conditional_write() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.entry("first", true), fixture.entry("second", true));
    let first_call = call(1, 2, 1);
    let partition = first_call.key.partition();
    let neighbour = (0..100_000)
        .map(|number| example_call(&format!("other-{number}"), 50))
        .find(|call| call.key.partition() == partition)
        .unwrap();
    assert!(matches!(second.claim(neighbour).await, ClaimAnswer::Run(_)));
    assert!(matches!(first.claim(first_call).await, ClaimAnswer::Run(_)));
    let again = second.claim(call(2, 2, 1)).await;
    assert!(matches!(again, ClaimAnswer::Running { .. }), "{again:?}");
}

#[tokio::test(start_paused = true)]
async fn a_claim_in_a_store_outage_is_refused_at_once() {
    let fixture = Fixture::new();
    let ledger = fixture.entry("first", true);
    fixture.store.set_down(true);
    let started = Instant::now();
    let refused = ledger.claim(call(1, 2, 1)).await;
    assert_eq!(refused, ClaimAnswer::StoreUnavailable);
    assert!(started.elapsed() < Duration::from_millis(100));
    fixture.store.set_down(false);
    sleep(Duration::from_secs(10)).await;
    let again = ledger.claim(call(2, 2, 1)).await;
    assert!(matches!(again, ClaimAnswer::Run(_)), "{again:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outcome_settled_in_an_outage_is_stored_after_it() {
    let fixture = Fixture::new();
    let ledger = fixture.entry("first", true);
    let first_call = call(1, 2, 1);
    let ClaimAnswer::Run(claim) = ledger.claim(first_call.clone()).await else {
        panic!("the claim was refused");
    };
    fixture.store.set_down(true);
    let pending = settle(&ledger, &first_call.key, &claim, true).await;
    assert_eq!(pending, SettleAnswer::Pending);
    sleep(Duration::from_mins(5)).await;
    fixture.store.set_down(false);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(ledger.pending(), 0);
    let again = fixture.entry("second", true).claim(call(2, 3, 1)).await;
    assert!(matches!(again, ClaimAnswer::Answered { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_call_stays_unknown_while_its_agent_is_unreachable() {
    let fixture = Fixture::new();
    let claimed = fixture.entry("first", true).claim(call(1, 1, 1)).await;
    assert!(matches!(claimed, ClaimAnswer::Run(_)));
    let again = fixture.entry("second", false).claim(call(2, 2, 1)).await;
    assert_eq!(again, ClaimAnswer::Unknown);
}

#[tokio::test(start_paused = true)]
async fn the_write_rate_is_bounded_at_any_claim_rate() {
    let fixture = Fixture::new();
    let ledger = fixture.entry("first", true);
    let started = Instant::now();
    let claims = (0..2_000).map(|number| {
        let mut call = example_call(&format!("key-{number}"), number);
        call.attempt.request.life = Incarnation(2);
        let ledger = ledger.clone();
        async move { ledger.claim(call).await }
    });
    let answers = futures::future::join_all(claims).await;
    assert!(answers.iter().all(|a| matches!(a, ClaimAnswer::Run(_))));
    let seconds = started.elapsed().as_secs_f64();
    let writes = fixture.store.puts() as f64;
    // This entry's half of the limit of 200 writes per second, plus a burst of 10.
    assert!(writes <= 100.0 * seconds + 10.0, "{writes} in {seconds} s");
}
