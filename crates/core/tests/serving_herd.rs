//! Dispatch by many entries at the same time, with outdated reports.
//!
//! Guards against herding: the entries send their requests within less time than a report takes, so
//! without a query of the current backlogs all of them choose the engine that their last reports
//! showed as the least loaded.

use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, Band, Candidate, DispatchDecision, DispatchInput, EngineState, choose_engine,
    engines_to_query,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use self::dispatch_support::{candidate, holder, input};

mod dispatch_support;

const PREFILL: Duration = Duration::from_millis(100);

/// A request that is sent regardless of the backlog, as its objective and timeout are long.
fn lenient_input(seed: u64) -> DispatchInput<'static> {
    DispatchInput {
        tie_seed: seed,
        prefill: PREFILL,
        objective: Duration::from_secs(4),
        timeout: Duration::from_secs(8),
        ..input()
    }
}

fn candidates(engines: &[EngineState]) -> Vec<Candidate<'_>> {
    engines.iter().map(candidate).collect()
}

/// Sends one request from each entry and returns the number of requests by engine.
///
/// `reported` is each engine's backlog in milliseconds as all entries know it. With `queries`, each
/// entry first queries the current backlogs.
fn requests_by_engine(entries: usize, reported: &[u64], queries: bool) -> Vec<usize> {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut sent = vec![0; reported.len()];
    let mut work = vec![Backlog::default(); reported.len()];
    for _ in 0..entries {
        let mut known = vec![holder(&[]); reported.len()];
        for (engine, millis) in known.iter_mut().zip(reported) {
            engine
                .peer_backlog
                .add(Duration::from_millis(*millis), Band::Urgent);
        }
        let input = lenient_input(rng.random());
        if queries {
            for index in engines_to_query(&candidates(&known), &input) {
                known[index].peer_backlog = work[index];
            }
        }
        let DispatchDecision::Send { index, .. } = choose_engine(&candidates(&known), &input)
        else {
            panic!("the request is not sent");
        };
        sent[index] += 1;
        work[index].add(PREFILL, Band::Urgent);
    }
    sent
}

#[test]
fn queries_spread_a_burst_over_the_engines() {
    // By the last reports, one engine has no backlog.
    let reported = [300, 300, 0, 300, 300, 300];
    let without_queries = requests_by_engine(24, &reported, false);
    assert_eq!(
        without_queries[2], 24,
        "without queries all entries choose the same engine: {without_queries:?}"
    );
    let with_queries = requests_by_engine(24, &reported, true);
    let most = with_queries.iter().max().unwrap();
    assert!(*most <= 8, "at most twice the mean of 4: {with_queries:?}");
}

#[test]
fn ties_between_equal_engines_are_broken_at_random() {
    let spread = requests_by_engine(60, &[0; 6], false);
    assert!(spread.iter().all(|sent| *sent > 0), "{spread:?}");
}

#[test]
fn the_engines_with_the_shortest_known_backlog_are_queried() {
    let mut engines = vec![holder(&[]); 5];
    for (engine, millis) in engines.iter_mut().zip([200, 50, 400, 900, 120]) {
        engine
            .peer_backlog
            .add(Duration::from_millis(millis), Band::Urgent);
    }
    let queried = engines_to_query(&candidates(&engines), &lenient_input(0));
    assert_eq!(queried, [1, 4, 0]);
}
