//! Choice of a target, and flash crowds replayed against a small model of engines.

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

use self::dispatch_support::{MODEL, candidate, holder, terms};

mod dispatch_support;

fn busy(band: Band, work: Duration) -> EngineState {
    let mut engine = holder(&[]);
    engine.own_backlog.add(work, band);
    engine
}

#[test]
fn the_shortest_wait_wins() {
    let engines = [
        busy(Band::Urgent, Duration::from_millis(400)),
        busy(Band::Urgent, Duration::from_millis(50)),
    ];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let choice = choose_engine(&candidates, &terms());
    assert!(matches!(
        choice,
        DispatchDecision::Send {
            index: 1,
            band: Band::Urgent,
            ..
        }
    ));
}

#[test]
fn the_first_rank_does_not_wait_for_the_second() {
    let engines = [busy(Band::Urgent, Duration::from_secs(2))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let first = DispatchInput {
        band: Band::First,
        ..terms()
    };
    let choice = choose_engine(&candidates, &first);
    assert!(
        matches!(
            choice,
            DispatchDecision::Send {
                band: Band::First,
                ..
            }
        ),
        "{choice:?}"
    );
}

#[test]
fn what_cannot_be_in_time_is_deferred() {
    let engines = [busy(Band::Urgent, Duration::from_secs(1))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let choice = choose_engine(&candidates, &terms());
    assert!(
        matches!(
            choice,
            DispatchDecision::Send {
                band: Band::Deferred,
                ..
            }
        ),
        "{choice:?}"
    );
}

#[test]
fn what_would_outlive_its_caller_is_refused_at_once() {
    let engines = [busy(Band::Urgent, Duration::from_secs(5))];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let choice = choose_engine(&candidates, &terms());
    let reason = RefusalReason::Overload;
    assert!(
        matches!(choice, DispatchDecision::Refuse { reason: r, .. } if r == reason),
        "{choice:?}"
    );
}

#[test]
fn an_avoided_target_is_used_only_without_another() {
    let engines = [holder(&[]), busy(Band::Urgent, Duration::from_millis(300))];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    candidates[0].avoided = true;
    assert!(matches!(
        choose_engine(&candidates, &terms()),
        DispatchDecision::Send { index: 1, .. }
    ));
    candidates[1].avoided = true;
    assert!(matches!(
        choose_engine(&candidates, &terms()),
        DispatchDecision::Send { index: 0, .. }
    ));
}

#[test]
fn an_adapter_is_loaded_where_the_wait_is_shortest() {
    let engines = [
        busy(Band::Urgent, Duration::from_millis(500)),
        holder(&["other"]),
    ];
    let candidates: Vec<_> = engines.iter().map(candidate).collect();
    let adapted = DispatchInput {
        adapter: Some("a1"),
        ..terms()
    };
    assert_eq!(
        choose_engine(&candidates, &adapted),
        DispatchDecision::LoadAdapter { index: 1 }
    );
}

#[rstest]
#[case::from_disk(true, true)]
#[case::from_the_store(false, false)]
fn an_absent_model_is_awaited_only_if_it_comes_in_time(#[case] cached: bool, #[case] waits: bool) {
    let mut engine = EngineState::default();
    if cached {
        engine.report.cached.push(Arc::from(MODEL));
    }
    let choice = choose_engine(&[candidate(&engine)], &terms());
    assert_eq!(choice == DispatchDecision::AwaitModel, waits, "{choice:?}");
}

#[test]
fn a_refusal_names_a_time_to_return() {
    let choice = choose_engine(&[], &terms());
    assert!(
        matches!(choice, DispatchDecision::Refuse { retry_after, .. } if retry_after > Duration::ZERO)
    );
    let choice = choose_target(&[], &[]);
    assert!(
        matches!(choice, DispatchDecision::Refuse { retry_after, .. } if retry_after > Duration::ZERO)
    );
}

#[test]
fn a_plain_target_that_fails_gets_less() {
    let engines = [holder(&[]), holder(&[])];
    let mut candidates: Vec<_> = engines.iter().map(candidate).collect();
    candidates[0].penalty = Duration::from_millis(900);
    assert!(matches!(
        choose_target(&candidates, &[6, 6]),
        DispatchDecision::Send { index: 1, .. }
    ));
}

/// One request of a replay.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: f64,
    prefill: f64,
    first_rank: bool,
}

/// A waiting request at an engine.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    arrival: Arrival,
    band: Band,
}

/// What a replay served: requests in time and all, by rank.
#[derive(Debug, Default)]
struct Served {
    in_time: [usize; 2],
    asked: [usize; 2],
    /// Prefill seconds of the requests in time, of what arrived in the burst.
    useful: f64,
}

const OBJECTIVE: f64 = 0.8;
const PATIENCE: f64 = 3.2;
const ENGINES: usize = 4;

/// A burst of `factor` times the engines' capacity from second 5 to 10, within a calm load.
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
            first_rank: rng.random_bool(0.2),
        });
    }
    arrivals
}

/// Plays arrivals against engines that each run one prefill at a time, by band and then by age.
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
        served.asked[usize::from(!arrival.first_rank)] += 1;
        let view: Vec<EngineState> = (queues.iter().zip(&free))
            .map(|(queue, free)| engine_view(queue, free - arrival.at))
            .collect();
        if let Some((index, band)) = choose(&view, *arrival) {
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
        // Callers leave before their first token after this long.
        if start - arrival.at > PATIENCE {
            continue;
        }
        *free = start + arrival.prefill;
        if *free - arrival.at <= OBJECTIVE {
            served.in_time[usize::from(!arrival.first_rank)] += 1;
            if (5.0..10.0).contains(&arrival.at) {
                served.useful += arrival.prefill;
            }
        }
    }
}

fn engine_view(queue: &[Waiting], running: f64) -> EngineState {
    let mut engine = holder(&[]);
    engine
        .own_backlog
        .add(Duration::from_secs_f64(running.max(0.0)), Band::First);
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
    let band = if arrival.first_rank {
        Band::First
    } else {
        Band::Urgent
    };
    let terms = DispatchInput {
        rates: &*rates,
        prefill: Duration::from_secs_f64(arrival.prefill),
        objective: Duration::from_secs_f64(OBJECTIVE),
        timeout: Duration::from_secs_f64(PATIENCE),
        band,
        ..terms()
    };
    match choose_engine(&candidates, &terms) {
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

/// The policy before: the engine with the fewest requests, all in one band, nothing refused.
fn by_running(engines: &[EngineState], _: Arrival) -> Option<(usize, Band)> {
    let index = (0..engines.len()).min_by_key(|i| engines[*i].running)?;
    Some((index, Band::Urgent))
}

#[rstest]
#[case::twice_the_capacity(2.0)]
#[case::nearly_three_times(2.7)]
fn a_flash_crowd_leaves_nine_tenths_of_the_peak_goodput(#[case] factor: f64) {
    for seed in 1..=8 {
        let arrivals = flash_crowd(seed, factor);
        let new = replay_predicted(&arrivals);
        let old = replay(&arrivals, by_running);
        let loads = [0.8, 0.9, 1.0, 1.1, 1.2];
        let goodput = |load: f64| replay_predicted(&flash_crowd(seed, load)).useful;
        let peak = loads.into_iter().map(goodput).fold(0.0, f64::max);
        assert!(
            new.useful >= 0.9 * peak,
            "seed {seed}: {new:?}, peak {peak}"
        );
        assert!(new.useful > old.useful, "seed {seed}: {new:?} {old:?}");
        let share = |s: &Served, rank: usize| s.in_time[rank] as f64 / s.asked[rank] as f64;
        assert!(
            share(&new, 0) >= 0.9,
            "seed {seed}: the first rank is served: {new:?}"
        );
        assert!(
            share(&new, 0) > share(&old, 0),
            "seed {seed}: {new:?} {old:?}"
        );
    }
}

#[test]
fn a_calm_load_is_served_in_time() {
    for seed in 1..=8 {
        let arrivals = flash_crowd(seed, 0.6);
        let served = replay_predicted(&arrivals);
        let in_time: usize = served.in_time.iter().sum();
        let share = in_time as f64 / arrivals.len() as f64;
        assert!(share >= 0.99, "seed {seed}: {share}");
    }
}

#[test]
fn a_backlog_is_empty_after_all_that_was_added_is_removed() {
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
