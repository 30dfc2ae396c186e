//! Relates the crashes of targets to the suspects of the prompts that they ran.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::Timestamp;

use super::suspect::Suspect;

/// Crashes at different times after which a suspect without a completed request is blamed.
pub const CONVICTING_CRASHES: usize = 3;
/// Time from the first crash until a suspect is blamed, in which every entry can object that it has
/// seen a request with the suspect complete.
pub const OBJECTION_TIME: Duration = Duration::from_millis(600);
/// Crashes within this time count as one: a power loss ends many targets at once.
const COMMON_CAUSE: Duration = Duration::from_millis(250);
/// How long a crash counts, and how long a completed request is remembered.
const EVIDENCE_TTL: Duration = Duration::from_mins(5);
/// Most crashes that are kept; the oldest are dropped first.
const MAX_CRASHES: usize = 256;
/// Most suspects that are kept for one crash.
const MAX_PARTS: usize = 1_024;
/// Most suspects that are remembered as sound; the oldest are dropped first.
const MAX_SOUND: usize = 16_384;

#[derive(Debug, Clone)]
struct Crash {
    at: Timestamp,
    /// Crashes with the same number may have a common cause.
    group: u64,
    suspects: BTreeSet<Suspect>,
}

/// What is known of crashes and of suspects that did not cause them.
///
/// A suspect is blamed if requests with it were at [`CONVICTING_CRASHES`] crashes that no other blamed
/// suspect explains, and none has completed. A suspect that requests often have is safe from that, however
/// many crashes it is at, as its other requests complete.
///
/// # Examples
///
/// ```
/// use kumquatkeel_core::quarantine::{CrashEvidence, Suspect};
/// use kumquatkeel_types::Timestamp;
///
/// let (shared, bad) = (Suspect::part("shared"), Suspect::part("bad"));
/// let mut evidence = CrashEvidence::default();
/// evidence.record_sound([shared.clone()], Timestamp::ZERO);
/// for second in 1..=3 {
///     let target = format!("t{second}");
///     let suspects = [shared.clone(), bad.clone()];
///     evidence.record_crash(&target, suspects, Timestamp::from_millis(second * 1_000));
/// }
/// let now = Timestamp::from_millis(3_000);
/// assert_eq!(evidence.culprits(|_| false, now), [bad]);
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    crashes: BTreeMap<Arc<str>, Crash>,
    /// When a request with the suspect last completed.
    sound: HashMap<Suspect, Timestamp>,
    /// The time and number of the last group of crashes.
    last_group: Option<(Timestamp, u64)>,
}

impl CrashEvidence {
    /// Records that requests with these suspects were at a target when it crashed. Several reports of
    /// the same incarnation add up to one crash.
    pub fn record_crash(
        &mut self,
        target: &str,
        suspects: impl IntoIterator<Item = Suspect>,
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
                suspects: BTreeSet::new(),
            };
            self.crashes.insert(Arc::from(target), crash);
        }
        if let Some(crash) = self.crashes.get_mut(target) {
            let room = MAX_PARTS.saturating_sub(crash.suspects.len());
            crash.suspects.extend(suspects.into_iter().take(room));
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
            if let Some(target) = oldest.map(|(target, _)| target.clone()) {
                self.crashes.remove(&target);
            }
        }
    }

    /// Records that a request with these suspects has completed.
    pub fn record_sound(&mut self, suspects: impl IntoIterator<Item = Suspect>, now: Timestamp) {
        for suspect in suspects {
            self.sound.insert(suspect, now);
        }
        if self.sound.len() > MAX_SOUND {
            let mut times: Vec<Timestamp> = self.sound.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.sound.retain(|_, at| *at >= median);
        }
    }

    /// Returns whether a request with the suspect has completed recently.
    pub fn is_sound(&self, suspect: &Suspect, now: Timestamp) -> bool {
        let at = self.sound.get(suspect);
        at.is_some_and(|at| now.since(*at) < EVIDENCE_TTL)
    }

    /// Returns the suspects that were at a crash and are not known to be sound, those at the most
    /// crashes first.
    pub fn suspects(&self, now: Timestamp) -> Vec<Suspect> {
        let groups = self.groups(&BTreeSet::new(), now);
        let mut suspects: Vec<(usize, Suspect)> = groups
            .iter()
            .map(|(suspect, groups)| (groups.len(), suspect.clone()))
            .collect();
        suspects.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        suspects.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Returns the suspects that are to blame for crashes.
    ///
    /// The suspect at the most crashes comes first: what it explains counts against no other suspect.
    ///
    /// `on_probation` returns whether a suspect was in quarantine before; one crash convicts it again.
    pub fn culprits(
        &self,
        on_probation: impl Fn(&Suspect) -> bool,
        now: Timestamp,
    ) -> Vec<Suspect> {
        let ripe = |at: Timestamp| now.since(at) >= OBJECTION_TIME;
        let mut culprits = BTreeSet::new();
        loop {
            let groups = self.groups(&culprits, now);
            let most = groups.values().map(BTreeSet::len).max().unwrap_or_default();
            let is_culprit = |suspect: &Suspect, count: usize| {
                (count == most && count >= CONVICTING_CRASHES) || on_probation(suspect)
            };
            let found = groups.iter().filter(|(suspect, groups)| {
                !culprits.contains(*suspect)
                    && is_culprit(suspect, groups.len())
                    && self.first_crash(suspect).is_some_and(ripe)
            });
            let found: Vec<Suspect> = found.map(|(suspect, _)| suspect.clone()).collect();
            if found.is_empty() {
                return culprits.into_iter().collect();
            }
            culprits.extend(found);
        }
    }

    /// Returns the groups of crashes at which each suspect was that is not known to be sound, without
    /// the crashes that `explained` suspects were at.
    fn groups(
        &self,
        explained: &BTreeSet<Suspect>,
        now: Timestamp,
    ) -> BTreeMap<Suspect, BTreeSet<u64>> {
        let mut groups = BTreeMap::<Suspect, BTreeSet<u64>>::new();
        let recent = self
            .crashes
            .values()
            .filter(|c| now.since(c.at) < EVIDENCE_TTL);
        for crash in recent.filter(|c| c.suspects.is_disjoint(explained)) {
            for suspect in crash.suspects.iter().filter(|p| !self.is_sound(p, now)) {
                groups
                    .entry(suspect.clone())
                    .or_default()
                    .insert(crash.group);
            }
        }
        groups
    }

    fn first_crash(&self, suspect: &Suspect) -> Option<Timestamp> {
        let crashes = self
            .crashes
            .values()
            .filter(|c| c.suspects.contains(suspect));
        crashes.map(|c| c.at).min()
    }

    fn expire(&mut self, now: Timestamp) {
        self.crashes.retain(|_, c| now.since(c.at) < EVIDENCE_TTL);
        self.sound.retain(|_, at| now.since(*at) < EVIDENCE_TTL);
    }
}
