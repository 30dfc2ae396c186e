//! The verdicts that a process knows.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::check::{QuarantineCheck, Trial, TrialClaim};
use super::suspect::Suspect;
use super::verdict::{Ruling, Verdict};

/// How long a suspect stays in quarantine. Afterwards a single crash brings it back.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(15);
/// Most verdicts that are kept; those in quarantine go before others, and newer ones before older.
const MAX_VERDICTS: usize = 256;
/// When the trials of a verdict may begin, counted from the verdict.
const TRIAL_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(15),
    Duration::from_mins(2),
];
/// Pause between two claims of one process, which outlasts the call to the store.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// How long a trial is expected to take. Until then callers are told to come back soon.
const TRIAL_TIME: Duration = Duration::from_secs(5);
/// When callers may come back during a trial.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Record {
    epoch: u32,
    /// When this process learned of the verdict.
    since: Timestamp,
    /// The trials that this process knows to be granted.
    trials: u8,
    /// When this process last learned of a trial.
    last_trial: Option<Timestamp>,
    /// No claim is made before this time.
    next_claim: Timestamp,
    /// The trials that were granted to this process and not made.
    unused: u8,
}

impl Record {
    const fn new(epoch: u32, since: Timestamp) -> Self {
        Self {
            epoch,
            since,
            trials: 0,
            last_trial: None,
            next_claim: since,
            unused: 0,
        }
    }

    const fn ruling(&self) -> Ruling {
        Ruling::of_epoch(self.epoch)
    }

    const fn is_quarantined(&self) -> bool {
        matches!(self.ruling(), Ruling::Quarantined)
    }

    /// Returns when the next trial may be claimed; `None` if none is left.
    fn trial_due(&self) -> Option<Timestamp> {
        let delay = TRIAL_DELAYS.get(usize::from(self.trials))?;
        Some(self.since.after(*delay).max(self.next_claim))
    }

    /// Returns when a caller may come back.
    fn retry_after(&self, now: Timestamp) -> Duration {
        let is_tried = |at: Timestamp| now.since(at) < TRIAL_TIME;
        if self.last_trial.is_some_and(is_tried) {
            return TRIAL_RETRY_AFTER;
        }
        let left = self.left(now);
        let due = self.trial_due().map(|due| due.since(now));
        due.map_or(left, |due| {
            due.clamp(TRIAL_RETRY_AFTER, left.max(TRIAL_RETRY_AFTER))
        })
    }

    fn left(&self, now: Timestamp) -> Duration {
        QUARANTINE_TTL.saturating_sub(now.since(self.since))
    }
}

/// The verdicts on suspects; tables of several processes merge to the same content.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{QuarantineCheck, QuarantineTable, Suspect};
/// use kumquatkeel_types::Timestamp;
///
/// let (suspect, now) = (Suspect::part("5c1e07a2"), Timestamp::ZERO);
/// let mut agent = QuarantineTable::default();
/// agent.convict(suspect.clone(), now);
/// let mut entry = QuarantineTable::default();
/// entry.merge(agent.verdicts(), now);
/// assert!(matches!(entry.check(&[suspect], now), QuarantineCheck::Rejected(_)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    records: BTreeMap<Suspect, Record>,
}

impl QuarantineTable {
    /// Puts a suspect in quarantine; returns the verdict if that is new.
    pub fn convict(&mut self, suspect: Suspect, now: Timestamp) -> Option<Verdict> {
        self.decide(suspect, Ruling::Quarantined, now)
    }

    /// Records that a request with a suspect has completed, which ends its quarantine or probation; returns
    /// the verdict if that is new.
    pub fn release(&mut self, suspect: Suspect, now: Timestamp) -> Option<Verdict> {
        self.decide(suspect, Ruling::Sound, now)
    }

    /// Takes over the verdicts that are newer than the known ones; returns those.
    pub fn merge(
        &mut self,
        verdicts: impl IntoIterator<Item = Verdict>,
        now: Timestamp,
    ) -> Vec<Verdict> {
        let mut newer = Vec::new();
        for verdict in verdicts {
            let known = self.records.get(&verdict.suspect).map_or(0, |r| r.epoch);
            if verdict.epoch > known {
                self.insert(verdict.clone(), now);
                newer.push(verdict);
            }
        }
        newer
    }

    /// Decides whether a request with these suspects may be sent.
    ///
    /// Suspects that were at the same crashes are convicted together, the sound ones with the culprit. A
    /// request that has some of the quarantined parts and not all of them tells them apart, so a few of
    /// these are let through as trials.
    pub fn check(&self, suspects: &[Suspect], now: Timestamp) -> QuarantineCheck {
        let known = |suspect| Some((suspect, self.quarantined(suspect)?));
        let found: Vec<(&Suspect, &Record)> = suspects.iter().filter_map(known).collect();
        let Some(longest) = found.iter().map(|(_, r)| r.left(now)).max() else {
            return QuarantineCheck::Clear;
        };
        let is_part = |suspect: &Suspect| !suspect.is_request();
        let lacks_one = (self.records.iter())
            .any(|(s, r)| is_part(s) && r.is_quarantined() && !suspects.contains(s));
        if !lacks_one || !found.iter().all(|(suspect, _)| is_part(suspect)) {
            return QuarantineCheck::Rejected(longest);
        }
        let is_due = |r: &Record| r.unused > 0 || r.trial_due().is_some_and(|due| due <= now);
        let not_due = found.iter().filter(|(_, r)| !is_due(r));
        if let Some(retry_after) = not_due.map(|(_, r)| r.retry_after(now)).max() {
            return QuarantineCheck::Rejected(retry_after);
        }
        let trial = |(suspect, record): (&Suspect, &Record)| Trial {
            suspect: suspect.clone(),
            epoch: record.epoch,
            number: record.trials,
        };
        QuarantineCheck::Trial(found.into_iter().map(trial).collect())
    }

    /// Returns whether trials cover all of the suspects that are in quarantine.
    pub fn are_granted(&self, suspects: &[Suspect], trials: &[Trial]) -> bool {
        let is_granted = |suspect: &Suspect, record: &Record| {
            (trials.iter()).any(|t| t.suspect == *suspect && t.epoch == record.epoch)
        };
        let mut quarantined = suspects
            .iter()
            .filter_map(|s| Some((s, self.quarantined(s)?)));
        quarantined.all(|(suspect, record)| is_granted(suspect, record))
    }

    /// Records that a trial is being claimed, so that no other claim is made meanwhile.
    pub fn begin_claim(&mut self, trial: &Trial, now: Timestamp) {
        if let Some(record) = self.records.get_mut(&trial.suspect) {
            record.next_claim = now.after(CLAIM_INTERVAL);
        }
    }

    /// Takes a trial that this process was granted and has not made; returns whether there was one.
    pub fn take_unused(&mut self, trial: &Trial) -> bool {
        let record = self.record_of(trial);
        let Some(record) = record.filter(|record| record.unused > 0) else {
            return false;
        };
        record.unused -= 1;
        true
    }

    /// Keeps a granted trial whose request has not run for another request.
    pub fn return_unused(&mut self, trial: &Trial) {
        if let Some(record) = self.record_of(trial) {
            record.unused += 1;
        }
    }

    /// Records what became of a claim.
    pub fn end_claim(&mut self, trial: &Trial, claim: TrialClaim, now: Timestamp) {
        let Some(record) = self.record_of(trial) else {
            return;
        };
        let trials = match claim {
            TrialClaim::Granted => trial.number + 1,
            TrialClaim::Used(count) => count,
            TrialClaim::OtherEpoch => return,
        };
        if trials > record.trials {
            record.trials = trials;
            record.last_trial = Some(now);
        }
    }

    /// Returns the record of the verdict that a trial is about; `None` if another one holds now.
    fn record_of(&mut self, trial: &Trial) -> Option<&mut Record> {
        let record = self.records.get_mut(&trial.suspect);
        record.filter(|record| record.epoch == trial.epoch)
    }

    fn quarantined(&self, suspect: &Suspect) -> Option<&Record> {
        self.records.get(suspect).filter(|r| r.is_quarantined())
    }

    /// Returns whether there is a verdict on a request.
    pub fn has_requests(&self) -> bool {
        self.records.keys().any(Suspect::is_request)
    }

    /// Returns whether there is a verdict on a suspect.
    pub fn contains(&self, suspect: &Suspect) -> bool {
        self.records.contains_key(suspect)
    }

    /// Returns whether a single crash convicts a suspect: it is in quarantine, or was until that expired.
    pub fn is_on_probation(&self, suspect: &Suspect) -> bool {
        let record = self.records.get(suspect);
        record.is_some_and(|record| record.ruling() != Ruling::Sound)
    }

    /// Ends quarantines that have lasted for [`QUARANTINE_TTL`]; returns the new verdicts.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Verdict> {
        let over = |r: &Record| r.is_quarantined() && now.since(r.since) >= QUARANTINE_TTL;
        let over = self.records.iter().filter(|(_, r)| over(r));
        let suspects: Vec<Suspect> = over.map(|(suspect, _)| suspect.clone()).collect();
        let released = suspects
            .into_iter()
            .filter_map(|suspect| self.decide(suspect, Ruling::Expired, now));
        released.collect()
    }

    /// Returns all verdicts, for other processes.
    pub fn verdicts(&self) -> impl Iterator<Item = Verdict> + '_ {
        let verdict = |(suspect, record): (&Suspect, &Record)| Verdict {
            suspect: suspect.clone(),
            epoch: record.epoch,
        };
        self.records.iter().map(verdict)
    }

    fn decide(&mut self, suspect: Suspect, ruling: Ruling, now: Timestamp) -> Option<Verdict> {
        let epoch = self.records.get(&suspect).map_or(0, |r| r.epoch);
        let known = Verdict { suspect, epoch };
        if known.ruling() == ruling {
            return None;
        }
        let verdict = known.revise(ruling);
        self.insert(verdict.clone(), now);
        Some(verdict)
    }

    fn insert(&mut self, Verdict { suspect, epoch }: Verdict, now: Timestamp) {
        self.records.insert(suspect, Record::new(epoch, now));
        if self.records.len() > MAX_VERDICTS {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.is_quarantined(), r.since));
            if let Some(suspect) = least.map(|(suspect, _)| suspect.clone()) {
                self.records.remove(&suspect);
            }
        }
    }
}
