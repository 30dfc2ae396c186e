//! The verdicts that a process knows.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::suspect::Suspect;
use super::verdict::Verdict;

/// How long a suspect stays in quarantine. Afterwards a single crash brings it back.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(15);
/// Most verdicts that are kept; those in quarantine go before others, and newer ones before older.
const MAX_VERDICTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Record {
    epoch: u32,
    /// When this process learned of the verdict.
    since: Timestamp,
}

/// The verdicts on suspects; tables of several processes merge to the same content.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{Suspect, QuarantineTable};
/// use kumquatkeel_types::Timestamp;
///
/// let (suspect, now) = (Suspect::part("5c1e07a2"), Timestamp::ZERO);
/// let mut agent = QuarantineTable::default();
/// agent.convict(suspect.clone(), now);
/// let mut entry = QuarantineTable::default();
/// entry.merge(agent.verdicts(), now);
/// assert!(entry.find(&[suspect], now).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    records: BTreeMap<Suspect, Record>,
}

impl QuarantineTable {
    /// Puts a suspect in quarantine; returns the verdict if that is new.
    pub fn convict(&mut self, suspect: Suspect, now: Timestamp) -> Option<Verdict> {
        self.decide(suspect, true, now)
    }

    /// Ends the quarantine of a suspect; returns the verdict if that is new.
    pub fn release(&mut self, suspect: Suspect, now: Timestamp) -> Option<Verdict> {
        self.decide(suspect, false, now)
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

    /// Returns a suspect that is in quarantine, and for how much longer; `None` if none of `suspects` is.
    pub fn find<'a>(
        &self,
        suspects: &'a [Suspect],
        now: Timestamp,
    ) -> Option<(&'a Suspect, Duration)> {
        let quarantined = suspects.iter().filter_map(|suspect| {
            let record = self.records.get(suspect)?;
            let left = QUARANTINE_TTL.saturating_sub(now.since(record.since));
            (record.epoch % 2 == 1).then_some((suspect, left))
        });
        quarantined.max_by_key(|(_, left)| *left)
    }

    /// Returns whether there is a verdict on a request.
    pub fn has_requests(&self) -> bool {
        self.records.keys().any(Suspect::is_request)
    }

    /// Returns whether a suspect has ever been in quarantine.
    pub fn was_convicted(&self, suspect: &Suspect) -> bool {
        self.records.contains_key(suspect)
    }

    /// Ends quarantines that have lasted for [`QUARANTINE_TTL`]; returns the new verdicts.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Verdict> {
        let over = |r: &Record| r.epoch % 2 == 1 && now.since(r.since) >= QUARANTINE_TTL;
        let over = self.records.iter().filter(|(_, r)| over(r));
        let suspects: Vec<Suspect> = over.map(|(suspect, _)| suspect.clone()).collect();
        let released = suspects
            .into_iter()
            .filter_map(|suspect| self.release(suspect, now));
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

    fn decide(&mut self, suspect: Suspect, quarantine: bool, now: Timestamp) -> Option<Verdict> {
        let epoch = self.records.get(&suspect).map_or(0, |r| r.epoch);
        if (epoch % 2 == 1) == quarantine {
            return None;
        }
        let epoch = epoch + 1;
        let verdict = Verdict { suspect, epoch };
        self.insert(verdict.clone(), now);
        Some(verdict)
    }

    fn insert(&mut self, Verdict { suspect, epoch }: Verdict, now: Timestamp) {
        self.records.insert(suspect, Record { epoch, since: now });
        if self.records.len() > MAX_VERDICTS {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.epoch % 2, r.since));
            if let Some(suspect) = least.map(|(suspect, _)| suspect.clone()) {
                self.records.remove(&suspect);
            }
        }
    }
}
