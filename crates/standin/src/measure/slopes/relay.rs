//! A daemon's part in the spread: its own poll, those that poll it, and the table of members.

use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::spread::Hub;
use kumquatkeel_types::message::{ConfigUpdate, Member, PollRequest, Snapshot};
use kumquatkeel_types::{Revision, TargetName};

use super::fleet::FleetSize;
use super::process::{LocalRuntime, memory_of, millis_of};
use super::{HEAD_BYTES, Sample, SlopeLine};

/// Polls of each child a second.
const POLLS: f64 = 0.4;
/// Targets and entries of the design size.
const TARGETS: usize = 840;
/// Entries of the design size.
const ENTRIES: usize = 330;
/// Polls over which time is measured.
const CALLS: u32 = 1_000;

/// Measures a relay at several numbers of children.
pub(super) fn probe() -> SlopeLine {
    let size = FleetSize::of_targets(TARGETS);
    let runtime = LocalRuntime::new();
    let hub = hub(&runtime, &size);
    let memory = memory_of(|| self::hub(&runtime, &size));
    let samples = [2_u32, 4, 8, 16].map(|children| sample(&runtime, &hub, children, memory));
    SlopeLine::of("relay", "children", samples.into())
}

fn hub(runtime: &LocalRuntime, size: &FleetSize) -> Hub {
    let hub = Hub::new(FleetSize::entry(0), 1, Clock::start());
    let document = size.document();
    let raw = document.raw().clone();
    hub.advance(&ConfigUpdate::Snapshot(Snapshot {
        revision: Revision(1),
        digest: raw.digest(),
        document: raw.into(),
    }));
    let reports = (0..size.targets).map(|target| size.agent(target, 1));
    let reports = reports.chain((1..ENTRIES).map(FleetSize::entry)).collect();
    runtime.block_on(hub.answer(poll(FleetSize::entry(1), reports, 0)));
    hub
}

fn poll(member: Member, reports: Vec<Member>, position: u64) -> PollRequest {
    PollRequest {
        member,
        revision: None,
        digest: 0,
        position,
        relay_life: 1,
        wait_ms: 0,
        same_target: false,
        reports,
    }
}

fn sample(runtime: &LocalRuntime, hub: &Hub, children: u32, memory: f64) -> Sample {
    let child = |number: u32| {
        let mut member = FleetSize::entry(1);
        let name = TargetName::try_from(format!("child-{number}")).expect("a valid name");
        member.role = kumquatkeel_types::message::Role::Agent(name);
        member
    };
    let config = hub.config();
    let idle = |number: u32, position: u64| PollRequest {
        revision: config.revision(),
        digest: config.digest(),
        ..poll(child(number), Vec::new(), position)
    };
    let mut positions = vec![0; children as usize];
    for number in 0..children {
        positions[number as usize] = runtime.block_on(hub.answer(idle(number, 0))).position;
    }
    let mut bytes = 0;
    let mut calls = 0;
    let millis = millis_of(CALLS, || {
        let number = calls % children;
        let request = idle(number, positions[number as usize]);
        let text = serde_json::to_vec(&request).unwrap_or_default();
        let read: PollRequest = serde_json::from_slice(&text).unwrap_or(request);
        let reply = runtime.block_on(hub.answer(read));
        positions[number as usize] = reply.position;
        bytes += text.len() + serde_json::to_vec(&reply).map_or(0, |text| text.len());
        calls += 1;
    });
    let polls = POLLS * f64::from(children);
    let poll_bytes = HEAD_BYTES + bytes as f64 / f64::from(CALLS);
    Sample {
        size: f64::from(children),
        bytes: (polls + POLLS) * poll_bytes,
        cpu_ms: (polls + POLLS) * millis,
        memory,
        calls: 0.0,
    }
}
