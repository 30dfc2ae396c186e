//! Relates the crashes of targets to the requests that they ran and the parts of their prompts.

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
/// Crashes that a part must be at without any one request; else that request may be the cause.
const MIN_OTHER_CRASHES: usize = 2;
/// Most suspects that are kept for one crash.
const MAX_SUSPECTS: usize = 1_024;
/// Most suspects that are remembered as sound; the oldest are dropped first.
const MAX_SOUND: usize = 16_384;

/// How many crashes count for a suspect, by the number of their group.
type CrashGroups = BTreeMap<u64, usize>;

/// The crashes at which a suspect was and that nothing else explains.
#[derive(Debug, Default)]
struct Support {
    crashes: usize,
    groups: CrashGroups,
}

impl Support {
    fn counted(&self) -> usize {
        self.groups.values().sum()
    }

    /// Orders suspects: by the crashes that count, then by all.
    fn rank(&self) -> (usize, usize) {
        (self.counted(), self.crashes)
    }
}

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
/// suspect explains, and none has completed. A part that requests often have is safe from that, however
/// many crashes it is at, as its other requests complete. Crashes at the same time count once, unless a
/// request was at all of them.
///
/// A request that comes again takes the parts of its prompt from crash to crash, so a part is blamed only
/// if at least two of its crashes are without any one request.
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
            let room = MAX_SUSPECTS.saturating_sub(crash.suspects.len());
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
        let support = self.support(&BTreeSet::new(), now);
        let mut suspects: Vec<(usize, Suspect)> = support
            .iter()
            .map(|(suspect, support)| (support.counted(), suspect.clone()))
            .collect();
        suspects.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        suspects.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Returns the suspects that are to blame for crashes.
    ///
    /// The suspect at the most crashes comes first: what it explains counts against no other. Of suspects
    /// at as many crashes that count, it is the one at the most crashes in all.
    ///
    /// `on_probation` returns whether a suspect was in quarantine before; one crash convicts it again.
    pub fn culprits(
        &self,
        on_probation: impl Fn(&Suspect) -> bool,
        now: Timestamp,
    ) -> Vec<Suspect> {
        let ripe = |at: Timestamp| now.since(at) >= OBJECTION_TIME;
        let mut culprits = BTreeSet::new();
        let all = self.support(&culprits, now);
        loop {
            let support = self.support(&culprits, now);
            let is_convictable = |suspect: &Suspect, support: &Support| {
                support.counted() >= CONVICTING_CRASHES
                    && (suspect.is_request() || has_other_requests(&support.groups, &all))
            };
            let convictable = support.iter().filter(|(suspect, support)| {
                !culprits.contains(*suspect)
                    && (on_probation(suspect) || is_convictable(suspect, support))
                    && self.first_crash(suspect).is_some_and(ripe)
            });
            let ranked = convictable.map(|(suspect, support)| (suspect, support.rank()));
            let ranked: Vec<(&Suspect, (usize, usize))> = ranked.collect();
            let first = ranked.iter().map(|(_, rank)| *rank).max();
            let found: Vec<Suspect> = (ranked.into_iter())
                .filter(|(suspect, rank)| Some(*rank) == first || on_probation(suspect))
                .map(|(suspect, _)| suspect.clone())
                .collect();
            if found.is_empty() {
                return culprits.into_iter().collect();
            }
            culprits.extend(found);
        }
    }

    /// Returns the crashes at which each suspect was that is not known to be sound, without those that
    /// `explained` suspects account for.
    ///
    /// A blamed request accounts for no crash of a part: whether the part is to blame as well shows in
    /// the crashes of other requests.
    fn support(&self, explained: &BTreeSet<Suspect>, now: Timestamp) -> BTreeMap<Suspect, Support> {
        let recent = |crash: &&Crash| now.since(crash.at) < EVIDENCE_TTL;
        let mut sizes = CrashGroups::new();
        let mut support = BTreeMap::<Suspect, Support>::new();
        for crash in self.crashes.values().filter(recent) {
            *sizes.entry(crash.group).or_default() += 1;
            let mut explaining = crash.suspects.intersection(explained).peekable();
            let by_any = explaining.peek().is_some();
            let by_part = explaining.any(|suspect| !suspect.is_request());
            let open = |suspect: &&Suspect| {
                let accounted = if suspect.is_request() {
                    by_any
                } else {
                    by_part
                };
                !accounted && !self.is_sound(suspect, now)
            };
            for suspect in crash.suspects.iter().filter(open) {
                let support = support.entry(suspect.clone()).or_default();
                support.crashes += 1;
                *support.groups.entry(crash.group).or_default() += 1;
            }
        }
        for (suspect, support) in &mut support {
            for (group, count) in &mut support.groups {
                // A power loss also ends targets where the request is not.
                let at_all = sizes.get(group) == Some(count);
                if !suspect.is_request() || !at_all {
                    *count = 1;
                }
            }
        }
        support
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

/// Returns whether no single request accounts for the crashes of a part.
fn has_other_requests(part: &CrashGroups, support: &BTreeMap<Suspect, Support>) -> bool {
    let requests = support.iter().filter(|(suspect, _)| suspect.is_request());
    let without = |request: &CrashGroups| {
        let others = part.keys().filter(|group| !request.contains_key(group));
        others.count()
    };
    requests
        .map(|(_, support)| without(&support.groups))
        .all(|others| others >= MIN_OTHER_CRASHES)
}
