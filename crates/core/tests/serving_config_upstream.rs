//! The choice of the process from which another one learns of configurations.
//!
//! Guards against a store that every process of a region reads, against agents that follow each
//! other, and against a process that follows agents without news of the store.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use kumquatkeel_core::serving::{ConfigUpstream, UpstreamStep};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;

const PATIENCE: Duration = Duration::from_secs(2);

fn host(index: u16) -> IpAddr {
    let [high, low] = index.to_be_bytes();
    [10, 0, high, low].into()
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// Returns the first step of a process among the agents on `hosts`.
fn first_step(own: IpAddr, hosts: &[IpAddr]) -> UpstreamStep {
    let mut upstream = ConfigUpstream::new(PATIENCE, at(0));
    upstream.set_hosts(own, hosts.iter().copied());
    upstream.next_step(at(0))
}

#[test]
fn two_agents_of_a_region_watch_the_store_and_the_others_follow() {
    for count in [3, 10, 400] {
        let agents: Vec<IpAddr> = (1..=count).map(host).collect();
        let steps = agents.iter().map(|agent| first_step(*agent, &agents));
        let watching = steps.filter(|step| *step == UpstreamStep::WatchStore);
        assert_eq!(watching.count(), 2, "of {count} agents");
        let mut followers = HashMap::new();
        for entry in (1_000..1_000 + count / 2).map(host) {
            let step = first_step(entry, &agents);
            assert!(matches!(step, UpstreamStep::Follow(_)), "{step:?}");
            *followers.entry(step).or_insert(0) += 1;
        }
        let most = followers.values().max().copied().unwrap_or_default();
        assert!(most <= 8, "{most} entries follow one of {count} agents");
    }
}

#[test]
fn a_process_without_confirmations_reads_the_store() {
    let mut upstream = ConfigUpstream::new(PATIENCE, at(0));
    upstream.set_hosts(host(9), [host(1), host(2)]);
    upstream.record_confirmation(Duration::from_millis(100), at(1_000));
    let mut tried = Vec::new();
    while let UpstreamStep::Follow(agent) = upstream.next_step(at(1_500)) {
        tried.push(agent);
        upstream.record_failure();
    }
    tried.sort_unstable();
    assert_eq!(tried, [host(1), host(2)]);
    assert_eq!(upstream.next_step(at(2_900)), UpstreamStep::ReadStore);
    let step = upstream.next_step(at(2_901));
    assert!(matches!(step, UpstreamStep::Follow(_)), "{step:?}");
    upstream.record_failure();
    assert_eq!(upstream.next_step(at(2_902)), UpstreamStep::ReadStore);
}

#[test]
fn a_process_that_hears_of_the_store_does_not_read_it() {
    let mut upstream = ConfigUpstream::new(PATIENCE, at(0));
    upstream.set_hosts(host(9), [host(1)]);
    upstream.record_confirmation(Duration::ZERO, at(1_000));
    upstream.record_failure();
    let step = upstream.next_step(at(2_999));
    assert!(matches!(step, UpstreamStep::Pause(_)), "{step:?}");
}

/// What a process did in a minute in which every agent refuses.
#[derive(Debug, Default)]
struct Outage {
    /// Tries to follow an agent.
    tries: usize,
    /// Calls to the store.
    calls: usize,
    /// Longest time between two calls to the store.
    longest_gap: Duration,
    /// Time of the last try.
    last_try: Duration,
}

/// Plays a process whose connections to agents are refused at once, and whose watches of the store end
/// after `wait` without a change.
fn play_outage(upstream: &mut ConfigUpstream, start: Timestamp, wait: Duration) -> Outage {
    let (mut now, mut called, mut outage) = (start, start, Outage::default());
    while now.since(start) < Duration::from_mins(1) {
        match upstream.next_step(now) {
            UpstreamStep::Follow(_) => {
                outage.tries += 1;
                outage.last_try = now.since(start);
                upstream.record_failure();
                now = now.after(Duration::from_millis(1));
            }
            UpstreamStep::Pause(pause) => now = now.after(pause),
            step @ (UpstreamStep::WatchStore | UpstreamStep::ReadStore) => {
                outage.calls += 1;
                outage.longest_gap = outage.longest_gap.max(now.since(called));
                now = now.after(wait);
                called = now;
                assert!(step == UpstreamStep::WatchStore || outage.calls <= 2);
                upstream.record_confirmation(Duration::ZERO, now);
            }
        }
    }
    outage
}

/// Where no agent runs, a process that tries one agent after the other misses configurations and logs
/// each try.
#[test]
fn a_process_whose_agents_all_fail_watches_the_store() {
    for count in [1, 2, 3, 60, 1_000] {
        let agents: Vec<IpAddr> = (1..=count).map(host).collect();
        let mut upstream = ConfigUpstream::new(PATIENCE, at(0));
        upstream.set_hosts(host(2_000), agents.iter().copied());
        upstream.record_confirmation(Duration::ZERO, at(0));
        let outage = play_outage(&mut upstream, at(0), PATIENCE);
        assert!(outage.longest_gap <= PATIENCE, "{count} agents: {outage:?}");
        assert!(outage.calls <= 32, "{count} agents: {outage:?}");
        assert!(outage.tries <= 60, "{count} agents: {outage:?}");
        // It still tries them, and follows the first one that serves.
        assert!(outage.last_try > Duration::from_secs(20), "{outage:?}");
        upstream.record_success();
        let step = upstream.next_step(at(61_000));
        assert!(matches!(step, UpstreamStep::Follow(_)), "{step:?}");
    }
}

/// All entries lose their agents at once; they must not return to them at once.
#[test]
fn processes_try_agents_again_at_different_times() {
    let mut tries = Vec::new();
    for own in 2_000..2_068 {
        let mut upstream = ConfigUpstream::new(PATIENCE, at(0));
        upstream.set_hosts(host(own), (1..=60).map(host));
        upstream.record_confirmation(Duration::ZERO, at(0));
        tries.push(play_outage(&mut upstream, at(0), Duration::from_millis(50)).last_try);
    }
    tries.sort_unstable();
    let spread = tries[tries.len() - 1].saturating_sub(tries[0]);
    assert!(spread > Duration::from_secs(3), "{spread:?}");
}

proptest! {
    /// Agents with different views of the others would hold on to an old configuration together.
    #[test]
    fn agents_never_follow_each_other(
        views in prop::collection::vec(prop::collection::btree_set(0_u16..40, 1..40), 40),
    ) {
        let mut upstreams = HashMap::new();
        for (index, view) in views.iter().enumerate() {
            let own = host(index as u16);
            let mut hosts: Vec<IpAddr> = view.iter().map(|h| host(*h)).collect();
            hosts.push(own);
            hosts.sort_unstable();
            hosts.dedup();
            if let UpstreamStep::Follow(agent) = first_step(own, &hosts) {
                upstreams.insert(own, agent);
            }
        }
        for start in upstreams.keys() {
            let mut agent = start;
            for _ in 0..views.len() {
                match upstreams.get(agent) {
                    Some(next) => agent = next,
                    None => break,
                }
            }
            prop_assert!(!upstreams.contains_key(agent), "{start} follows a cycle");
        }
    }
}
