//! The policy measurement: deterministic, and the promises hold under faults.

use kumquatkeel_standin::measure::policy::{PolicyOptions, Workload, policy_names, run};
use rstest::rstest;

/// Runs with every model everywhere, so that memory does not hold for it.
const BOUND: &str = "unlimited-memory";

fn options(seed: u64, faults: bool) -> PolicyOptions {
    PolicyOptions {
        workload: Some(Workload::Association),
        seed,
        faults,
        seconds: 120,
        ..PolicyOptions::default()
    }
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    let lines = || serde_json::to_string(&run(&options(3, true))).expect("lines");
    assert_eq!(lines(), lines());
}

#[rstest]
#[case(1, false)]
#[case(1, true)]
#[case(2, true)]
fn the_promises_hold_for_every_policy(#[case] seed: u64, #[case] faults: bool) {
    for name in policy_names().filter(|name| *name != BOUND) {
        let options = PolicyOptions {
            policy: Some(name.into()),
            ..options(seed, faults)
        };
        let lines = run(&options);
        assert_eq!(lines.len(), 1, "{name}");
        let line = &lines[0];
        let broken = line.memory_violations + line.doubled + line.lost + line.false_not_run;
        assert_eq!(broken, 0, "{line:?}");
        assert!(faults || line.unreachable_seconds == 0, "{line:?}");
        assert!(line.attained > 0, "{line:?}");
    }
}

#[test]
fn four_policies_are_compared_unless_one_is_named() {
    let policies: Vec<_> = run(&options(1, false))
        .into_iter()
        .map(|line| line.policy)
        .collect();
    let compared = [
        "static+round-robin",
        "static+least-in-flight",
        "greedy+least-in-flight",
        "demand+least-loaded",
    ];
    assert_eq!(policies, compared);
}

#[test]
fn an_unknown_policy_gives_no_line() {
    let options = PolicyOptions {
        policy: Some("no-such-policy".into()),
        ..options(1, false)
    };
    assert!(run(&options).is_empty());
}
