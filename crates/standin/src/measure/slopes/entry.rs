//! An entry: its view of the fleet, its routing decisions and its probes.

use kumquatkeel_core::routing::{FleetView, RouteProgress, RouteRequest, RouteStep, Router};
use kumquatkeel_types::message::{LoadSummary, ProbeReply, ProbeRequest};
use kumquatkeel_types::{Incarnation, Revision, Timestamp};
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::fleet::FleetSize;
use super::process::{memory_of, millis_of};
use super::{HEAD_BYTES, Sample, SlopeLine};

/// Requests a second at one entry: 2,400 over 330.
const REQUESTS: f64 = 7.3;
/// Reports of other processes a second: 191 instances fail or are replaced in a day, and each of
/// them changes a few times, beside one model load a second at the weight store's limit.
const REPORTS: f64 = 2.0;
/// Decisions and reports over which time is measured.
const CALLS: u32 = 50_000;

/// Measures an entry at several numbers of targets.
pub(super) fn probe() -> SlopeLine {
    let samples = [105, 210, 420, 840].map(|targets| sample(&FleetSize::of_targets(targets)));
    SlopeLine::of("entry", "targets", samples.into())
}

fn sample(size: &FleetSize) -> Sample {
    let mut router = router(size);
    let mut rng = Pcg64::seed_from_u64(1);
    let now = Timestamp::from_millis(60_000);
    let mut number = 0;
    let mut probes = 0;
    let decision = millis_of(CALLS, || {
        number += 1;
        let request = request(number % size.models);
        let step = router.route(&request, &RouteProgress::default(), now, &mut rng);
        if let RouteStep::Probe(targets) = step {
            probes += targets.len();
        }
    });
    let mut sequence = 1;
    let report = millis_of(CALLS, || {
        sequence += 1;
        let member = size.agent(sequence as usize % size.targets, sequence);
        router.view_mut().apply_member(member, now);
    });
    let probes = probes as f64 / f64::from(CALLS);
    Sample {
        size: size.targets as f64,
        bytes: REQUESTS * probes * probe_bytes(),
        cpu_ms: REQUESTS * decision + REPORTS * report,
        memory: memory_of(|| self::router(size)),
        calls: 0.0,
    }
}

fn router(size: &FleetSize) -> Router {
    let home = FleetSize::entry(0).data_centre;
    let mut view = FleetView::new(home, Revision(1), size.document());
    for target in 0..size.targets {
        view.apply_member(size.agent(target, 1), Timestamp::ZERO);
    }
    Router::new(view, Timestamp::ZERO).expect("the default policy is registered")
}

fn request(model: usize) -> RouteRequest {
    RouteRequest {
        service: "s".try_into().expect("a valid name"),
        model: Some(FleetSize::model(model)),
        adapter: None,
        prefix: Vec::new(),
        priority: 5,
        first_token: std::time::Duration::from_millis(680),
        bytes: 4_000,
    }
}

/// Returns the bytes of one probe and its answer.
fn probe_bytes() -> f64 {
    let request = ProbeRequest {
        model: Some(FleetSize::model(0)),
        adapter: None,
    };
    let reply = ProbeReply {
        incarnation: Incarnation(1_790_000_000_000),
        draining: false,
        resident: true,
        load: LoadSummary {
            running: 9,
            waiting: 0,
            slots: 12,
        },
    };
    let json = |value: Result<Vec<u8>, serde_json::Error>| value.map_or(0, |v| v.len()) as f64;
    HEAD_BYTES + json(serde_json::to_vec(&request)) + json(serde_json::to_vec(&reply))
}
