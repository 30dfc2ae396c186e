//! Every fault at every step, over the daemons themselves on the paused clock.
//!
//! Each cell starts two entries, four agents and their stand-ins, brings its fault about at its
//! step while callers send calls and completions, ends the fault, and checks all promises. Pairs
//! of faults are sampled by a seed; `KUMQUATKEEL_SEED` runs one sample alone.

#[path = "matrix/fault.rs"]
mod fault;
#[path = "matrix/monitor.rs"]
mod monitor;
#[path = "matrix/promises.rs"]
mod promises;
#[path = "matrix/step.rs"]
mod step;
#[path = "matrix/traffic.rs"]
mod traffic;
#[path = "matrix/world.rs"]
mod world;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

use fault::Fault;
use step::Step;
use world::World;

/// Samples of pairs of faults.
const PAIRS: u64 = 12;

async fn run_cell(faults: &[Fault], step: Step) -> Result<(), String> {
    let mut world = World::start().await;
    step.run(&mut world, faults).await;
    world.heal().await;
    promises::check(&mut world).await
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn cell(
    #[values(
        Fault::OrderLost,
        Fault::OrderLate,
        Fault::AnswerLost,
        Fault::ProcessDies,
        Fault::ProcessPaused,
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::WatchGap,
        Fault::ListStale,
        Fault::LinkCut,
        Fault::ReportLate,
        Fault::OperatorsRace
    )]
    fault: Fault,
    #[values(
        Step::Admit,
        Step::Claim,
        Step::Dispatch,
        Step::Stream,
        Step::Settle,
        Step::Load,
        Step::Unload,
        Step::Switch,
        Step::Drain,
        Step::Apply,
        Step::Boot
    )]
    step: Step,
) {
    if let Some(reason) = fault.cannot_occur(step) {
        println!("{fault:?} at {step:?} cannot occur: {reason}");
        return;
    }
    if let Err(broken) = run_cell(&[fault], step).await {
        panic!("{fault:?} at {step:?}: {broken}");
    }
}

#[rstest]
#[tokio::test(start_paused = true)]
async fn pair(#[values(0, 1, 2, 3)] shard: u64) {
    let named = std::env::var("KUMQUATKEEL_SEED").ok();
    let named = named.and_then(|seed| seed.parse::<u64>().ok());
    let seeds: Vec<u64> = match named {
        Some(seed) if seed % 4 == shard => vec![seed],
        Some(_) => Vec::new(),
        None => (0..PAIRS).filter(|seed| seed % 4 == shard).collect(),
    };
    for seed in seeds {
        let mut rng = Pcg64::seed_from_u64(seed);
        let step = *Step::ALL.choose(&mut rng).expect("steps");
        let possible: Vec<Fault> = Fault::ALL
            .into_iter()
            .filter(|fault| fault.cannot_occur(step).is_none())
            .collect();
        let first = rng.random_range(0..possible.len());
        let second = (first + rng.random_range(1..possible.len())) % possible.len();
        let faults = [possible[first], possible[second]];
        if let Err(broken) = run_cell(&faults, step).await {
            panic!("KUMQUATKEEL_SEED={seed}: {faults:?} at {step:?}: {broken}");
        }
    }
}
