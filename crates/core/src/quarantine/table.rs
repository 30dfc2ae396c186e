//! The verdicts that a process knows.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::part::PartId;
use super::verdict::Verdict;

/// How long a part stays in quarantine. Afterwards a single crash brings it back.
pub const QUARANTINE_TTL: Duration = Duration::from_mins(15);
/// Most verdicts that are kept; those in quarantine go before others, and newer ones before older.
const MAX_VERDICTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Record {
    epoch: u32,
    /// When this process learned of the verdict.
    since: Timestamp,
}

/// The verdicts on parts of prompts; tables of several processes merge to the same content.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{PartId, QuarantineTable};
/// use kumquatkeel_types::Timestamp;
///
/// let (part, now) = (PartId::of("5c1e07a2"), Timestamp::ZERO);
/// let mut agent = QuarantineTable::default();
/// agent.convict(part.clone(), now);
/// let mut entry = QuarantineTable::default();
/// entry.merge(agent.verdicts(), now);
/// assert!(entry.find(&[part], now).is_some());
/// ```
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    records: BTreeMap<PartId, Record>,
}

impl QuarantineTable {
    /// Puts a part in quarantine; returns the verdict if that is new.
    pub fn convict(&mut self, part: PartId, now: Timestamp) -> Option<Verdict> {
        self.decide(part, true, now)
    }

    /// Ends the quarantine of a part; returns the verdict if that is new.
    pub fn release(&mut self, part: PartId, now: Timestamp) -> Option<Verdict> {
        self.decide(part, false, now)
    }

    /// Takes over the verdicts that are newer than the known ones; returns those.
    pub fn merge(
        &mut self,
        verdicts: impl IntoIterator<Item = Verdict>,
        now: Timestamp,
    ) -> Vec<Verdict> {
        let mut newer = Vec::new();
        for verdict in verdicts {
            let known = self.records.get(&verdict.part).map_or(0, |r| r.epoch);
            if verdict.epoch > known {
                self.insert(verdict.clone(), now);
                newer.push(verdict);
            }
        }
        newer
    }

    /// Returns a part that is in quarantine, and for how much longer; `None` if none of `parts` is.
    pub fn find<'a>(&self, parts: &'a [PartId], now: Timestamp) -> Option<(&'a PartId, Duration)> {
        let quarantined = parts.iter().filter_map(|part| {
            let record = self.records.get(part)?;
            let left = QUARANTINE_TTL.saturating_sub(now.since(record.since));
            (record.epoch % 2 == 1).then_some((part, left))
        });
        quarantined.max_by_key(|(_, left)| *left)
    }

    /// Returns whether a part has ever been in quarantine.
    pub fn was_convicted(&self, part: &PartId) -> bool {
        self.records.contains_key(part)
    }

    /// Ends quarantines that have lasted for [`QUARANTINE_TTL`]; returns the new verdicts.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Verdict> {
        let over = |r: &Record| r.epoch % 2 == 1 && now.since(r.since) >= QUARANTINE_TTL;
        let over = self.records.iter().filter(|(_, r)| over(r));
        let parts: Vec<PartId> = over.map(|(part, _)| part.clone()).collect();
        let released = parts.into_iter().filter_map(|part| self.release(part, now));
        released.collect()
    }

    /// Returns all verdicts, for other processes.
    pub fn verdicts(&self) -> impl Iterator<Item = Verdict> + '_ {
        let verdict = |(part, record): (&PartId, &Record)| Verdict {
            part: part.clone(),
            epoch: record.epoch,
        };
        self.records.iter().map(verdict)
    }

    fn decide(&mut self, part: PartId, quarantine: bool, now: Timestamp) -> Option<Verdict> {
        let epoch = self.records.get(&part).map_or(0, |r| r.epoch);
        if (epoch % 2 == 1) == quarantine {
            return None;
        }
        let epoch = epoch + 1;
        let verdict = Verdict { part, epoch };
        self.insert(verdict.clone(), now);
        Some(verdict)
    }

    fn insert(&mut self, Verdict { part, epoch }: Verdict, now: Timestamp) {
        self.records.insert(part, Record { epoch, since: now });
        if self.records.len() > MAX_VERDICTS {
            let least = self
                .records
                .iter()
                .min_by_key(|(_, r)| (r.epoch % 2, r.since));
            if let Some(part) = least.map(|(part, _)| part.clone()) {
                self.records.remove(&part);
            }
        }
    }
}
