//! The limits that targets name, as one process knows them.

use std::collections::HashMap;

use kumquatkeel_types::Timestamp;

use super::request_rate::RequestRate;
use super::statement_table::UNLISTED_TTL;
use super::table::TargetTable;
use super::target::TargetId;
use super::target_notice::StatedLimit;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Record {
    rate: Option<RequestRate>,
    /// When the target stated it.
    stated: Timestamp,
    /// Start of the incarnation that stated it; `None` until the list shows one.
    born: Option<u64>,
}

/// The limits that targets name, each with the time of the statement; of two statements on a target
/// the newer holds.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::serving::{LimitTable, RequestRate, StatedLimit, TargetId};
/// use kumquatkeel_types::Timestamp;
///
/// let (target, now) = (TargetId::from("t1"), Timestamp::from_millis(5_000));
/// let rate = RequestRate::try_from(2.0).unwrap();
/// let mut table = LimitTable::default();
/// assert!(table.record(&target, StatedLimit::Rate(rate), now));
/// // Another process heard earlier that the target names no limit.
/// assert!(!table.merge(&target, None, Timestamp::from_millis(4_000)));
/// assert_eq!(table.limit(&target), Some(rate));
/// ```
#[derive(Debug, Clone, Default)]
pub struct LimitTable {
    records: HashMap<TargetId, Record>,
}

impl LimitTable {
    /// Records what an answer of a target states; returns whether the limit changed.
    pub fn record(&mut self, target: &TargetId, stated: StatedLimit, now: Timestamp) -> bool {
        match stated {
            // Most targets never name a limit, and need no record.
            StatedLimit::Absent if !self.records.contains_key(target) => false,
            StatedLimit::Absent => self.merge(target, None, now),
            StatedLimit::Rate(rate) => self.merge(target, Some(rate), now),
            StatedLimit::Unreadable => false,
        }
    }

    /// Takes over what a target stated to another process; returns whether the limit changed.
    pub fn merge(
        &mut self,
        target: &TargetId,
        rate: Option<RequestRate>,
        stated: Timestamp,
    ) -> bool {
        let known = self.records.get(target);
        let born = known.and_then(|known| known.born);
        if known.is_some_and(|known| stated < known.stated) {
            return false;
        }
        let changed = known.and_then(|known| known.rate) != rate;
        let record = Record { rate, stated, born };
        self.records.insert(target.clone(), record);
        changed
    }

    /// Returns the limit that a target names.
    pub fn limit(&self, target: &TargetId) -> Option<RequestRate> {
        self.records.get(target)?.rate
    }

    /// Returns what a target last stated, and when; `None` if it has never named a limit.
    pub fn statement(&self, target: &TargetId) -> Option<(Option<RequestRate>, Timestamp)> {
        let record = self.records.get(target)?;
        Some((record.rate, record.stated))
    }

    /// Ends the limits of incarnations that the list shows to be replaced, and drops targets that are not
    /// listed and have stated nothing for ten minutes; returns those whose limit ended.
    pub fn follow(&mut self, listed: &TargetTable, now: Timestamp) -> Vec<TargetId> {
        let mut ended = Vec::new();
        self.records.retain(|id, record| {
            let Some(born) = listed.get(id).map(|target| target.born) else {
                return now.since(record.stated) < UNLISTED_TTL;
            };
            if *record.born.get_or_insert(born) < born {
                // A statement of the former incarnation may still arrive from another process.
                *record = Record {
                    rate: None,
                    stated: now,
                    born: Some(born),
                };
                ended.push(id.clone());
            }
            true
        });
        ended
    }
}
