//! Admission of requests to one engine, in bursts with pauses for decoding.
//!
//! An engine prefills prompts in large chunks between the tokens of running streams, so that several
//! prompts in a row make all its streams late. The agent beside the engine therefore admits requests in
//! bursts that fit into the gap objective, and leaves the engine time to decode between two bursts.
//! Requests that wait are ordered here, over all entries, and one that would wait for too long is
//! denied at once.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::account_share::{AccountShares, Competitor};

/// Shortest pause between two bursts: the steps in which the streams that have just begun go on.
const MIN_PAUSE: Duration = Duration::from_millis(12);
/// Pause after a burst as a share of its prefill time, in which running streams decode, besides the time
/// until the agent knows of the end of the burst.
const PAUSE_SHARE: f64 = 0.05;
/// Time after which an admission counts as done without word of it, in multiples of its prefill time:
/// an engine may be slower than predicted for a while.
const MAX_PREFILL_FACTOR: f64 = 3.0;
/// The same time at least: the paths to and from the entry, in another region.
const MIN_ADMISSION_TTL: Duration = Duration::from_millis(250);

/// The order in which waiting requests are admitted: lower ranks first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct AdmissionRank {
    /// The priority of the request's account, or else of its route; 0 is the most urgent.
    pub priority: u8,
    /// The priority of the request's route, which orders the requests of one account.
    pub route: u8,
    /// Whether the request can't meet its objective any more.
    pub late: bool,
}

/// A request that an entry wants to send to the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Its rank among those that wait.
    pub rank: AdmissionRank,
    /// The account on whose behalf the request is sent, if it has a limit.
    pub competitor: Option<Competitor>,
    /// The predicted prefill time.
    pub prefill: Duration,
    /// Time left until the objective.
    pub objective: Duration,
    /// Longest time that the request can wait.
    pub max_wait: Duration,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionDecision {
    /// The request may be sent now.
    Admitted {
        /// Prefill time of the requests of the same burst that the engine has not finished, in milliseconds.
        ahead_ms: u32,
    },
    /// The request waits; a decision follows.
    Queued,
    /// The request would wait for too long.
    Denied {
        /// The predicted wait, in milliseconds.
        wait_ms: u32,
    },
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    request: AdmissionRequest,
    /// When the objective ends, which orders requests of one rank.
    objective: Timestamp,
    /// When the request can't wait any longer.
    expires: Timestamp,
    /// When the request was last repeated.
    asked: Timestamp,
    /// Orders requests that are equal otherwise.
    number: u64,
}

type WaitingKey = ((u8, u8), (bool, bool), Timestamp, u64);

impl Waiting {
    /// Returns the order of the request: by priority, then accounts within their shares first; `over` are
    /// those above them.
    fn key(&self, over: &HashSet<u64>) -> WaitingKey {
        let AdmissionRank {
            priority,
            route,
            late,
        } = self.request.rank;
        let competitor = self.request.competitor;
        let over_share = competitor.is_some_and(|c| over.contains(&c.account));
        (
            (priority, route),
            (over_share, late),
            self.objective,
            self.number,
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct Admitted {
    prefill: Duration,
    /// Prefill time of the burst before it.
    ahead: Duration,
    /// When it counts as done without word of it.
    expires: Timestamp,
}

impl Admitted {
    fn decision(&self) -> AdmissionDecision {
        AdmissionDecision::Admitted {
            ahead_ms: clamp_ms(self.ahead),
        }
    }
}

/// Time without a repetition after which a waiting request counts as given up, as with the process that
/// sent it. Entries repeat several times a second.
const MAX_SILENCE: Duration = Duration::from_millis(800);
/// Time for which the end of a request is remembered, so that a late copy of it is not taken for a new one.
const END_TTL: Duration = Duration::from_secs(1);

/// Admits requests to one engine; `K` identifies a request.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{
///     AdmissionDecision, AdmissionRank, AdmissionRequest, PrefillAdmission,
/// };
/// use kumquatkeel_types::Timestamp;
///
/// let request = AdmissionRequest {
///     rank: AdmissionRank { priority: 1, route: 1, late: false },
///     competitor: None,
///     prefill: Duration::from_millis(200),
///     objective: Duration::from_secs(1),
///     max_wait: Duration::from_millis(500),
/// };
/// let mut admission = PrefillAdmission::new(Duration::from_millis(300));
/// let start = Timestamp::ZERO;
/// let first = AdmissionDecision::Admitted { ahead_ms: 0 };
/// assert_eq!(admission.request("a", request, start), first);
/// assert_eq!(admission.request("b", request, start), AdmissionDecision::Queued);
/// admission.finish(&"a", Timestamp::from_millis(220));
/// assert!(admission.advance(Timestamp::from_millis(225)).is_empty());
/// let admitted = admission.advance(Timestamp::from_millis(250));
/// assert_eq!(admitted, [("b", first)]);
/// ```
#[derive(Debug, Clone)]
pub struct PrefillAdmission<K> {
    /// Longest prefill time of one burst.
    burst: Duration,
    waiting: HashMap<K, Waiting>,
    admitted: HashMap<K, Admitted>,
    /// Requests that have ended lately, with the time of their end.
    ended: HashMap<K, Timestamp>,
    /// Prefill time admitted in the current burst.
    burst_work: Duration,
    /// When the next burst may start; only meaningful while nothing is admitted.
    reopens: Timestamp,
    /// When the current burst started.
    started: Timestamp,
    count: u64,
    /// What accounts have taken of the engine's time.
    shares: AccountShares,
}

impl<K: Clone + Eq + Hash> PrefillAdmission<K> {
    /// Creates the admission for an engine, with the longest prefill time of one burst.
    pub fn new(burst: Duration) -> Self {
        Self {
            burst,
            waiting: HashMap::new(),
            admitted: HashMap::new(),
            ended: HashMap::new(),
            burst_work: Duration::ZERO,
            reopens: Timestamp::ZERO,
            started: Timestamp::ZERO,
            count: 0,
            shares: AccountShares::default(),
        }
    }

    /// Sets the longest prefill time of one burst.
    pub const fn set_burst(&mut self, burst: Duration) {
        self.burst = burst;
    }

    /// Decides on a request. One that is known already gets its state again.
    pub fn request(
        &mut self,
        key: K,
        request: AdmissionRequest,
        now: Timestamp,
    ) -> AdmissionDecision {
        self.expire_admitted(now);
        if let Some(admitted) = self.admitted.get(&key) {
            return admitted.decision();
        }
        if self.ended.contains_key(&key) {
            return AdmissionDecision::Denied { wait_ms: 0 };
        }
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.asked = now;
            return AdmissionDecision::Queued;
        }
        self.count += 1;
        let waiting = Waiting {
            request,
            objective: now.after(request.objective),
            expires: now.after(request.max_wait),
            asked: now,
            number: self.count,
        };
        if let Some(competitor) = request.competitor {
            self.shares.record(competitor, Duration::ZERO, now);
        }
        let wait = self.predicted_wait(&waiting, now);
        if wait.is_zero() && self.may_start(request.prefill, now) {
            return self.admit(key, request, now);
        }
        if wait > request.max_wait {
            return denied(wait);
        }
        self.waiting.insert(key, waiting);
        AdmissionDecision::Queued
    }

    /// Records that a request has its first token, or won't have any.
    pub fn finish(&mut self, key: &K, now: Timestamp) {
        self.waiting.remove(key);
        self.ended.retain(|_, at| now.since(*at) < END_TTL);
        self.ended.insert(key.clone(), now);
        if self.admitted.remove(key).is_some() {
            self.end_burst(now);
        }
    }

    /// Decides on the requests that wait; returns those whose wait has ended.
    pub fn advance(&mut self, now: Timestamp) -> Vec<(K, AdmissionDecision)> {
        self.expire_admitted(now);
        let mut decided = Vec::new();
        self.waiting
            .retain(|_, waiting| now.since(waiting.asked) < MAX_SILENCE);
        let expired = self.waiting.iter().filter(|(_, w)| now > w.expires);
        let expired: Vec<(K, Waiting)> = expired.map(|(k, w)| (k.clone(), *w)).collect();
        for (key, waiting) in expired {
            let wait = self.predicted_wait(&waiting, now);
            self.waiting.remove(&key);
            decided.push((key, denied(wait)));
        }
        while let Some((key, request)) = self.next_waiting(now) {
            if !self.may_start(request.prefill, now) {
                break;
            }
            self.waiting.remove(&key);
            let decision = self.admit(key.clone(), request, now);
            decided.push((key, decision));
        }
        decided
    }

    /// Returns when [`advance`](Self::advance) should be called next; `None` while nothing waits.
    pub fn next_event(&self) -> Option<Timestamp> {
        if self.waiting.is_empty() {
            return None;
        }
        let expiry = self.waiting.values().map(|w| w.expires).min();
        let free = self.admitted.values().map(|a| a.expires).min();
        let free = free.unwrap_or(self.reopens);
        Some(expiry.map_or(free, |expiry| expiry.min(free)))
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn next_waiting(&mut self, now: Timestamp) -> Option<(K, AdmissionRequest)> {
        let over = self.shares.over(now);
        let first = self
            .waiting
            .iter()
            .min_by_key(|(_, waiting)| waiting.key(&over));
        first.map(|(key, waiting)| (key.clone(), waiting.request))
    }

    /// Returns whether a request with this prefill time may be sent now.
    fn may_start(&self, prefill: Duration, now: Timestamp) -> bool {
        if self.admitted.is_empty() {
            return now >= self.reopens;
        }
        // A later request extends the burst only as long as its first ones are being prefilled.
        now.since(self.started) < self.burst && self.burst_work + prefill <= self.burst
    }

    fn admit(&mut self, key: K, request: AdmissionRequest, now: Timestamp) -> AdmissionDecision {
        let prefill = request.prefill;
        if let Some(competitor) = request.competitor {
            self.shares.record(competitor, prefill, now);
        }
        if self.admitted.is_empty() {
            self.burst_work = Duration::ZERO;
            self.started = now;
        }
        let ahead = self.work_left(now);
        self.burst_work += prefill;
        let ttl = self.burst_work.mul_f64(MAX_PREFILL_FACTOR) + MIN_ADMISSION_TTL;
        let admitted = Admitted {
            prefill,
            ahead,
            expires: now.after(ttl),
        };
        self.admitted.insert(key, admitted);
        admitted.decision()
    }

    /// Returns the prefill time of the current burst that the engine has not finished.
    fn work_left(&self, now: Timestamp) -> Duration {
        let work: Duration = self.admitted.values().map(|a| a.prefill).sum();
        let done = self.burst_work.saturating_sub(now.since(self.started));
        work.min(done)
    }

    fn end_burst(&mut self, now: Timestamp) {
        if self.admitted.is_empty() {
            self.reopens = now.after(pause(self.burst_work));
        }
    }

    fn expire_admitted(&mut self, now: Timestamp) {
        let before = self.admitted.len();
        self.admitted.retain(|_, admitted| now < admitted.expires);
        if self.admitted.len() < before {
            self.end_burst(now);
        }
    }

    /// Predicts how long a request waits until it is admitted.
    fn predicted_wait(&mut self, waiting: &Waiting, now: Timestamp) -> Duration {
        let over = self.shares.over(now);
        let key = waiting.key(&over);
        let ahead = self.waiting.values().filter(|w| w.key(&over) < key);
        let queued: Duration = ahead.map(|w| w.request.prefill).sum();
        if queued.is_zero() && self.may_start(waiting.request.prefill, now) {
            return Duration::ZERO;
        }
        let current = if self.admitted.is_empty() {
            self.reopens.since(now)
        } else {
            self.work_left(now) + pause(self.burst_work)
        };
        current + queued.mul_f64(1.0 + PAUSE_SHARE)
    }
}

/// Returns the pause after a burst with this prefill time.
fn pause(work: Duration) -> Duration {
    MIN_PAUSE.max(work.mul_f64(PAUSE_SHARE))
}

fn denied(wait: Duration) -> AdmissionDecision {
    AdmissionDecision::Denied {
        wait_ms: clamp_ms(wait),
    }
}

fn clamp_ms(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}
