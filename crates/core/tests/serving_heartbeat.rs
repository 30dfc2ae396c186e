//! Heartbeats in fleets of any size: how long their content holds, and how soon a silent instance is
//! found.
//!
//! Guards against machines that are only slow to report, or whose datagrams are lost, and whose running
//! work is given up for it; and against stalled instances that are found late in a large fleet.

use std::time::Duration;

use kumquatkeel_core::serving::{
    Backlog, EngineState, agent_interval, entry_interval, entry_ttl, planner_interval,
    statement_ttl,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;

/// Longest delay of a datagram: the path between regions, and the polls at both ends.
const MAX_DELAY_MS: u64 = 200;
/// Longest part of an interval by which a sender's timer is late.
const MAX_JITTER: f64 = 0.1;
/// Interval between two checks for silent agents.
const SWEEP_MS: u64 = 250;
/// Time within which a stalled instance must be found; callers leave after three seconds.
const STALL_BOUND_MS: u64 = 2_200;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns when heartbeats sent at about `interval` arrive, of which no two in a row are lost.
fn arrivals(interval: Duration, draws: &[(f64, u64, bool)]) -> Vec<u64> {
    let (mut sent, mut lost_last, mut times) = (0.0, false, vec![0]);
    for (jitter, delay, lost) in draws {
        sent += interval.as_secs_f64() * 1e3 * (1.0 + MAX_JITTER * jitter);
        lost_last = *lost && !lost_last;
        if !lost_last {
            times.push(sent as u64 + delay);
        }
    }
    times.sort_unstable();
    times
}

fn reported(interval: Duration, time: u64) -> EngineState {
    let mut engine = EngineState {
        reported: Some(at(time)),
        peers_updated: Some(at(time)),
        peer_backlog: Backlog {
            urgent: 1,
            ..Backlog::default()
        },
        report_interval: interval,
        running: 1,
        ..EngineState::default()
    };
    engine.record_heard(at(time));
    engine
}

fn draws() -> impl Strategy<Value = Vec<(f64, u64, bool)>> {
    prop::collection::vec(
        (-1.0..1.0, 0..=MAX_DELAY_MS, prop::bool::weighted(0.2)),
        1..40,
    )
}

proptest! {
    /// A machine that reports as rarely as it should, with datagrams lost, is neither avoided nor given
    /// up, and what it stated holds until the next report.
    #[test]
    fn what_an_agent_states_outlives_its_interval(
        entries in 1_usize..=1_000, remote in any::<bool>(), draws in draws(),
    ) {
        let interval = agent_interval(entries, remote);
        let times = arrivals(interval, &draws);
        for pair in times.windows(2) {
            let mut engine = reported(interval, pair[0]);
            for now in (pair[0]..pair[1]).step_by(50) {
                prop_assert!(!engine.is_stalled(at(now)), "{entries} entries, {remote}, {pair:?}, {now}");
                prop_assert!(!engine.is_silent(at(now)), "{entries} entries, {remote}, {pair:?}, {now}");
                engine.expire_peer_backlog(at(now));
                prop_assert!(engine.peer_backlog != Backlog::default(), "{pair:?}, {now}");
                let planner_known = now - pair[0] < statement_ttl(interval).as_millis() as u64;
                prop_assert!(planner_known, "{entries} entries, {remote}, {pair:?}, {now}");
            }
        }
    }

    /// The number of live entries divides the retry budget, so none may be missing between two heartbeats.
    #[test]
    fn an_entry_stays_known_between_its_heartbeats(
        agents in 1_usize..=1_000, entries in 1_usize..=1_000, draws in draws(),
    ) {
        for interval in [entry_interval(agents, true), entry_interval(agents, false), planner_interval(entries)] {
            for pair in arrivals(interval, &draws).windows(2) {
                let gap = Duration::from_millis(pair[1] - pair[0]);
                let known = gap < entry_ttl(agents, entries);
                prop_assert!(known, "{agents} agents, {entries} entries: {gap:?}");
            }
        }
    }

    /// Reports come seldom in a large fleet, but a request that waits at a stalled instance is answered as
    /// early as in a small one.
    #[test]
    fn a_stalled_instance_is_found_in_time_in_a_fleet_of_any_size(
        entries in 1_usize..=1_000, remote in any::<bool>(), phase in 0..SWEEP_MS,
    ) {
        let mut engine = reported(agent_interval(entries, remote), 1_000);
        engine.last_byte = Some(at(1_000));
        let mut now = 1_000 + phase;
        while !engine.is_stalled(at(now)) {
            prop_assert!(now < 1_000 + STALL_BOUND_MS, "{entries} entries, {remote}");
            if engine.is_probe_due(at(now)) {
                engine.questions.record(at(now));
            }
            now += SWEEP_MS;
        }
    }

    /// An agent that answers, however late and with questions and answers lost, is not given up.
    #[test]
    fn an_agent_that_answers_is_not_given_up(
        entries in 1_usize..=1_000, answers in prop::collection::vec(100_u64..900, 1..20),
    ) {
        let mut engine = reported(agent_interval(entries, true), 1_000);
        let mut now = 1_000;
        for pause in answers {
            let answered = now + pause;
            while now < answered {
                engine.questions.record(at(now));
                prop_assert!(!engine.is_stalled(at(now)), "{now}");
                now += 50;
            }
            engine.record_heard(at(now));
        }
    }
}

#[test]
fn a_burst_of_questions_is_one_question() {
    let mut engine = reported(agent_interval(68, true), 1_000);
    for now in 1_000..1_100 {
        engine.questions.record(at(now));
    }
    assert!(!engine.is_silent(at(2_500)), "they may be lost together");
}

#[test]
fn intervals_grow_with_the_fleet_so_that_a_process_sends_a_bounded_number() {
    for peers in [1, 60, 330, 1_000] {
        let agent = peers as f64 / agent_interval(peers, false).as_secs_f64();
        let entry = peers as f64 / entry_interval(peers, false).as_secs_f64();
        let planner = peers as f64 / planner_interval(peers).as_secs_f64();
        assert!(
            agent < 70.0 && entry < 130.0 && planner < 260.0,
            "{peers} peers: {agent}, {entry}, {planner}"
        );
    }
}
