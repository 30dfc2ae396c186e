//! Blame for crashes, and verdicts that several processes exchange.
//!
//! Guards against a part of prompts that crashes target after target without being blamed, against
//! blame for sound parts, and against verdicts that get lost or never end.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use kumquatkeel_core::quarantine::{
    CONVICTING_CRASHES, CrashEvidence, OBJECTION_TIME, QUARANTINE_TTL, QuarantineCheck,
    QuarantineTable, RequestDigest, Ruling, Suspect, Trial, TrialClaim, Verdict,
};
use kumquatkeel_types::Timestamp;
use proptest::prelude::*;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn part(name: &str) -> Suspect {
    Suspect::part(name)
}

fn request(name: &str) -> Suspect {
    Suspect::Request(RequestDigest::of([name.as_bytes()]))
}

/// Records a crash of another target each second.
fn crash(evidence: &mut CrashEvidence, second: u64, parts: &[&str]) {
    let parts = parts.iter().map(|name| part(name));
    evidence.record_crash(&format!("t{second}"), parts, at(second * 1_000));
}

fn culprits(evidence: &CrashEvidence, second: u64) -> Vec<Suspect> {
    evidence.culprits(|_| false, at(second * 1_000))
}

#[test]
fn a_part_at_three_crashes_is_blamed_unless_a_request_with_it_completed() {
    let mut evidence = CrashEvidence::default();
    evidence.record_sound([part("shared")], at(0));
    for second in 1..3 {
        crash(&mut evidence, second, &["shared", "bad"]);
    }
    assert!(culprits(&evidence, 3).is_empty());
    crash(&mut evidence, 3, &["shared", "bad"]);
    assert_eq!(culprits(&evidence, 4), [part("bad")]);
    evidence.record_sound([part("bad")], at(4_000));
    assert!(culprits(&evidence, 4).is_empty());
}

#[test]
fn a_power_loss_of_all_targets_blames_no_part() {
    let mut evidence = CrashEvidence::default();
    for target in 0..20 {
        let id = format!("t{target}");
        evidence.record_crash(&id, [part("rare")], at(1_000 + target * 10));
    }
    assert!(culprits(&evidence, 3).is_empty());
}

#[test]
fn reports_of_one_crash_by_many_entries_count_once() {
    let mut evidence = CrashEvidence::default();
    for second in 1..9 {
        evidence.record_crash("t1", [part("rare")], at(second * 1_000));
    }
    assert!(culprits(&evidence, 9).is_empty());
}

#[test]
fn a_crash_that_a_blamed_part_explains_blames_no_other() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=4 {
        let session: &[&str] = if second < 4 {
            &["bad", "session"]
        } else {
            &["bad"]
        };
        crash(&mut evidence, second, session);
    }
    assert_eq!(culprits(&evidence, 5), [part("bad")]);
}

#[test]
fn a_part_at_fewer_crashes_than_a_culprit_is_not_blamed_with_it() {
    let mut evidence = CrashEvidence::default();
    // Three groups of crashes at the same time, each of which has a crash without the topic.
    for crash in 0..6 {
        let id = format!("t{crash}");
        let topic = (crash % 2 == 0).then(|| part("topic"));
        let second = crash / 2 + 1;
        let suspects = topic.into_iter().chain([part("bad")]);
        evidence.record_crash(&id, suspects, at(second * 1_000 + crash % 2 * 100));
    }
    assert_eq!(culprits(&evidence, 4), [part("bad")]);
}

#[test]
fn two_parts_that_crash_targets_are_both_found() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=7 {
        crash(
            &mut evidence,
            second,
            if second < 5 { &["bad"] } else { &["worse"] },
        );
    }
    assert_eq!(culprits(&evidence, 8), [part("bad"), part("worse")]);
}

#[test]
fn a_part_is_not_blamed_before_entries_can_object() {
    let mut evidence = CrashEvidence::default();
    for crash in 0..CONVICTING_CRASHES as u64 {
        let id = format!("t{crash}");
        evidence.record_crash(&id, [part("new")], at(1_000 + crash * 250));
    }
    let objection = OBJECTION_TIME.as_millis() as u64;
    assert!(evidence.culprits(|_| false, at(999 + objection)).is_empty());
    assert_eq!(
        evidence.culprits(|_| false, at(1_000 + objection)),
        [part("new")]
    );
}

/// Records a crash of another target each second, with requests and parts.
fn crash_under(evidence: &mut CrashEvidence, second: u64, suspects: &[Suspect]) {
    let id = format!("t{second}");
    evidence.record_crash(&id, suspects.iter().cloned(), at(second * 1_000));
}

#[test]
fn a_part_is_not_blamed_for_one_request_that_comes_again() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=4 {
        crash_under(&mut evidence, second, &[request("bad"), part("rare")]);
    }
    crash_under(&mut evidence, 5, &[request("other"), part("rare")]);
    assert_eq!(culprits(&evidence, 6), [request("bad")]);
}

#[test]
fn a_request_is_not_blamed_for_a_part_that_others_have_too() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=3 {
        let name = format!("request{second}");
        crash_under(&mut evidence, second, &[request(&name), part("bad")]);
    }
    assert_eq!(culprits(&evidence, 4), [part("bad")]);
}

#[test]
fn a_part_is_blamed_although_one_request_with_it_came_three_times() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=3 {
        crash_under(&mut evidence, second, &[request("first"), part("bad")]);
    }
    for second in 4..=5 {
        let name = format!("request{second}");
        crash_under(&mut evidence, second, &[request(&name), part("bad")]);
    }
    assert_eq!(culprits(&evidence, 6), [part("bad")]);
}

#[rstest]
#[case::at_all_targets_that_crashed(3, true)]
#[case::others_crashed_too(4, false)]
fn a_request_at_targets_that_crash_at_once_is_no_victim_of_a_power_loss(
    #[case] crashes: u64,
    #[case] blamed: bool,
) {
    let mut evidence = CrashEvidence::default();
    for crash in 0..crashes {
        let suspects = (crash < 3).then(|| request("bad"));
        evidence.record_crash(&format!("t{crash}"), suspects, at(1_000 + crash * 60));
    }
    let found = culprits(&evidence, 3);
    assert_eq!(found.contains(&request("bad")), blamed);
}

#[test]
fn a_sound_request_beside_a_culprit_is_not_blamed() {
    let mut evidence = CrashEvidence::default();
    for second in 1..=4 {
        let beside = (second < 4).then(|| request("sound"));
        let suspects: Vec<Suspect> = beside.into_iter().chain([request("bad")]).collect();
        crash_under(&mut evidence, second, &suspects);
    }
    assert_eq!(culprits(&evidence, 5), [request("bad")]);
}

#[test]
fn a_request_does_not_pass_for_a_part_of_the_same_name() {
    let text = request("bad").to_string();
    assert_eq!(Suspect::parse(&text), request("bad"));
    assert_ne!(Suspect::part(&text).to_string(), text);
    assert_eq!(Suspect::parse("request:12"), Suspect::part("request:12"));
}

#[test]
fn a_released_part_returns_after_one_crash() {
    let mut table = QuarantineTable::default();
    table.convict(part("bad"), at(0));
    let end = Timestamp::ZERO.after(QUARANTINE_TTL);
    assert_ne!(table.check(&[part("bad")], at(1)), QuarantineCheck::Clear);
    assert_eq!(table.expire(end).len(), 1);
    assert_eq!(table.check(&[part("bad")], end), QuarantineCheck::Clear);
    let mut evidence = CrashEvidence::default();
    evidence.record_crash("t", [part("bad"), part("shared")], end);
    let later = end.after(Duration::from_secs(1));
    let blamed = evidence.culprits(|part| table.is_on_probation(part), later);
    assert_eq!(blamed, [part("bad")]);
}

#[test]
fn a_table_keeps_parts_in_quarantine_longer_than_released_ones() {
    let mut table = QuarantineTable::default();
    for index in 0..2_000 {
        let name = part(&format!("released{index}"));
        table.convict(name.clone(), at(index));
        table.release(name, at(index));
        if index < 10 {
            table.convict(part(&format!("bad{index}")), at(index));
        }
    }
    for index in 0..10 {
        let name = part(&format!("bad{index}"));
        let check = table.check(&[name], at(3_000));
        assert_ne!(check, QuarantineCheck::Clear, "bad{index}");
    }
}

/// The trials that a request with these suspects needs; empty if it needs none or is rejected.
fn trials(table: &QuarantineTable, suspects: &[Suspect], now: u64) -> Vec<Trial> {
    match table.check(suspects, at(now)) {
        QuarantineCheck::Trial(trials) => trials,
        QuarantineCheck::Clear | QuarantineCheck::Rejected(_) => Vec::new(),
    }
}

/// Sound parts that were convicted with the culprit would reject their requests for the whole quarantine.
#[test]
fn a_request_without_one_of_the_quarantined_parts_is_sent_as_a_trial() {
    let mut table = QuarantineTable::default();
    for name in ["shared", "bad"] {
        table.convict(part(name), at(0));
    }
    let (sound, bad) = ([part("shared"), part("own")], [part("shared"), part("bad")]);
    assert!(trials(&table, &bad, 1).is_empty());
    let claimed = trials(&table, &sound, 1);
    assert_eq!(claimed.len(), 1);
    table.begin_claim(&claimed[0], at(1));
    assert!(trials(&table, &sound, 2).is_empty(), "one claim at a time");
    table.end_claim(&claimed[0], TrialClaim::Granted, at(3));
    assert!(table.are_granted(&sound, &claimed));
    assert!(!table.are_granted(&bad, &claimed));
    table.release(part("shared"), at(2_000));
    assert_eq!(table.check(&sound, at(2_000)), QuarantineCheck::Clear);
    assert_ne!(table.check(&bad, at(2_000)), QuarantineCheck::Clear);
    assert!(!table.is_on_probation(&part("shared")));
    assert!(table.is_on_probation(&part("bad")));
}

/// A culprit's trials crash targets.
#[test]
fn a_verdict_has_three_trials_at_most() {
    let mut table = QuarantineTable::default();
    for name in ["shared", "bad"] {
        table.convict(part(name), at(0));
    }
    let mut granted = 0;
    for now in (0..QUARANTINE_TTL.as_millis() as u64).step_by(100) {
        for trial in trials(&table, &[part("bad")], now) {
            table.end_claim(&trial, TrialClaim::Granted, at(now));
            granted += 1;
        }
    }
    assert_eq!(granted, 3);
}

/// A target that can't be reached must not use up the trials.
#[test]
fn a_trial_that_was_not_made_is_kept_for_another_request() {
    let mut table = QuarantineTable::default();
    for name in ["shared", "bad"] {
        table.convict(part(name), at(0));
    }
    let sound = [part("shared")];
    let claimed = trials(&table, &sound, 0);
    table.end_claim(&claimed[0], TrialClaim::Granted, at(0));
    assert!(trials(&table, &sound, 1).is_empty());
    table.return_unused(&claimed[0]);
    let again = trials(&table, &sound, 2);
    assert!(table.take_unused(&again[0]));
    assert!(!table.take_unused(&again[0]));
    assert!(trials(&table, &sound, 3).is_empty());
}

#[rstest]
#[case::the_only_verdict(&["bad"], &[part("bad")])]
#[case::of_a_request(&["bad", "shared"], &[request("r"), part("shared")])]
fn a_request_that_tells_nothing_apart_is_no_trial(
    #[case] convicted: &[&str],
    #[case] suspects: &[Suspect],
) {
    let mut table = QuarantineTable::default();
    table.convict(request("r"), at(0));
    for name in convicted {
        table.convict(part(name), at(0));
    }
    let check = table.check(suspects, at(1));
    assert!(matches!(check, QuarantineCheck::Rejected(_)), "{check:?}");
}

#[test]
fn a_claim_that_another_process_won_is_not_made_again() {
    let mut table = QuarantineTable::default();
    for name in ["shared", "bad"] {
        table.convict(part(name), at(0));
    }
    let claimed = trials(&table, &[part("shared")], 0);
    table.end_claim(&claimed[0], TrialClaim::Used(1), at(1));
    assert!(!table.are_granted(&[part("shared")], &[]));
    assert!(trials(&table, &[part("shared")], 14_000).is_empty());
    assert_eq!(trials(&table, &[part("shared")], 15_000)[0].number, 1);
}

proptest! {
    #[test]
    fn a_revised_verdict_has_the_next_epoch_of_its_ruling(epoch in 0..1_000_u32) {
        for ruling in [Ruling::Quarantined, Ruling::Expired, Ruling::Sound] {
            let verdict = Verdict { suspect: part("p"), epoch };
            let revised = verdict.revise(ruling);
            prop_assert_eq!(revised.ruling(), ruling);
            prop_assert!(revised.epoch > epoch && revised.epoch <= epoch + 4);
        }
    }

    /// Two processes that hold on to different verdicts would send what the other rejects.
    #[test]
    fn tables_that_exchange_all_verdicts_agree(
        decisions in prop::collection::vec((0_usize..3, 0_u8..4, any::<bool>()), 0..40),
        order in any::<u64>(),
    ) {
        let mut tables = vec![QuarantineTable::default(); 3];
        let mut rng = Pcg64Mcg::seed_from_u64(order);
        for (index, name, convict) in decisions {
            let name = part(&format!("p{name}"));
            if convict {
                tables[index].convict(name, at(1));
            } else {
                tables[index].release(name, at(1));
            }
            if rng.random_bool(0.3) {
                let (from, to) = (rng.random_range(0..3), rng.random_range(0..3));
                let verdicts: Vec<Verdict> = tables[from].verdicts().collect();
                tables[to].merge(verdicts, at(2));
            }
        }
        for _ in 0..2 {
            for from in 0..3 {
                let verdicts: Vec<Verdict> = tables[from].verdicts().collect();
                for table in &mut tables {
                    table.merge(verdicts.clone(), at(3));
                }
            }
        }
        let all: Vec<Vec<Verdict>> = tables.iter().map(|t| t.verdicts().collect()).collect();
        prop_assert!(all.iter().all(|verdicts| *verdicts == all[0]), "{all:?}");
    }
}

/// A request in flight at a target.
#[derive(Debug, Clone)]
struct Run {
    /// The request and the parts of its prompt.
    suspects: Vec<Suspect>,
    bad: bool,
    /// Whether an earlier run ended with a crash.
    resent: bool,
}

/// Simulates targets that crash on one suspect or at random, entries that lose reports and send requests
/// again, and one agent that judges.
struct Simulation {
    rng: Pcg64Mcg,
    targets: Vec<Vec<Run>>,
    incarnations: u64,
    /// The number of requests so far.
    requests: u64,
    /// What each entry has seen complete.
    entries: Vec<CrashEvidence>,
    agent: CrashEvidence,
    table: QuarantineTable,
    loss: f64,
    bad_arrivals: Vec<u64>,
    bad_crashes: Vec<u64>,
    sound_rejected: BTreeMap<bool, usize>,
}

impl Simulation {
    fn new(seed: u64, loss: f64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            targets: vec![Vec::new(); 9],
            incarnations: 0,
            requests: 0,
            entries: vec![CrashEvidence::default(); 4],
            agent: CrashEvidence::default(),
            table: QuarantineTable::default(),
            loss,
            bad_arrivals: Vec::new(),
            bad_crashes: Vec::new(),
            sound_rejected: BTreeMap::new(),
        }
    }

    fn sound_request(&mut self) -> Vec<Suspect> {
        let shared = self.rng.random_range(0..3);
        let topic = self.rng.random_range(0..90);
        self.requests += 1;
        vec![
            request(&self.requests.to_string()),
            part(&format!("shared{shared}")),
            part(&format!("topic{topic}")),
        ]
    }

    /// Returns whether a request is rejected; a trial that it needs is granted.
    fn is_rejected(&mut self, suspects: &[Suspect], now: u64) -> bool {
        let trials = match self.table.check(suspects, at(now)) {
            QuarantineCheck::Clear => return false,
            QuarantineCheck::Rejected(_) => return true,
            QuarantineCheck::Trial(trials) => trials,
        };
        for trial in &trials {
            self.table.end_claim(trial, TrialClaim::Granted, at(now));
        }
        false
    }

    /// Sends a request to a random target, unless it is rejected.
    fn send(&mut self, run: Run, now: u64) {
        let rejected = self.is_rejected(&run.suspects, now);
        let bad = run.bad;
        if !bad && !run.resent {
            *self.sound_rejected.entry(rejected).or_default() += 1;
        }
        if rejected {
            return;
        }
        if bad {
            self.bad_arrivals.push(now);
        }
        let target = self.rng.random_range(0..self.targets.len());
        self.targets[target].push(run);
    }

    /// Ends a target with all that it runs; the entries report, and some reports are lost.
    fn crash(&mut self, target: usize, now: u64) {
        let id = format!("t{target}-{}", self.incarnations);
        self.incarnations += 1;
        for run in std::mem::take(&mut self.targets[target]) {
            let entry = self.rng.random_range(0..self.entries.len());
            let entry = &self.entries[entry];
            let suspects = run.suspects.iter();
            let suspected = suspects.filter(|p| !entry.is_sound(p, at(now)));
            let suspected: Vec<Suspect> = suspected.cloned().collect();
            // Each report is sent several times.
            if !self.rng.random_bool(self.loss.powi(3)) {
                self.agent.record_crash(&id, suspected, at(now));
            }
            if !run.resent {
                self.send(
                    Run {
                        resent: true,
                        ..run
                    },
                    now,
                );
            }
        }
    }

    /// Runs the requests of 50 ms: those with the bad suspect crash their target, others complete.
    fn step(&mut self, bad: &Suspect, now: u64) {
        let suspects: BTreeSet<Suspect> = self.agent.suspects(at(now)).into_iter().collect();
        for target in 0..self.targets.len() {
            if (self.targets[target].iter()).any(|run| run.suspects.contains(bad)) {
                self.bad_crashes.push(now);
                self.crash(target, now);
                continue;
            }
            let running = std::mem::take(&mut self.targets[target]);
            for run in running {
                if self.rng.random_bool(0.2) {
                    let entry = self.rng.random_range(0..self.entries.len());
                    for suspect in &run.suspects {
                        self.table.release(suspect.clone(), at(now));
                    }
                    // Entries remember of suspected requests alone that they have completed.
                    let known = (run.suspects.into_iter())
                        .filter(|s| !s.is_request() || suspects.contains(s));
                    self.entries[entry].record_sound(known, at(now));
                } else {
                    self.targets[target].push(run);
                }
            }
        }
        let suspects = self.agent.suspects(at(now));
        for entry in &self.entries {
            if now.is_multiple_of(300) && !self.rng.random_bool(self.loss) {
                let sound = suspects.iter().filter(|p| entry.is_sound(p, at(now)));
                self.agent.record_sound(sound.cloned(), at(now));
            }
        }
        let table = &self.table;
        let culprits = self.agent.culprits(|p| table.is_on_probation(p), at(now));
        for culprit in culprits {
            self.table.convict(culprit, at(now));
        }
    }

    fn run(&mut self, bad: &Suspect, seconds: u64, bad_rate: f64, crash_rate: f64) {
        // A request that comes again has the same parts each time.
        let same_parts = self.sound_request().split_off(1);
        for now in (0..seconds * 1_000).step_by(50) {
            for _ in 0..2 {
                let suspects = self.sound_request();
                let (bad, resent) = (false, false);
                self.send(
                    Run {
                        suspects,
                        bad,
                        resent,
                    },
                    now,
                );
            }
            // The first seconds are without crashes, as sites have run for a while.
            if now > 5_000 && self.rng.random_bool(bad_rate) {
                let mut suspects = if bad.is_request() {
                    same_parts.clone()
                } else {
                    self.sound_request()
                };
                suspects.push(bad.clone());
                let (bad, resent) = (true, false);
                self.send(
                    Run {
                        suspects,
                        bad,
                        resent,
                    },
                    now,
                );
            }
            // A power loss ends all targets at once.
            if now > 5_000 && self.rng.random_bool(crash_rate / 100.0) {
                for target in 0..self.targets.len() {
                    self.crash(target, now);
                }
            }
            if now > 5_000 && self.rng.random_bool(crash_rate) {
                let targets: Vec<usize> = (0..self.targets.len()).collect();
                let target = targets.choose(&mut self.rng).copied().unwrap_or_default();
                self.crash(target, now);
            }
            self.step(bad, now);
        }
    }

    fn share_of_sound_rejected(&self) -> f64 {
        let count = |rejected: bool| self.sound_rejected.get(&rejected).copied().unwrap_or(0);
        count(true) as f64 / (count(true) + count(false)) as f64
    }

    fn quarantined(&self) -> BTreeSet<Suspect> {
        let verdicts = self.table.verdicts().filter(Verdict::is_quarantined);
        verdicts.map(|v| v.suspect).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// The users' two rules: few requests with the part reach targets from four seconds after the
    /// fifth crash on, and sound requests go on.
    #[test]
    fn a_crashing_part_is_found_among_sound_ones(
        seed in any::<u64>(), rate in 0.01..0.3_f64, crash_rate in 0.0..0.02_f64,
    ) {
        let mut simulation = Simulation::new(seed, 0.2);
        simulation.run(&part("bad"), 90, rate, crash_rate);
        if let Some(fifth) = simulation.bad_crashes.get(4) {
            let late = simulation.bad_arrivals.iter().filter(|at| **at > fifth + 4_000);
            prop_assert!(late.count() <= 3, "{} crashes", simulation.bad_crashes.len());
        }
        let rejected = simulation.share_of_sound_rejected();
        prop_assert!(rejected <= 0.1, "{rejected} of the sound requests rejected");
    }

    /// The users' rule on requests: few retries reach targets from four seconds after the third crash on,
    /// and sound requests go on, also those with the same parts.
    #[test]
    fn a_crashing_request_is_found_among_sound_ones(
        seed in any::<u64>(), rate in 0.01..0.3_f64, crash_rate in 0.0..0.02_f64,
    ) {
        let mut simulation = Simulation::new(seed, 0.2);
        simulation.run(&request("bad"), 90, rate, crash_rate);
        if let Some(third) = simulation.bad_crashes.get(2) {
            let late = simulation.bad_arrivals.iter().filter(|at| **at > third + 4_000);
            prop_assert!(late.count() <= 3, "{} crashes", simulation.bad_crashes.len());
        }
        let rejected = simulation.share_of_sound_rejected();
        prop_assert!(rejected <= 0.1, "{rejected} of the sound requests rejected");
    }

    /// Crashes of other causes, one every few seconds, blame almost nothing.
    #[test]
    fn random_crashes_blame_no_frequent_part(seed in any::<u64>(), crash_rate in 0.0..0.05_f64) {
        let mut simulation = Simulation::new(seed, 0.2);
        simulation.run(&part("bad"), 90, 0.0, crash_rate);
        let rejected = simulation.share_of_sound_rejected();
        prop_assert!(rejected <= 0.02, "{:?}: {rejected}", simulation.quarantined());
    }
}
