//! The view of the fleet, the routing policies, the link budget and the prefix index.
//!
//! Guards against attempts that go to a draining, gone, full or already tried target, against a view
//! that an old report sets back, and against a regional link used beyond its budget.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::routing::link::{LinkBudget, LinkStep};
use kumquatkeel_core::routing::prefix::{BLOCK_BYTES, PrefixIndex, PrefixStep, prefix_blocks};
use kumquatkeel_core::routing::{
    FleetView, RouteProgress, RouteRequest, RouteStep, Router, ViewStep,
};
use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::engine::{CacheEvent, CacheEvents};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, ProbeReply, ReplicaState, Residency, Role,
    TargetStatus,
};
use kumquatkeel_types::{Incarnation, ModelId, Revision, TargetName, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;
use serde_json::json;

const SLOTS: u32 = 8;

/// Targets a1 and a2 are in the entry's data centre, b1 in its region, c1 across the regional link.
const TARGETS: [(&str, &str); 4] = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")];

fn document(policy: &str, targets: &[(&str, &str)]) -> Arc<Document> {
    let target = |(i, (name, centre)): (usize, &(&str, &str))| {
        json!({
            "name": name, "data_centre": centre, "kind": "engine",
            "agent": format!("127.0.0.1:{}", 7000 + i), "accelerators": 2, "accelerator_mb": 100,
        })
    };
    let targets: Vec<_> = targets.iter().enumerate().map(target).collect();
    let raw: RawDocument = serde_json::from_value(json!({
        "regions": [
            {"name": "near", "data_centres": ["a", "b"]},
            {"name": "far", "data_centres": ["c"]},
        ],
        "models": [{"name": "m", "version": "1", "memory_mb": 10, "kv_mb": 10}],
        "services": [{"name": "s", "kind": "completions"}],
        "deployments": [{
            "name": "d", "service": "s", "data_centres": ["a", "b", "c"],
            "models": [{"name": "m", "version": "1"}],
        }],
        "targets": targets,
        "policy": {"routing": policy, "link_bytes": 1000},
    }))
    .unwrap();
    Arc::new(raw.try_into().unwrap())
}

fn model() -> ModelId {
    ModelId {
        name: "m".try_into().unwrap(),
        version: "1".try_into().unwrap(),
    }
}

fn name(target: &str) -> TargetName {
    target.try_into().unwrap()
}

fn load(running: u32) -> LoadSummary {
    LoadSummary {
        running,
        waiting: 0,
        slots: SLOTS,
    }
}

fn member(
    target: &str,
    incarnation: u64,
    sequence: u64,
    state: MemberState,
    running: u32,
) -> Member {
    let replica = Residency {
        model: model(),
        accelerator: 0,
        state: ReplicaState::Ready,
        adapters: Vec::new(),
        load: load(running),
    };
    Member {
        role: Role::Agent(name(target)),
        version: MemberVersion {
            incarnation: Incarnation(incarnation),
            sequence,
        },
        data_centre: "a".try_into().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        state,
        revision: Revision(1),
        target: Some(TargetStatus {
            replicas: vec![replica],
            load: load(running),
            ..TargetStatus::default()
        }),
    }
}

fn request() -> RouteRequest {
    RouteRequest {
        service: "s".try_into().unwrap(),
        model: Some(model()),
        adapter: None,
        prefix: Vec::new(),
        priority: 5,
        first_token: Duration::from_millis(680),
        bytes: 1_500,
    }
}

struct Fixture {
    router: Router,
    rng: Pcg64,
}

impl Fixture {
    /// Creates a router with fresh reports of the requests that run on each target.
    fn new(policy: &str, running: &[(&str, u32)]) -> Self {
        let home = "a".try_into().unwrap();
        let view = FleetView::new(home, Revision(1), document(policy, &TARGETS));
        let mut router = Router::new(view, Timestamp::ZERO).unwrap();
        for (target, running) in running {
            let report = member(target, 1, 1, MemberState::Serving, *running);
            let step = router.view_mut().apply_member(report, Timestamp::ZERO);
            assert_eq!(step, ViewStep::Applied);
        }
        let rng = Pcg64::seed_from_u64(3);
        Self { router, rng }
    }

    fn route_at(
        &mut self,
        millis: u64,
        request: &RouteRequest,
        progress: &RouteProgress,
    ) -> RouteStep {
        let now = Timestamp::from_millis(millis);
        self.router.route(request, progress, now, &mut self.rng)
    }

    fn route(&mut self) -> RouteStep {
        self.route_at(0, &request(), &RouteProgress::default())
    }

    /// Routes as an entry does; probes are answered with the given numbers of running requests.
    fn route_probed(&mut self, millis: u64, replies: &[(&str, u32)]) -> RouteStep {
        let mut progress = RouteProgress::default();
        loop {
            let step = self.route_at(millis, &request(), &progress);
            let RouteStep::Probe(targets) = step else {
                return step;
            };
            progress.probe_rounds += 1;
            for target in targets {
                let running = replies.iter().find(|(t, _)| name(t) == target).unwrap().1;
                let reply = ProbeReply {
                    incarnation: Incarnation(1),
                    draining: false,
                    resident: true,
                    load: load(running),
                };
                let now = Timestamp::from_millis(millis);
                self.router.probed(&request(), &target, &reply, now);
            }
        }
    }
}

#[rstest]
#[case::nearest_of_equal_loads(&[("a1", 1), ("b1", 1), ("c1", 0)], "a1")]
#[case::empty_target_two_milliseconds_away(&[("a1", 7), ("b1", 0), ("c1", 0)], "b1")]
#[case::less_loaded_in_the_data_centre(&[("a1", 7), ("a2", 1), ("c1", 0)], "a2")]
#[case::same_region_when_the_centre_is_full(&[("a1", 8), ("a2", 8), ("b1", 3), ("c1", 0)], "b1")]
#[case::other_region_when_the_own_one_is_full(&[("a1", 8), ("b1", 8), ("c1", 0)], "c1")]
fn the_least_loaded_target_nearby_is_chosen(#[case] running: &[(&str, u32)], #[case] chosen: &str) {
    let mut fixture = Fixture::new("least-loaded", running);
    assert_eq!(fixture.route(), RouteStep::Dispatch(name(chosen)));
}

#[test]
fn targets_with_stale_loads_are_probed_before_the_choice() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 0), ("a2", 8)]);
    let stale = fixture.route_at(10_000, &request(), &RouteProgress::default());
    assert!(matches!(stale, RouteStep::Probe(ref targets) if targets.len() == 2));
    let probed = fixture.route_probed(10_000, &[("a1", 8), ("a2", 0)]);
    assert_eq!(probed, RouteStep::Dispatch(name("a2")));
}

#[test]
fn a_choice_among_many_replicas_takes_a_probed_one() {
    let names: Vec<_> = (0..60).map(|i| format!("t{i}")).collect();
    let targets: Vec<_> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let view = FleetView::new(
        "a".try_into().unwrap(),
        Revision(1),
        document("least-loaded", &targets),
    );
    let router = Router::new(view, Timestamp::ZERO).unwrap();
    let rng = Pcg64::seed_from_u64(3);
    let mut fixture = Fixture { router, rng };
    for name in &names {
        let report = member(name, 1, 1, MemberState::Serving, 8);
        fixture
            .router
            .view_mut()
            .apply_member(report, Timestamp::ZERO);
    }
    let free: Vec<_> = names.iter().map(|n| (n.as_str(), 0)).collect();
    for millis in [1_000, 2_000, 3_000, 4_000] {
        let RouteStep::Dispatch(target) = fixture.route_probed(millis, &free) else {
            panic!("no target was chosen");
        };
        let candidates = fixture.router.candidates(
            &request(),
            &RouteProgress::default(),
            Timestamp::from_millis(millis),
            &mut fixture.rng,
        );
        let chosen = candidates.iter().find(|c| c.target == target);
        assert_eq!(chosen.map(|c| c.load_age), Some(Duration::ZERO));
    }
}

#[test]
fn a_target_is_chosen_after_two_probe_rounds_without_replies() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 0), ("a2", 0)]);
    let progress = RouteProgress {
        probe_rounds: 2,
        ..RouteProgress::default()
    };
    let step = fixture.route_at(10_000, &request(), &progress);
    assert!(matches!(step, RouteStep::Dispatch(_)));
}

#[test]
fn a_dispatch_over_the_link_budget_stays_in_the_region() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 8), ("c1", 0)]);
    // 1,000 bytes a second accumulate for two seconds: one request of 1,500 bytes fits.
    assert_eq!(fixture.route(), RouteStep::Dispatch(name("c1")));
    assert_eq!(fixture.route(), RouteStep::Dispatch(name("a1")));
}

#[rstest]
#[case("round-robin")]
#[case("least-in-flight")]
#[case("least-loaded")]
fn no_policy_chooses_a_tried_draining_or_gone_target(#[case] policy: &str) {
    let mut fixture = Fixture::new(policy, &[("a1", 0), ("a2", 0), ("b1", 0), ("c1", 0)]);
    let draining = member("a2", 1, 2, MemberState::Draining, 0);
    let gone = member("b1", 1, 1, MemberState::Gone, 0);
    let view = fixture.router.view_mut();
    assert_eq!(
        view.apply_member(draining, Timestamp::ZERO),
        ViewStep::Applied
    );
    assert_eq!(view.apply_member(gone, Timestamp::ZERO), ViewStep::Applied);
    let progress = RouteProgress {
        tried: vec![name("c1")],
        ..RouteProgress::default()
    };
    for _ in 0..20 {
        let step = fixture.route_at(0, &request(), &progress);
        assert_eq!(step, RouteStep::Dispatch(name("a1")));
    }
    let mut empty = Fixture::new(policy, &[]);
    assert_eq!(empty.route(), RouteStep::NoTarget);
}

#[test]
fn an_agents_hint_is_followed_without_a_probe() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 0), ("a2", 7)]);
    let progress = RouteProgress {
        tried: vec![name("a1")],
        hint: Some(name("a2")),
        probe_rounds: 0,
    };
    let step = fixture.route_at(10_000, &request(), &progress);
    assert_eq!(step, RouteStep::Dispatch(name("a2")));
}

#[rstest]
#[case::same_report_again(1, 1, ViewStep::Stale)]
#[case::earlier_incarnation(0, 9, ViewStep::Stale)]
#[case::next_report(1, 2, ViewStep::Applied)]
#[case::next_incarnation(2, 0, ViewStep::Applied)]
fn the_view_ignores_reports_that_are_not_newer(
    #[case] incarnation: u64,
    #[case] sequence: u64,
    #[case] step: ViewStep,
) {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 0)]);
    let report = member("a1", incarnation, sequence, MemberState::Serving, 8);
    let applied = fixture
        .router
        .view_mut()
        .apply_member(report, Timestamp::ZERO);
    assert_eq!(applied, step);
}

#[test]
fn a_draining_mark_survives_a_change_of_the_configuration() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 0)]);
    let view = fixture.router.view_mut();
    view.mark_draining(&name("a1"), Incarnation(1));
    let next = document("least-loaded", &TARGETS[..1]);
    assert_eq!(
        view.apply_document(Revision(2), next.clone()),
        ViewStep::Applied
    );
    assert_eq!(view.apply_document(Revision(1), next), ViewStep::Stale);
    assert_eq!(fixture.route(), RouteStep::NoTarget);
    let unknown = member("a2", 1, 1, MemberState::Serving, 0);
    let step = fixture
        .router
        .view_mut()
        .apply_member(unknown, Timestamp::ZERO);
    assert_eq!(step, ViewStep::UnknownTarget);
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached_while_a_slot_is_free() {
    let mut fixture = Fixture::new("least-loaded", &[("a1", 1), ("a2", 1)]);
    let prompt = "x".repeat(BLOCK_BYTES * 4);
    let with_prefix = RouteRequest {
        prefix: prefix_blocks(&prompt),
        ..request()
    };
    fixture.router.started(&with_prefix, &name("a2"));
    fixture.router.ended(&with_prefix, &name("a2"));
    let step = fixture.route_at(0, &with_prefix, &RouteProgress::default());
    assert_eq!(step, RouteStep::Dispatch(name("a2")));
    let full = member("a2", 1, 2, MemberState::Serving, 8);
    fixture
        .router
        .view_mut()
        .apply_member(full, Timestamp::ZERO);
    let step = fixture.route_at(0, &with_prefix, &RouteProgress::default());
    assert_eq!(step, RouteStep::Dispatch(name("a1")));
}

fn events(list: &[(u64, u64, bool)]) -> CacheEvents {
    let event = |(sequence, block, stored): &(u64, u64, bool)| CacheEvent {
        sequence: *sequence,
        block: *block,
        stored: *stored,
    };
    CacheEvents {
        events: list.iter().map(event).collect(),
    }
}

#[rstest]
#[case::in_order(&[(1, 10, true), (2, 20, true)], PrefixStep::Applied, 2)]
#[case::evicted_block(&[(1, 10, true), (2, 20, true), (3, 20, false)], PrefixStep::Applied, 1)]
#[case::late_event_ignored(&[(1, 10, true), (2, 20, true), (1, 10, false)], PrefixStep::Applied, 2)]
#[case::gap_drops_known_blocks(&[(1, 10, true), (3, 20, true)], PrefixStep::Gap, 0)]
fn cache_events_update_the_index_until_a_gap(
    #[case] list: &[(u64, u64, bool)],
    #[case] step: PrefixStep,
    #[case] hits: u32,
) {
    let mut index = PrefixIndex::default();
    let incarnation = Incarnation(2);
    assert_eq!(index.apply(&name("a1"), incarnation, &events(list)), step);
    assert_eq!(index.hits(&name("a1"), &[10, 20]), hits);
    let old = index.apply(&name("a1"), Incarnation(1), &events(&[(9, 10, true)]));
    assert_eq!(old, PrefixStep::Stale);
    index.apply(&name("a1"), Incarnation(3), &events(&[]));
    assert_eq!(
        index.hits(&name("a1"), &[10, 20]),
        0,
        "a new incarnation starts with an empty cache"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_link_budget_holds_over_any_period(
        transfers in proptest::collection::vec((0..5_000_u64, 0..700_u64), 1..100),
    ) {
        let mut budget = LinkBudget::new(1_000.0, Timestamp::ZERO);
        let mut now = Timestamp::ZERO;
        let mut sent = 0;
        for (bytes, pause) in transfers {
            now = now.after(Duration::from_millis(pause));
            if budget.take(bytes, now) == LinkStep::Granted {
                sent += bytes;
            }
            let limit = 1_000.0 * (now.since(Timestamp::ZERO).as_secs_f64() + 2.0);
            prop_assert!(sent as f64 <= limit + 1.0, "{sent} bytes granted, limit {limit}");
        }
    }

    #[test]
    fn no_order_of_reports_sets_the_view_back_or_routes_to_a_target_not_serving(
        reports in proptest::collection::vec((0..6_usize, 0..4_u64, 0..5_u64, 0..4_u8), 1..80),
    ) {
        let mut fixture = Fixture::new("least-loaded", &[]);
        let names = ["a1", "a2", "b1", "c1", "unknown", "a1"];
        let mut highest = std::collections::BTreeMap::new();
        for (target, incarnation, sequence, state) in reports {
            let state = [
                MemberState::Starting,
                MemberState::Serving,
                MemberState::Draining,
                MemberState::Gone,
            ][usize::from(state)];
            let report = member(names[target], incarnation, sequence, state, 1);
            let version = report.version;
            let step = fixture.router.view_mut().apply_member(report, Timestamp::ZERO);
            if step == ViewStep::Applied {
                let known = highest.insert(names[target], version);
                prop_assert!(known.is_none_or(|known| known <= version));
            }
            if let RouteStep::Dispatch(target) = fixture.route() {
                let agent = fixture.router.view().agent(&target).unwrap();
                prop_assert_eq!(agent.state, MemberState::Serving);
            }
        }
    }
}
