//! Guards against outdated member reports that override newer ones, live processes that stay marked
//! as gone, and reports or heartbeats that outgrow their limits in a full-size system.

use std::time::Duration;

use kumquatkeel_core::member::{Echo, MemberTable, MergeOutcome, OwnReport, ReportOrigin};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, PollReply, PollRequest, ReplicaState,
    Residency, Role, TargetStatus,
};
use kumquatkeel_types::{
    DataCentreName, EntryName, Epoch, Incarnation, ModelId, ModelName, ModelVersion, Revision,
    TargetName, Timestamp,
};
use proptest::prelude::*;
use rstest::rstest;

const fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn agent(number: u64, incarnation: u64, sequence: u64, state: MemberState) -> Member {
    Member {
        role: Role::Agent(TargetName::try_from(format!("target-{number}")).unwrap()),
        version: MemberVersion {
            incarnation: Incarnation(incarnation),
            sequence,
        },
        data_centre: DataCentreName::try_from("amman-a").unwrap(),
        address: "10.20.30.40:7000".parse().unwrap(),
        state,
        revision: Revision(1),
        target: None,
    }
}

fn entry(number: u64) -> Member {
    let role = Role::Entry(EntryName::try_from(format!("entry-{number}")).unwrap());
    Member {
        role,
        ..agent(number, 1, 1, MemberState::Serving)
    }
}

/// Returns the largest report of an agent: eight accelerators with a replica on each.
fn full_agent(number: u64) -> Member {
    let replica = |accelerator| Residency {
        model: ModelId {
            name: ModelName::try_from(format!("model-{accelerator}")).unwrap(),
            version: ModelVersion::try_from("v1").unwrap(),
        },
        accelerator,
        state: ReplicaState::Ready,
        adapters: Vec::new(),
        load: LoadSummary {
            running: 9,
            waiting: 0,
            slots: 32,
        },
    };
    let status = TargetStatus {
        replicas: (0..8).map(replica).collect(),
        committed_mb: vec![70_000; 8],
        load: LoadSummary::default(),
        epoch: Epoch(3),
    };
    Member {
        target: Some(status),
        ..agent(number, 2, 7, MemberState::Serving)
    }
}

#[rstest]
#[case::newer_sequence(agent(1, 2, 6, MemberState::Draining), MergeOutcome::Updated)]
#[case::newer_incarnation(agent(1, 3, 1, MemberState::Starting), MergeOutcome::Updated)]
#[case::same_version(agent(1, 2, 5, MemberState::Serving), MergeOutcome::Unchanged)]
#[case::marked_gone(agent(1, 2, 5, MemberState::Gone), MergeOutcome::Updated)]
#[case::older_sequence(agent(1, 2, 4, MemberState::Draining), MergeOutcome::Stale)]
#[case::older_incarnation(agent(1, 1, 99, MemberState::Draining), MergeOutcome::Stale)]
#[case::older_and_gone(agent(1, 2, 4, MemberState::Gone), MergeOutcome::Stale)]
fn the_highest_version_wins(#[case] report: Member, #[case] outcome: MergeOutcome) {
    let mut table = MemberTable::default();
    let known = agent(1, 2, 5, MemberState::Serving);
    table.merge(known.clone(), ReportOrigin::Downstream, at(0));
    let position = table.position();
    assert_eq!(
        table.merge(report.clone(), ReportOrigin::Downstream, at(1)),
        outcome
    );
    let expected = if outcome == MergeOutcome::Updated {
        report
    } else {
        known
    };
    assert_eq!(table.member(&expected.role), Some(&expected));
    assert_eq!(
        table.position() > position,
        outcome == MergeOutcome::Updated
    );
}

#[rstest]
#[case::not_listed(None, 5_900, 6_100)]
#[case::listed_as_leaving(Some(true), 3_900, 4_100)]
fn a_silent_child_is_marked_gone_sooner_if_listed_as_leaving(
    #[case] leaving: Option<bool>,
    #[case] alive: u64,
    #[case] gone: u64,
) {
    let mut table = MemberTable::default();
    let child = agent(1, 1, 1, MemberState::Serving);
    table.merge(child.clone(), ReportOrigin::Downstream, at(0));
    table.record_heartbeat(&child.role, at(0));
    table.set_leaving(leaving.map(|_| child.role.clone()));
    assert!(table.expire(at(alive)).is_empty());
    // A heartbeat keeps the child alive, even if it is listed as leaving.
    table.record_heartbeat(&child.role, at(alive));
    assert!(table.expire(at(gone)).is_empty());
    assert_eq!(table.expire(at(alive + gone)), vec![child.role.clone()]);
    let mut report = OwnReport::new(child);
    let marked = table.member(&report.member().role).unwrap().clone();
    assert_eq!(marked.state, MemberState::Gone);
    assert_eq!(report.on_echo(&marked), Echo::Refuted);
    assert_eq!(
        table.merge(report.member().clone(), ReportOrigin::Downstream, at(0)),
        MergeOutcome::Updated
    );
}

#[test]
fn a_child_that_moved_to_another_parent_is_not_marked_gone() {
    let mut table = MemberTable::default();
    let mut child = agent(1, 1, 1, MemberState::Serving);
    table.merge(child.clone(), ReportOrigin::Downstream, at(0));
    table.record_heartbeat(&child.role, at(0));
    child.version.sequence = 2;
    table.merge(child, ReportOrigin::Upstream, at(1_000));
    assert!(table.expire(at(60_000)).is_empty());
}

#[test]
fn a_newer_incarnation_supersedes_this_one() {
    let mut report = OwnReport::new(agent(1, 2, 1, MemberState::Serving));
    let newer = agent(1, 3, 1, MemberState::Starting);
    assert_eq!(report.on_echo(&newer), Echo::Superseded);
}

#[test]
fn a_draining_process_never_serves_again() {
    let mut report = OwnReport::new(agent(1, 2, 1, MemberState::Serving));
    report.set_state(MemberState::Draining);
    report.set_state(MemberState::Serving);
    assert_eq!(report.member().state, MemberState::Draining);
    assert_eq!(report.member().version.sequence, 2);
}

#[test]
fn a_change_of_load_does_not_raise_the_version() {
    let mut report = OwnReport::new(full_agent(1));
    let mut status = full_agent(1).target.unwrap();
    status.replicas[0].load.running = 30;
    report.set_target(status.clone());
    assert_eq!(report.member().version.sequence, 7);
    status.replicas[0].state = ReplicaState::Unloading;
    report.set_target(status);
    assert_eq!(report.member().version.sequence, 8);
}

proptest! {
    #[test]
    fn tables_converge_in_any_order_of_reports(
        reports in proptest::collection::vec((0..3u64, 1..4u64, 1..4u64, any::<bool>()), 1..30),
        seed in any::<u64>(),
    ) {
        let member = |&(number, incarnation, sequence, gone): &(u64, u64, u64, bool)| {
            let state = if gone { MemberState::Gone } else { MemberState::Serving };
            agent(number, incarnation, sequence, state)
        };
        let mut shuffled = reports.clone();
        let len = shuffled.len();
        for i in 0..len {
            shuffled.swap(i, (seed.wrapping_mul(i as u64 + 7) % len as u64) as usize);
        }
        let mut tables = [MemberTable::default(), MemberTable::default()];
        for (table, order) in tables.iter_mut().zip([&reports, &shuffled]) {
            for report in order {
                table.merge(member(report), ReportOrigin::Upstream, at(0));
            }
        }
        let [a, b] = tables;
        prop_assert_eq!(a.snapshot(), b.snapshot());
    }
}

/// Upper bound on the HTTP header bytes of a poll and its reply.
const HEADER_BYTES: usize = 400;

fn bytes(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).unwrap().len()
}

/// Returns the bytes of one idle poll and its reply.
fn idle_poll(mut member: Member) -> usize {
    let same_target = member.target.take().is_some();
    let request = PollRequest {
        member,
        revision: Some(Revision(123_456)),
        digest: u64::MAX,
        position: 1_000_000,
        relay_life: u64::MAX,
        wait_ms: 2_500,
        reports: Vec::new(),
        same_target,
    };
    let reply = PollReply {
        config: kumquatkeel_types::message::ConfigUpdate::Current,
        members: Vec::new(),
        position: 1_000_000,
        relay_life: u64::MAX,
        unreachable: Vec::new(),
    };
    bytes(&request) + bytes(&reply) + HEADER_BYTES
}

#[test]
fn heartbeat_traffic_stays_within_its_limit_per_daemon() {
    // An entry polls one parent and replies to four entries and three agents, every two and a half
    // seconds.
    let own = idle_poll(entry(1));
    let children = 4 * own + 3 * idle_poll(full_agent(1));
    let per_second = (own + children) * 2 / 5;
    println!(
        "entry {own} B, agent {} B, {per_second} B/s",
        idle_poll(full_agent(1))
    );
    assert!(per_second < 4_096, "{per_second} B/s");
}

#[test]
fn the_table_of_a_full_size_system_stays_within_its_limit() {
    let mut table = MemberTable::default();
    for number in 0..840 {
        table.merge(full_agent(number), ReportOrigin::Upstream, at(0));
    }
    for number in 0..330 {
        table.merge(entry(number), ReportOrigin::Downstream, at(0));
    }
    let everything = table.updates_for(0, &entry(1).role);
    let total: usize = everything.members.iter().map(bytes).sum();
    println!(
        "whole table {total} B, one agent {} B",
        bytes(&full_agent(1))
    );
    assert!(total < 2 << 20);
    let for_agents = table.updates_for(0, &full_agent(1).role);
    assert_eq!(for_agents.members.len(), 330);
    assert!(table.expire(at(0).after(Duration::from_mins(5))).is_empty());
}
