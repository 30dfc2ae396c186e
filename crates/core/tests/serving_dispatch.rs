//! Decisions of the dispatch, and flash crowds replayed against simulated engines.
//!
//! The replay guards against a collapse of goodput while requests arrive faster than the engines
//! process them: without refusals and bands, requests wait until their objective or their caller's
//! timeout has passed.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, Band, BandRates, DispatchDecision, DispatchInput, EngineState, RefusalReason,
    choose_engine, choose_target,
};
use kumquatkeel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

use self::dispatch_support::{MODEL, candidate, holder, input};

mod dispatch_support;

fn engine_with_backlog(band: Band, work: Duration) -> EngineState {
    let mut engine = holder(&[]);
    engine.own_backlog.add(work, band);
    engine
}

#[test]
fn the_engine_with_the_shortest_wait_is_chosen() {
    let engines = [
        engine_with_backlog(Band::Urgent, Duration::from_millis(400)),
        engine_with_backlog(Band::Urgent, Duration::from_millis(50)),
    ];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let decision = choose_engine(&candidates, &input());
    assert!(matches!(
        decision,
        DispatchDecision::Send {
            index: 1,
            band: Band::Urgent,
            ..
        }
    ));
}

#[test]
fn a_target_that_accepts_nothing_now_is_not_chosen() {
    let idle = holder(&[]);
    let busy = engine_with_backlog(Band::Urgent, Duration::from_millis(100));
    let mut candidates = [candidate(&idle), candidate(&busy)];
    candidates[0].closed = Some(Duration::from_millis(300));
    let index = |decision| match decision {
        DispatchDecision::Send { index, .. } => Some(index),
        _ => None,
    };
    assert_eq!(index(choose_engine(&candidates, &input())), Some(1));
    assert_eq!(index(choose_target(&candidates, &[8, 8], 0)), Some(1));
    candidates[1].closed = Some(Duration::from_millis(200));
    let expected = DispatchDecision::Refuse {
        reason: RefusalReason::TargetsClosed,
        retry_after: Duration::from_millis(200),
    };
    assert_eq!(choose_engine(&candidates, &input()), expected);
    assert_eq!(choose_target(&candidates, &[8, 8], 0), expected);
}

#[test]
fn the_first_band_does_not_wait_for_urgent_work() {
    let engines = [engine_with_backlog(Band::Urgent, Duration::from_secs(2))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let first = DispatchInput {
        band: Band::First,
        ..input()
    };
    let decision = choose_engine(&candidates, &first);
    assert!(
        matches!(
            decision,
            DispatchDecision::Send {
                band: Band::First,
                ..
            }
        ),
        "{decision:?}"
    );
}

#[test]
fn a_request_that_misses_its_objective_is_deferred() {
    let engines = [engine_with_backlog(Band::Urgent, Duration::from_secs(1))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let decision = choose_engine(&candidates, &input());
    assert!(
        matches!(
            decision,
            DispatchDecision::Send {
                band: Band::Deferred,
                ..
            }
        ),
        "{decision:?}"
    );
}

#[test]
fn a_request_that_exceeds_its_timeout_is_refused() {
    let engines = [engine_with_backlog(Band::Urgent, Duration::from_secs(5))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let decision = choose_engine(&candidates, &input());
    let reason = RefusalReason::Overload;
    assert!(
        matches!(decision, DispatchDecision::Refuse { reason: r, .. } if r == reason),
        "{decision:?}"
    );
}

#[test]
fn an_avoided_target_is_used_only_if_no_other_is_left() {
    let engines = [
        holder(&[]),
        engine_with_backlog(Band::Urgent, Duration::from_millis(300)),
    ];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    candidates[0].avoided = true;
    assert!(matches!(
        choose_engine(&candidates, &input()),
        DispatchDecision::Send { index: 1, .. }
    ));
    candidates[1].avoided = true;
    assert!(matches!(
        choose_engine(&candidates, &input()),
        DispatchDecision::Send { index: 0, .. }
    ));
}

#[test]
fn an_adapter_is_loaded_where_the_wait_is_shortest() {
    let engines = [
        engine_with_backlog(Band::Urgent, Duration::from_millis(500)),
        holder(&["other"]),
    ];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let with_adapter = DispatchInput {
        adapter: Some("a1"),
        ..input()
    };
    assert_eq!(
        choose_engine(&candidates, &with_adapter),
        DispatchDecision::LoadAdapter { index: 1 }
    );
}

#[rstest]
#[case::from_disk(true, true)]
#[case::from_the_store(false, false)]
fn an_absent_model_is_awaited_only_if_it_is_loaded_in_time(
    #[case] cached: bool,
    #[case] waits: bool,
) {
    let mut engine = EngineState::default();
    if cached {
        engine.report.cached.push(Arc::from(MODEL));
    }
    let decision = choose_engine(&[candidate(&engine)], &input());
    assert_eq!(
        decision == DispatchDecision::AwaitModel,
        waits,
        "{decision:?}"
    );
}

#[test]
fn a_refusal_states_a_retry_delay() {
    let decision = choose_engine(&[], &input());
    assert!(
        matches!(decision, DispatchDecision::Refuse { retry_after, .. } if retry_after > Duration::ZERO)
    );
    let decision = choose_target(&[], &[], 0);
    assert!(
        matches!(decision, DispatchDecision::Refuse { retry_after, .. } if retry_after > Duration::ZERO)
    );
}

#[test]
fn a_target_with_a_failure_penalty_is_not_chosen() {
    let engines = [holder(&[]), holder(&[])];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    candidates[0].penalty = Duration::from_millis(900);
    assert!(matches!(
        choose_target(&candidates, &[6, 6], 0),
        DispatchDecision::Send { index: 1, .. }
    ));
}

/// One request of a replay.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: f64,
    prefill: f64,
    first_band: bool,
}

/// A request that waits at an engine.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    arrival: Arrival,
    band: Band,
}

/// The result of a replay; the arrays count the first band and then all other requests.
#[derive(Debug, Default)]
struct Served {
    in_time: [usize; 2],
    arrived: [usize; 2],
    /// Prefill seconds of the requests that arrived during the burst and met their objective.
    goodput: f64,
}

const OBJECTIVE: f64 = 0.8;
const CALLER_TIMEOUT: f64 = 3.2;
const ENGINES: usize = 4;

/// Returns arrivals at `factor` times the engines' capacity from second 5 to 10, and at 0.6 times
/// the capacity before and after.
fn flash_crowd(seed: u64, factor: f64) -> Vec<Arrival> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    let mut now = 0.0;
    while now < 15.0 {
        let load = if (5.0..10.0).contains(&now) {
            factor
        } else {
            0.6
        };
        let mean = 0.09 / (ENGINES as f64 * load);
        now += -mean * (1.0 - rng.random::<f64>()).ln();
        arrivals.push(Arrival {
            at: now,
            prefill: rng.random_range(0.03..0.15),
            first_band: rng.random_bool(0.2),
        });
    }
    arrivals
}

/// Replays arrivals against engines that each run one prefill at a time, by band and then by age.
fn replay(
    arrivals: &[Arrival],
    mut choose: impl FnMut(&[EngineState], Arrival) -> Option<(usize, Band)>,
) -> Served {
    let mut queues: Vec<Vec<Waiting>> = vec![Vec::new(); ENGINES];
    let mut free = [0.0_f64; ENGINES];
    let mut served = Served::default();
    for arrival in arrivals {
        for (queue, free) in queues.iter_mut().zip(&mut free) {
            run_engine(queue, free, arrival.at, &mut served);
        }
        served.arrived[usize::from(!arrival.first_band)] += 1;
        let engines: Vec<EngineState> = (queues.iter().zip(&free))
            .map(|(queue, free)| engine_state(queue, free - arrival.at))
            .collect();
        if let Some((index, band)) = choose(&engines, *arrival) {
            let waiting = Waiting {
                arrival: *arrival,
                band,
            };
            queues[index].push(waiting);
        }
    }
    for (queue, free) in queues.iter_mut().zip(&mut free) {
        run_engine(queue, free, f64::MAX, &mut served);
    }
    served
}

fn run_engine(queue: &mut Vec<Waiting>, free: &mut f64, until: f64, served: &mut Served) {
    while *free < until && !queue.is_empty() {
        let next = (0..queue.len())
            .min_by_key(|i| (queue[*i].band, *i))
            .unwrap();
        let Waiting { arrival, .. } = queue.remove(next);
        let start = free.max(arrival.at);
        // A caller gives up if its request has not started by then.
        if start - arrival.at > CALLER_TIMEOUT {
            continue;
        }
        *free = start + arrival.prefill;
        if *free - arrival.at <= OBJECTIVE {
            served.in_time[usize::from(!arrival.first_band)] += 1;
            if (5.0..10.0).contains(&arrival.at) {
                served.goodput += arrival.prefill;
            }
        }
    }
}

fn engine_state(queue: &[Waiting], remaining: f64) -> EngineState {
    let mut engine = holder(&[]);
    engine
        .own_backlog
        .add(Duration::from_secs_f64(remaining.max(0.0)), Band::First);
    for waiting in queue {
        engine.own_backlog.add(
            Duration::from_secs_f64(waiting.arrival.prefill),
            waiting.band,
        );
    }
    engine.running = queue.len() as u32;
    engine
}

fn by_prediction(
    rates: &mut BandRates,
    engines: &[EngineState],
    arrival: Arrival,
) -> Option<(usize, Band)> {
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let now = Timestamp::from_micros((arrival.at * 1e6) as u64);
    let band = if arrival.first_band {
        Band::First
    } else {
        Band::Urgent
    };
    let input = DispatchInput {
        rates: &*rates,
        prefill: Duration::from_secs_f64(arrival.prefill),
        objective: Duration::from_secs_f64(OBJECTIVE),
        timeout: Duration::from_secs_f64(CALLER_TIMEOUT),
        band,
        ..input()
    };
    match choose_engine(&candidates, &input) {
        DispatchDecision::Send { index, band, .. } => {
            rates.record(Duration::from_secs_f64(arrival.prefill), band, now);
            Some((index, band))
        }
        _ => None,
    }
}

fn replay_predicted(arrivals: &[Arrival]) -> Served {
    let mut rates = BandRates::default();
    rates.set_fleet_size(1, ENGINES);
    replay(arrivals, |engines, arrival| {
        by_prediction(&mut rates, engines, arrival)
    })
}

/// Baseline policy: the engine with the fewest requests, all in one band, without refusals.
fn by_request_count(engines: &[EngineState], _: Arrival) -> Option<(usize, Band)> {
    let index = (0..engines.len()).min_by_key(|i| engines[*i].running)?;
    Some((index, Band::Urgent))
}

#[rstest]
#[case::twice_the_capacity(2.0)]
#[case::nearly_three_times(2.7)]
fn a_flash_crowd_keeps_nine_tenths_of_the_peak_goodput(#[case] factor: f64) {
    for seed in 1..=8 {
        let arrivals = flash_crowd(seed, factor);
        let predicted = replay_predicted(&arrivals);
        let baseline = replay(&arrivals, by_request_count);
        let loads = [0.8, 0.9, 1.0, 1.1, 1.2];
        let goodput_at = |load: f64| replay_predicted(&flash_crowd(seed, load)).goodput;
        let peak = loads.into_iter().map(goodput_at).fold(0.0, f64::max);
        assert!(
            predicted.goodput >= 0.9 * peak,
            "seed {seed}: {predicted:?}, peak {peak}"
        );
        assert!(
            predicted.goodput > baseline.goodput,
            "seed {seed}: {predicted:?} {baseline:?}"
        );
        let share = |s: &Served, group: usize| s.in_time[group] as f64 / s.arrived[group] as f64;
        assert!(
            share(&predicted, 0) >= 0.9,
            "seed {seed}: the first band is served: {predicted:?}"
        );
        assert!(
            share(&predicted, 0) > share(&baseline, 0),
            "seed {seed}: {predicted:?} {baseline:?}"
        );
    }
}

#[test]
fn a_load_below_capacity_is_served_in_time() {
    for seed in 1..=8 {
        let arrivals = flash_crowd(seed, 0.6);
        let served = replay_predicted(&arrivals);
        let in_time: usize = served.in_time.iter().sum();
        let share = in_time as f64 / arrivals.len() as f64;
        assert!(share >= 0.99, "seed {seed}: {share}");
    }
}

#[test]
fn removing_more_than_was_added_empties_the_backlog() {
    let mut backlog = Backlog::default();
    for band in [Band::First, Band::Urgent, Band::Deferred] {
        backlog.add(Duration::from_millis(30), band);
    }
    assert_eq!(backlog.ahead(Band::Deferred), Duration::from_millis(90));
    for band in [Band::First, Band::Urgent, Band::Deferred] {
        backlog.remove(Duration::from_millis(40), band);
    }
    assert_eq!(backlog, Backlog::default());
}

/// Each of many entries has at most one request at the targets of a data centre, and knows of no others.
#[rstest]
#[case::small(3)]
#[case::large(6)]
#[case::design_size(60)]
fn entries_that_know_no_difference_spread_over_the_targets(#[case] targets: usize) {
    const REQUESTS_PER_TARGET: usize = 100;
    let engines = vec![EngineState::default(); targets];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    // An entry has a connection to the target that it used before, which saves a round trip.
    candidates[0].path_cost = Duration::from_millis(1);
    for candidate in &mut candidates[1..] {
        candidate.path_cost = Duration::from_millis(2);
    }
    let slots = vec![6; targets];
    let mut random = Pcg64::seed_from_u64(5);
    let mut counts = vec![0; targets];
    for _ in 0..REQUESTS_PER_TARGET * targets {
        match choose_target(&candidates, &slots, random.random()) {
            DispatchDecision::Send { index, .. } => counts[index] += 1,
            decision => panic!("{decision:?}"),
        }
    }
    let others = counts[1..].iter().copied().max().unwrap_or_default();
    assert!(others <= REQUESTS_PER_TARGET * 3 / 2, "{counts:?}");
    let first_share = counts[0] as f64 / (REQUESTS_PER_TARGET * targets) as f64;
    assert!(first_share <= 0.75, "{counts:?}");
}

/// The random order does not send requests to another data centre.
#[test]
fn a_target_of_the_same_data_centre_is_preferred() {
    let engines = vec![EngineState::default(); 2];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    candidates[0].path_cost = Duration::from_millis(15);
    candidates[1].path_cost = Duration::from_millis(2);
    let mut random = Pcg64::seed_from_u64(7);
    for _ in 0..1_000 {
        let decision = choose_target(&candidates, &[6, 6], random.random());
        assert!(matches!(decision, DispatchDecision::Send { index: 1, .. }));
    }
}

/// Engines far apart in the list must not be equal in every draw.
#[test]
fn ties_between_all_engines_are_broken_apart() {
    let engines = vec![holder(&[]); 840];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let mut random = Pcg64::seed_from_u64(6);
    let mut chosen = vec![0; 840];
    for _ in 0..3_360 {
        let input = DispatchInput {
            tie_seed: random.random(),
            ..input()
        };
        if let DispatchDecision::Send { index, .. } = choose_engine(&candidates, &input) {
            chosen[index] += 1;
        }
    }
    let unused = chosen.iter().filter(|count| **count == 0).count();
    assert!(
        unused < 84,
        "{unused} of 840 engines are never chosen in four requests for each"
    );
}
