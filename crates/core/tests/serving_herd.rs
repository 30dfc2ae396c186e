//! Many entries send a crowd's requests within less time than their reports take.

use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, Band, Candidate, DispatchDecision, DispatchInput, EngineState, choose_engine,
    engines_to_query,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use self::dispatch_support::{candidate, holder, terms};

mod dispatch_support;

const PREFILL: Duration = Duration::from_millis(100);

/// A request that is sent whatever waits before it.
fn patient(draw: u64) -> DispatchInput<'static> {
    DispatchInput {
        tie_seed: draw,
        prefill: PREFILL,
        objective: Duration::from_secs(4),
        timeout: Duration::from_secs(8),
        ..terms()
    }
}

fn candidates(engines: &[EngineState]) -> Vec<Candidate<'_>> {
    engines.iter().map(candidate).collect()
}

/// Lets each entry send one request; `reported` is what all believe of the others' work.
fn requests_by_engine(entries: usize, reported: &[u64], counts: bool) -> Vec<usize> {
    let mut draws = Pcg64::seed_from_u64(7);
    let mut sent = vec![0; reported.len()];
    let mut work = vec![Backlog::default(); reported.len()];
    for _ in 0..entries {
        let mut known = vec![holder(&[]); reported.len()];
        for (engine, millis) in known.iter_mut().zip(reported) {
            engine
                .peer_backlog
                .add(Duration::from_millis(*millis), Band::Urgent);
        }
        let terms = patient(draws.random());
        if counts {
            for index in engines_to_query(&candidates(&known), &terms) {
                known[index].peer_backlog = work[index];
            }
        }
        let DispatchDecision::Send { index, .. } = choose_engine(&candidates(&known), &terms)
        else {
            panic!("the request is not sent");
        };
        sent[index] += 1;
        work[index].add(PREFILL, Band::Urgent);
    }
    sent
}

#[test]
fn a_crowd_spreads_over_the_engines_although_their_reports_are_old() {
    // The last report said that one engine had less to do than the others.
    let reported = [300, 300, 0, 300, 300, 300];
    let herd = requests_by_engine(24, &reported, false);
    assert_eq!(herd[2], 24, "without counts all choose the same: {herd:?}");
    let spread = requests_by_engine(24, &reported, true);
    let most = spread.iter().max().unwrap();
    assert!(*most <= 8, "at most twice the mean of 4: {spread:?}");
}

#[test]
fn equal_engines_are_not_all_chosen_in_the_same_order() {
    let spread = requests_by_engine(60, &[0; 6], false);
    assert!(spread.iter().all(|sent| *sent > 0), "{spread:?}");
}

#[test]
fn the_best_engines_as_far_as_known_are_counted() {
    let mut engines = vec![holder(&[]); 5];
    for (engine, millis) in engines.iter_mut().zip([200, 50, 400, 900, 120]) {
        engine
            .peer_backlog
            .add(Duration::from_millis(millis), Band::Urgent);
    }
    let asked = engines_to_query(&candidates(&engines), &patient(0));
    assert_eq!(asked, [1, 4, 0]);
}
