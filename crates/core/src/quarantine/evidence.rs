//! Relates the crashes of targets to the parts of the prompts that they ran.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::part::PartId;

/// Crashes at different times after which a part without a completed request is blamed.
pub const CONVICTING_CRASHES: usize = 3;
/// Time from the first crash until a part is blamed, in which every entry can object that it has
/// seen a request with the part complete.
pub const OBJECTION_TIME: Duration = Duration::from_millis(600);
/// Crashes within this time count as one: a power loss ends many targets at once.
const COMMON_CAUSE: Duration = Duration::from_millis(250);
/// How long a crash counts, and how long a completed request is remembered.
const EVIDENCE_TTL: Duration = Duration::from_mins(5);
/// Most crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// Most parts that are kept for one crash.
const MAX_PARTS: usize = 1_024;
/// Most parts that are remembered as sound; the oldest are dropped first.
const MAX_SOUND: usize = 16_384;

#[derive(Debug, Clone)]
struct Crash {
    at: Timestamp,
    /// Crashes with the same number may have a common cause.
    group: u64,
    parts: BTreeSet<PartId>,
}

/// What is known of crashes and of parts that did not cause them.
///
/// A part is blamed if requests with it were at [`CONVICTING_CRASHES`] crashes that no other blamed
/// part explains, and none has completed. A part that requests often have is safe from that, however
/// many crashes it is at, as its other requests complete.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{CrashEvidence, PartId};
/// use kumquatkeel_types::Timestamp;
///
/// let (shared, bad) = (PartId::of("shared"), PartId::of("bad"));
/// let mut evidence = CrashEvidence::default();
/// evidence.record_sound([shared.clone()], Timestamp::ZERO);
/// for second in 1..=3 {
///     let target = format!("t{second}");
///     let parts = [shared.clone(), bad.clone()];
///     evidence.record_crash(&target, parts, Timestamp::from_millis(second * 1_000));
/// }
/// let now = Timestamp::from_millis(3_000);
/// assert_eq!(evidence.culprits(|_| false, now), [bad]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<Arc<str>, Crash>,
    /// When a request with the part last completed.
    sound: HashMap<PartId, Timestamp>,
    /// The time and number of the last group of crashes.
    last_group: Option<(Timestamp, u64)>,
}

impl CrashEvidence {
    /// Records that requests with these parts were at a target when it crashed. Several reports of
    /// the same incarnation add up to one crash.
    pub fn record_crash(
        &mut self,
        target: &str,
        parts: impl IntoIterator<Item = PartId>,
        now: Timestamp,
    ) {
        self.expire(now);
        if !self.crashes.contains_key(target) {
            let group = match self.last_group {
                Some((at, group)) if now.since(at) < COMMON_CAUSE => group,
                last => {
                    let group = last.map_or(0, |(_, group)| group) + 1;
                    self.last_group = Some((now, group));
                    group
                }
            };
            let crash = Crash {
                at: now,
                group,
                parts: BTreeSet::new(),
            };
            self.crashes.insert(Arc::from(target), crash);
        }
        if let Some(crash) = self.crashes.get_mut(target) {
            let room = MAX_PARTS.saturating_sub(crash.parts.len());
            crash.parts.extend(parts.into_iter().take(room));
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(target) = oldest.map(|(target, _)| target.clone()) {
                self.crashes.remove(&target);
            }
        }
    }

    /// Records that a request with these parts has completed.
    pub fn record_sound(&mut self, parts: impl IntoIterator<Item = PartId>, now: Timestamp) {
        for part in parts {
            self.sound.insert(part, now);
        }
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Timestamp> = self.sound.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.sound.retain(|_, at| *at >= median);
        }
    }

    /// Returns whether a request with the part has completed recently.
    pub fn is_sound(&self, part: &PartId, now: Timestamp) -> bool {
        let at = self.sound.get(part);
        at.is_some_and(|at| now.since(*at) < EVIDENCE_TTL)
    }

    /// Returns the parts that were at a crash and are not known to be sound, those at the most
    /// crashes first.
    pub fn suspects(&self, now: Timestamp) -> Vec<PartId> {
        let groups = self.groups(&BTreeSet::new(), now);
        let mut suspects: Vec<(usize, PartId)> = groups
            .iter()
            .map(|(part, groups)| (groups.len(), part.clone()))
            .collect();
        suspects.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        suspects.into_iter().map(|(_, part)| part).collect()
    }

    /// Returns the parts that are to blame for crashes.
    ///
    /// The part at the most crashes comes first: what it explains counts against no other part.
    ///
    /// `on_probation` returns whether a part was in quarantine before; one crash convicts it again.
    pub fn culprits(&self, on_probation: impl Fn(&PartId) -> bool, now: Timestamp) -> Vec<PartId> {
        let ripe = |at: Timestamp| now.since(at) >= OBJECTION_TIME;
        let mut culprits = BTreeSet::new();
        loop {
            let groups = self.groups(&culprits, now);
            let most = groups.values().map(BTreeSet::len).max().unwrap_or_default();
            let is_culprit = |part: &PartId, count: usize| {
                (count == most && count >= CONVICTING_CRASHES) || on_probation(part)
            };
            let found = groups.iter().filter(|(part, groups)| {
                !culprits.contains(*part)
                    && is_culprit(part, groups.len())
                    && self.first_crash(part).is_some_and(ripe)
            });
            let found: Vec<PartId> = found.map(|(part, _)| part.clone()).collect();
            if found.is_empty() {
                return culprits.into_iter().collect();
            }
            culprits.extend(found);
        }
    }

    /// Returns the groups of crashes at which each part was that is not known to be sound, without
    /// the crashes that `explained` parts were at.
    fn groups(
        &self,
        explained: &BTreeSet<PartId>,
        now: Timestamp,
    ) -> BTreeMap<PartId, BTreeSet<u64>> {
        let mut groups = BTreeMap::<PartId, BTreeSet<u64>>::new();
        let recent = self
            .crashes
            .values()
            .filter(|c| now.since(c.at) < EVIDENCE_TTL);
        for crash in recent.filter(|c| c.parts.is_disjoint(explained)) {
            for part in crash.parts.iter().filter(|p| !self.is_sound(p, now)) {
                groups.entry(part.clone()).or_default().insert(crash.group);
            }
        }
        groups
    }

    fn first_crash(&self, part: &PartId) -> Option<Timestamp> {
        let crashes = self.crashes.values().filter(|c| c.parts.contains(part));
        crashes.map(|c| c.at).min()
    }

    fn expire(&mut self, now: Timestamp) {
        self.crashes.retain(|_, c| now.since(c.at) < EVIDENCE_TTL);
        self.sound.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
    }
}
