//! Operators race each other for the configuration while the store loses answers.
//!
//! Commits and reads are checked against a register whose revision only rises.

use std::time::Duration;

use kumquatkeel_daemon::config::{
    CommitOutcome, ConfigError, Proposal, commit_document, read_config,
};
use kumquatkeel_platform::WriteIdGenerator;
use kumquatkeel_standin::demo::sample_document;
use kumquatkeel_standin::platform::{CallFault, CallKind, MemoryStore};
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::RawDocument;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use todc_utils::{Action, Specification};

use super::recorder::{Recorder, is_linearizable, seeds};

const OPERATORS: usize = 4;
const STEPS: u32 = 6;
/// The share of the store's answers to writes that are lost.
const LOST_SHARE: f64 = 0.25;

/// A configuration: its revision and its digest; none before the first commit.
type Config = Option<(u64, u64)>;

/// A call, and once it is answered what was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConfigCall {
    Asked,
    Read(Config),
    /// The document with this digest was accepted as this revision.
    Committed(u64, u64),
    /// The commit changed nothing.
    Rejected,
}

struct MonotonicRegister;

impl Specification for MonotonicRegister {
    type State = Config;
    type Operation = ConfigCall;

    fn init() -> Config {
        None
    }

    fn apply(call: &ConfigCall, state: &Config) -> (bool, Config) {
        let revision = state.map_or(0, |(revision, _)| revision);
        match *call {
            ConfigCall::Asked => (false, *state),
            ConfigCall::Read(seen) => (seen == *state, *state),
            ConfigCall::Committed(next, digest) => {
                let rises = next == revision + 1;
                (rises, if rises { Some((next, digest)) } else { *state })
            }
            ConfigCall::Rejected => (true, *state),
        }
    }
}

/// A commit whose outcome the operator could not learn; the store tells it after the run.
#[derive(Debug, Clone, Copy)]
struct OpenCommit {
    process: usize,
    revision: u64,
    digest: u64,
}

fn proposal_of(operator: usize, step: u32, base: Option<Revision>) -> Proposal {
    let mut document: RawDocument = sample_document().expect("sample");
    document.policy.link_bytes = 1_000_000 + operator as u32 * 1_000 + step;
    Proposal { document, base }
}

async fn read(store: &MemoryStore) -> Option<Config> {
    let stored = read_config(store).await.ok()?;
    Some(stored.map(|config| (config.head.revision.0, config.head.digest)))
}

/// Runs one operator; each open commit takes a process of its own in the history.
async fn run_operator(
    operator: usize,
    seed: u64,
    store: MemoryStore,
    recorder: Recorder<ConfigCall>,
) -> Vec<OpenCommit> {
    let mut rng = Pcg64::seed_from_u64(seed * 100 + operator as u64);
    let ids = WriteIdGenerator::new(format!("operator-{operator}"), &mut rng);
    let mut open = Vec::new();
    for step in 0..STEPS {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..20))).await;
        let process = operator + OPERATORS * step as usize * 2;
        recorder.call(process, ConfigCall::Asked);
        let Some(current) = read(&store).await else {
            recorder.respond(process, ConfigCall::Rejected);
            continue;
        };
        recorder.respond(process, ConfigCall::Read(current));
        let process = process + OPERATORS;
        let base = current.map(|(revision, _)| Revision(revision));
        let proposal = proposal_of(operator, step, base);
        let digest = proposal.document.digest();
        recorder.call(process, ConfigCall::Asked);
        match commit_document(&store, &ids, proposal).await {
            Ok(CommitOutcome::Committed(revision)) => {
                recorder.respond(process, ConfigCall::Committed(revision.0, digest));
            }
            Ok(CommitOutcome::Unchanged(revision)) => {
                panic!("an own value was already there as {revision}")
            }
            Err(ConfigError::Unresolved(_)) => open.push(OpenCommit {
                process,
                revision: base.map_or(1, |base| base.0 + 1),
                digest,
            }),
            Ok(CommitOutcome::Conflict(_)) | Err(_) => {
                recorder.respond(process, ConfigCall::Rejected);
            }
        }
    }
    open
}

/// Runs all operators and returns the history, open commits ended by what the store holds.
async fn run(seed: u64) -> Vec<(usize, Action<ConfigCall>)> {
    let store = MemoryStore::new();
    store.faults().set_losses(LOST_SHARE, seed);
    store.faults().set_write_delay(Duration::from_millis(3));
    store.faults().set_read_delay(Duration::from_millis(2));
    let late = CallFault::LateEffect(Duration::from_millis(40));
    store.faults().script(CallKind::Put, 5 + seed % 7, late);
    let recorder = Recorder::new();
    let operators = (0..OPERATORS)
        .map(|operator| {
            tokio::spawn(run_operator(
                operator,
                seed,
                store.clone(),
                recorder.clone(),
            ))
        })
        .collect::<Vec<_>>();
    let mut open = Vec::new();
    for operator in operators {
        open.extend(operator.await.expect("ends"));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.faults().clear();
    let stored = read_config(&store).await.expect("reads").expect("is there");
    assert!(stored.head.revision > Revision(1), "too few commits");
    for commit in open {
        let accepted = stored
            .head
            .committed(Revision(commit.revision), commit.digest);
        let end = if accepted {
            ConfigCall::Committed(commit.revision, commit.digest)
        } else {
            ConfigCall::Rejected
        };
        recorder.respond(commit.process, end);
    }
    recorder.actions()
}

#[tokio::test(start_paused = true)]
async fn racing_operators_see_one_register_that_only_rises() {
    for seed in seeds(40) {
        let history = run(seed).await;
        assert!(
            is_linearizable::<MonotonicRegister>(history.clone()),
            "KUMQUATKEEL_SEED={seed}: {history:#?}"
        );
    }
}

#[test]
fn the_check_sees_a_revision_that_reverts() {
    use Action::{Call, Response};
    use ConfigCall::{Asked, Committed, Read};
    let history = vec![
        (0, Call(Asked)),
        (0, Response(Committed(1, 11))),
        (0, Call(Asked)),
        (0, Response(Committed(2, 22))),
        (1, Call(Asked)),
        (1, Response(Read(Some((1, 11))))),
    ];
    assert!(!is_linearizable::<MonotonicRegister>(history));
}
