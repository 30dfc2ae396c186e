//! Judges suspects by the crashes that entries report, and spreads the verdicts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_core::quarantine::{CrashEvidence, QuarantineTable, Ruling, Suspect, Verdict};
use kumquatkeel_types::Timestamp;
use tokio::sync::watch;

use super::daemon::Agent;
use crate::gossip::{CrashReport, QuarantineNotice, send_notice};

/// Interval between two notices to entries while there are suspects or verdicts.
const NOTICE_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval between two notices that follow from reports.
const MIN_NOTICE_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the last report of a crash it is judged and the suspects are sent.
const SUSPECT_TIME: Duration = Duration::from_secs(10);
/// How long an entry that has reported a crash is sent notices without a heartbeat of its own.
const REPORTER_TTL: Duration = Duration::from_secs(10);

/// What an agent knows of requests that crash targets.
#[derive(Debug, Default)]
pub(super) struct QuarantineState {
    evidence: CrashEvidence,
    verdicts: QuarantineTable,
    /// All verdicts, for the store.
    pub(super) known: watch::Sender<Vec<Verdict>>,
    last_report: Option<Timestamp>,
    last_notice: Timestamp,
    /// The entries that have reported a crash, which may not send heartbeats to this agent while its
    /// target is down.
    reporters: Vec<(SocketAddr, Timestamp)>,
}

impl QuarantineState {
    /// Returns whether a crash was reported recently.
    fn is_recent(&self, now: Timestamp) -> bool {
        (self.last_report).is_some_and(|at| now.since(at) < SUSPECT_TIME)
    }
}

impl Agent {
    /// Records a crash that an entry reports.
    pub(super) fn handle_crash(&mut self, from: SocketAddr, report: CrashReport) {
        let now = self.clock.now();
        let state = &mut self.quarantine;
        state.last_report = Some(now);
        state
            .reporters
            .retain(|(entry, at)| *entry != from && now.since(*at) < REPORTER_TTL);
        state.reporters.push((from, now));
        log::info!(
            target_id:% = report.target, entry:% = from, suspects:serde = report.suspects;
            "crash reported"
        );
        let target = report.target.as_str();
        state.evidence.record_crash(target, report.suspects, now);
        if now.since(state.last_notice) >= MIN_NOTICE_INTERVAL {
            self.send_notices();
        }
    }

    /// Records that an entry has seen requests with suspects complete.
    pub(super) fn handle_sound(&mut self, suspects: Vec<Suspect>) {
        let now = self.clock.now();
        let state = &mut self.quarantine;
        let released = suspects
            .iter()
            .filter_map(|p| state.verdicts.release(p.clone(), now));
        let released: Vec<Verdict> = released.collect();
        state.evidence.record_sound(suspects, now);
        self.announce(&released);
    }

    /// Takes over the verdicts that an entry knows.
    pub(super) fn handle_notice(&mut self, notice: QuarantineNotice) {
        self.merge_verdicts(notice.verdicts);
    }

    /// Takes over verdicts that others have reached.
    pub(super) fn merge_verdicts(&mut self, verdicts: Vec<Verdict>) {
        let now = self.clock.now();
        let state = &mut self.quarantine;
        let newer = state.verdicts.merge(verdicts, now);
        // The crashes that this agent knows would convict the suspect again.
        let sound = newer.iter().filter(|v| v.ruling() == Ruling::Sound);
        let sound = sound.map(|verdict| verdict.suspect.clone());
        state.evidence.record_sound(sound, now);
        self.announce(&newer);
    }

    /// Judges the reported crashes, and sends notices that are due.
    pub(super) fn judge_crashes(&mut self) {
        let now = self.clock.now();
        let judges = self.quarantine.is_recent(now);
        let QuarantineState {
            evidence, verdicts, ..
        } = &mut self.quarantine;
        let culprits = if judges {
            evidence.culprits(|suspect| verdicts.is_on_probation(suspect), now)
        } else {
            Vec::new()
        };
        let convicted = culprits
            .into_iter()
            .filter_map(|suspect| verdicts.convict(suspect, now));
        let mut decided: Vec<Verdict> = convicted.collect();
        decided.extend(verdicts.expire(now));
        self.announce(&decided);
        if now.since(self.quarantine.last_notice) >= NOTICE_INTERVAL {
            self.send_notices();
        }
    }

    /// Logs and counts new verdicts, and sends them at once.
    fn announce(&mut self, verdicts: &[Verdict]) {
        if verdicts.is_empty() {
            return;
        }
        let known = self.quarantine.verdicts.verdicts().collect();
        self.quarantine.known.send_replace(known);
        for verdict in verdicts {
            let quarantined = verdict.is_quarantined();
            self.instruments.record_verdict(quarantined);
            log::warn!(suspect:% = verdict.suspect, quarantined; "quarantine verdict");
        }
        self.send_notices();
    }

    /// Sends the verdicts to an entry that has just started, which would pass on what others reject.
    pub(super) fn send_verdicts(&self, entry: SocketAddr) {
        let verdicts: Vec<Verdict> = self.quarantine.verdicts.verdicts().collect();
        if !verdicts.is_empty() {
            send_notice(&self.gossip, entry, &[], &verdicts);
        }
    }

    /// Sends the suspects and verdicts to all known entries, if there are any.
    fn send_notices(&mut self) {
        let now = self.clock.now();
        let state = &mut self.quarantine;
        state.last_notice = now;
        let suspects = if state.is_recent(now) {
            state.evidence.suspects(now)
        } else {
            Vec::new()
        };
        let verdicts: Vec<Verdict> = state.verdicts.verdicts().collect();
        if suspects.is_empty() && verdicts.is_empty() {
            return;
        }
        let reporters = state.reporters.iter().map(|(entry, _)| *entry);
        let entries: BTreeSet<SocketAddr> = reporters.chain(self.peers.entries()).collect();
        for entry in entries {
            send_notice(&self.gossip, entry, &suspects, &verdicts);
        }
    }
}
