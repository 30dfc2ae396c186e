//! Whether a request may leave the data centre of its entry.
//!
//! Each entry decides for its own requests from predicted times that are up to several hundred
//! milliseconds old, and all entries see the same overload at the same moment. The share of requests
//! that may leave is therefore bounded and follows the gain gradually, and each request draws whether it
//! belongs to that share. See `docs/design/locality.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use super::dispatch::{Candidate, DispatchInput, OBJECTIVE_SHARE, TIMEOUT_SHARE, predict};
use super::engine::Band;

/// Part of the time left until the objective below which a predicted first event counts as certainly
/// in time. From there the probability falls to zero at the objective, so that leaving begins before
/// requests are late.
const CERTAIN_SHARE: f64 = 0.2;
/// Gain at which the share begins to rise.
const MIN_GAIN: f64 = 0.1;
/// Gain at which a share that has begun to rise falls to zero.
const KEEP_GAIN: f64 = 0.05;
/// Gain at which the share moves towards its bound. A smaller value oscillates with views that are
/// 300 ms old.
const FULL_GAIN: f64 = 0.4;
/// Time constant of a rising share.
const RISE: Duration = Duration::from_millis(350);
/// Time constant of a falling share, so that work returns without a surge.
const FALL: Duration = Duration::from_millis(1200);
/// Longest time between two requests for which a share rises, so that the first request after a quiet
/// time doesn't raise it at once.
const MAX_RISE_STEP: Duration = Duration::from_millis(250);
/// Share below which nothing leaves and the state counts as ended.
const MIN_SHARE: f64 = 0.01;
/// Change of a share that is reported.
const REPORTED_STEP: f64 = 0.2;
/// Time without a request after which a share is dropped.
const SHARE_TTL: Duration = Duration::from_mins(1);
/// Half-life of the samples of how much later than predicted first events come. A place is tried again
/// when they have decayed.
const EXCESS_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight in samples of the assumption that a place is as fast as predicted.
const EXCESS_PRIOR: f64 = 1.0;
/// Time for which the link's budget may accumulate.
const BUDGET_BURST: Duration = Duration::from_secs(2);

/// Distance of a target from the entry, the nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// The entry's own data centre.
    Home,
    /// Another data centre of the region.
    Region,
    /// Another region.
    Elsewhere,
}

impl Place {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Region => "region",
            Self::Elsewhere => "elsewhere",
        }
    }

    /// Returns the time that the path adds to a first event: the round trip, at the upper end of the
    /// latencies between data centres of a region.
    pub const fn round_trip(self) -> Duration {
        match self {
            Self::Home => Duration::from_millis(1),
            Self::Region => Duration::from_millis(10),
            Self::Elsewhere => Duration::from_millis(60),
        }
    }
}

/// Who decides whether requests leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LocalityMode {
    /// Requests leave where it pays, for services whose objectives allow pacing.
    #[default]
    Auto,
    /// No request leaves while its data centre has a usable target; for measurements.
    Forbidden,
    /// Distance doesn't matter; for measurements.
    Ignored,
}

/// A setting is out of range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("{field}: out of range")]
pub struct InvalidLocality {
    /// The name of the setting.
    pub field: &'static str,
}

/// What leaving costs and how much of it is allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LocalitySettings {
    /// Price of a byte between data centres of a region, in the worth of a request.
    pub region_price: f64,
    /// Price of a byte between regions, in the worth of a request.
    pub elsewhere_price: f64,
    /// Worth of a request whose first event is late, relative to one in time.
    pub late_value: f64,
    /// Largest share of requests that may leave for the region.
    pub region_bound: f64,
    /// Largest share of requests that may leave for another region.
    pub elsewhere_bound: f64,
    /// Bytes a second that the requests of all entries may put on the link between two regions, in
    /// each direction.
    pub link_rate: f64,
}

impl Default for LocalitySettings {
    /// The operators' prices for a request worth one unit, and 0.3 of a link of 60 Mbit/s.
    fn default() -> Self {
        Self {
            region_price: 3_300.0 / 1e9,
            elsewhere_price: 13_000.0 / 1e9,
            late_value: 0.2,
            region_bound: 0.6,
            elsewhere_bound: 0.3,
            link_rate: 60e6 / 8.0 * 0.3,
        }
    }
}

impl LocalitySettings {
    /// Checks the ranges of all settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn check(self) -> Result<Self, InvalidLocality> {
        let share = 0.0..=1.0;
        let any = 0.0..=f64::MAX;
        let checks = [
            ("region_price", any.contains(&self.region_price)),
            ("elsewhere_price", any.contains(&self.elsewhere_price)),
            ("late_value", share.contains(&self.late_value)),
            ("region_bound", share.contains(&self.region_bound)),
            ("elsewhere_bound", share.contains(&self.elsewhere_bound)),
            ("link_rate", any.contains(&self.link_rate)),
        ];
        match checks.into_iter().find(|(_, valid)| !valid) {
            Some((field, _)) => Err(InvalidLocality { field }),
            None => Ok(self),
        }
    }
}

/// Predicted times to the first event by place; `None` where no usable target can take the request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceTimes {
    /// At the best target of the own data centre.
    pub home: Option<Duration>,
    /// At the lower quartile of the targets in other data centres of the region.
    pub region: Option<Duration>,
    /// At the lower quartile of the targets in other regions.
    pub elsewhere: Option<Duration>,
}

impl PlaceTimes {
    /// Predicts the times of a request from its candidates and their places, in the band in which each
    /// would be sent. The path of each is that of its place, whatever the candidate's path cost.
    pub fn predict(
        candidates: &[Candidate<'_>],
        places: &[Place],
        input: &DispatchInput<'_>,
    ) -> Self {
        let limit = input.objective.mul_f64(OBJECTIVE_SHARE);
        let times = |place: Place| {
            let here = candidates.iter().zip(places).filter(|(c, p)| {
                **p == place && can_serve(c) && c.engine.report.holds(input.model)
            });
            let time = |candidate: &Candidate<'_>| {
                let path_cost = place.round_trip();
                let candidate = Candidate {
                    path_cost,
                    ..*candidate
                };
                let predicted = predict(&candidate, input, input.band);
                let predicted = if predicted > limit {
                    predict(&candidate, input, Band::Deferred)
                } else {
                    predicted
                };
                predicted + candidate.penalty
            };
            let mut times: Vec<Duration> = here.map(|(c, _)| time(c)).collect();
            times.sort_unstable();
            times
        };
        // The least of many outdated backlogs is too low; entries that all believed it would leave at
        // once for the same few engines.
        let quartile = |times: &[Duration]| times.get(times.len() / 4).copied();
        Self {
            home: times(Place::Home).first().copied(),
            region: quartile(&times(Place::Region)),
            elsewhere: quartile(&times(Place::Elsewhere)),
        }
    }
}

/// Returns whether a target can take a request now, as far as its own state decides.
pub const fn can_serve(candidate: &Candidate<'_>) -> bool {
    !candidate.avoided && candidate.closed.is_none()
}

/// What the decision needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub struct LeavingRequest {
    /// Time left until the latency objective.
    pub objective: Duration,
    /// Time left until the caller gives up.
    pub timeout: Duration,
    /// Bytes that are sent to the target.
    pub bytes_out: u64,
    /// Bytes that the target is expected to send.
    pub bytes_back: u64,
    /// A number between 0 and 1 that the request has drawn once.
    pub draw: f64,
}

impl LeavingRequest {
    /// Returns what the request takes from the budget of the link, whose directions are separate.
    fn link_bytes(&self) -> f64 {
        self.bytes_out.max(self.bytes_back) as f64
    }

    /// Returns the worth of being served at a place with this predicted time.
    fn value(&self, predicted: Option<Duration>, late_value: f64) -> f64 {
        let Some(predicted) = predicted else {
            return 0.0;
        };
        if predicted > self.timeout.mul_f64(TIMEOUT_SHARE) {
            return 0.0;
        }
        let objective = self.objective.as_secs_f64();
        let left = objective - predicted.as_secs_f64();
        let certain = objective * (1.0 - CERTAIN_SHARE);
        let in_time = if certain > 0.0 {
            (left / certain).clamp(0.0, 1.0)
        } else {
            0.0
        };
        late_value + (1.0 - late_value) * in_time
    }
}

/// Why a request may leave its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaveReason {
    /// It may be late at home.
    Late,
    /// It would be refused at home.
    Refused,
    /// Home has no usable target.
    NoTarget,
}

impl LeaveReason {
    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Refused => "refused",
            Self::NoTarget => "no_target",
        }
    }
}

/// How far a request may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// The request stays in its data centre.
    Stay,
    /// The request may go as far as this place.
    Leave(Place, LeaveReason),
}

impl Reach {
    /// Returns whether the request may be sent to a target at this place.
    pub fn admits(self, place: Place) -> bool {
        match self {
            Self::Stay => place == Place::Home,
            Self::Leave(farthest, _) => place <= farthest,
        }
    }
}

/// A change of a share that is worth a log line.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareChange {
    /// The route and the service.
    pub key: ShareKey,
    /// The place that requests leave for.
    pub place: Place,
    /// The share now.
    pub share: f64,
}

/// The route and the service that a share is kept for; routes differ in their objectives.
pub type ShareKey = (Arc<str>, Arc<str>);

/// The share of requests that may leave for one place.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    value: f64,
    /// Whether the gain has exceeded [`MIN_GAIN`], and not fallen below [`KEEP_GAIN`] since.
    active: bool,
    updated: Option<Timestamp>,
    /// The value that was last reported.
    reported: f64,
}

impl Share {
    /// Moves the share towards what the gain justifies.
    fn follow(&mut self, gain: f64, bound: f64, now: Timestamp) {
        self.active = gain >= if self.active { KEEP_GAIN } else { MIN_GAIN };
        let target = if self.active {
            bound * (gain / FULL_GAIN).min(1.0)
        } else {
            0.0
        };
        let elapsed = self.updated.map_or(Duration::ZERO, |at| now.since(at));
        self.updated = Some(now);
        let (elapsed, constant) = if target > self.value {
            (elapsed.min(MAX_RISE_STEP), RISE)
        } else {
            (elapsed, FALL)
        };
        let kept = (-elapsed.as_secs_f64() / constant.as_secs_f64()).exp();
        self.value = target + (self.value - target) * kept;
        if !self.active && self.value < MIN_SHARE {
            self.value = 0.0;
        }
    }

    /// Returns the share if it has changed enough since it was last reported.
    fn take_change(&mut self) -> Option<f64> {
        let turned = (self.value > 0.0) != (self.reported > 0.0);
        let changed = turned || (self.value - self.reported).abs() >= REPORTED_STEP;
        changed.then(|| {
            self.reported = self.value;
            self.value
        })
    }
}

/// The bytes that one entry's requests may put on the link between regions.
#[derive(Debug, Clone, Copy, Default)]
struct LinkBudget {
    /// Bytes that may be spent; below zero after a request larger than the capacity.
    level: f64,
    updated: Option<Timestamp>,
    rate: f64,
}

impl LinkBudget {
    /// Sets the rate; a budget starts full.
    fn refill(&mut self, rate: f64, now: Timestamp) {
        self.rate = rate;
        let capacity = self.capacity();
        self.level = match self.updated {
            Some(at) => (self.level + rate * now.since(at).as_secs_f64()).min(capacity),
            None => capacity,
        };
        self.updated = Some(now);
    }

    fn capacity(&self) -> f64 {
        self.rate * BUDGET_BURST.as_secs_f64()
    }

    /// Returns whether a request of this size is paid for. One above the capacity needs a full budget.
    fn admits(&self, bytes: f64) -> bool {
        self.rate > 0.0 && self.level >= bytes.min(self.capacity())
    }
}

/// How much later than predicted first events come from a place; below zero if earlier.
#[derive(Debug, Clone, Copy, Default)]
struct Excess {
    /// Sum of the samples, in seconds, and their number, both decaying.
    sum: f64,
    count: f64,
    updated: Timestamp,
}

impl Excess {
    fn kept(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / EXCESS_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(age)
    }

    fn at(&self, now: Timestamp) -> f64 {
        let kept = self.kept(now);
        self.sum * kept / (self.count * kept + EXCESS_PRIOR)
    }

    fn record(&mut self, seconds: f64, now: Timestamp) {
        let kept = self.kept(now);
        self.sum = self.sum * kept + seconds;
        self.count = self.count * kept + 1.0;
        self.updated = now;
    }
}

/// Decides for one entry which requests may leave their data centre.
#[derive(Debug)]
pub struct LocalityControl {
    settings: LocalitySettings,
    /// Shares of the region and of elsewhere.
    shares: HashMap<ShareKey, [Share; 2]>,
    budget: LinkBudget,
    excess: [Excess; 3],
}

impl Default for LocalityControl {
    /// Creates a control with the default settings.
    fn default() -> Self {
        Self {
            settings: LocalitySettings::default(),
            shares: HashMap::new(),
            budget: LinkBudget::default(),
            excess: [Excess::default(); 3],
        }
    }
}

impl LocalityControl {
    /// Creates the control of an entry that has seen no request.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
    pub fn new(settings: LocalitySettings) -> Result<Self, InvalidLocality> {
        Ok(Self {
            settings: settings.check()?,
            ..Self::default()
        })
    }

    /// Decides how far a request may go. `entries` is the number of entries that share the link.
    pub fn decide(
        &mut self,
        key: &ShareKey,
        request: &LeavingRequest,
        times: &PlaceTimes,
        entries: usize,
        now: Timestamp,
    ) -> Reach {
        let settings = self.settings;
        let rate = settings.link_rate / entries.max(1) as f64;
        self.budget.refill(rate, now);
        let paid = self.budget.admits(request.link_bytes());
        let excess = |place: Place| self.excess[place as usize].at(now);
        // An error that home has as well says nothing of the path.
        let value = |time: Option<Duration>, place: Place| {
            let later = (excess(place) - excess(Place::Home)).max(0.0);
            let time = time.map(|time| time + Duration::from_secs_f64(later));
            request.value(time, settings.late_value)
        };
        let bytes = (request.bytes_out + request.bytes_back) as f64;
        let home = value(times.home, Place::Home);
        let region = value(times.region, Place::Region) - bytes * settings.region_price;
        let elsewhere = value(times.elsewhere, Place::Elsewhere) - bytes * settings.elsewhere_price;
        let region_gain = region - home;
        let elsewhere_gain = elsewhere - region.max(home);

        let shares = self.shares.entry(key.clone()).or_default();
        shares[0].follow(region_gain, settings.region_bound, now);
        shares[1].follow(elsewhere_gain, settings.elsewhere_bound, now);
        if times.home.is_none() {
            return if times.region.is_some() {
                Reach::Leave(Place::Region, LeaveReason::NoTarget)
            } else if times.elsewhere.is_some() && paid {
                Reach::Leave(Place::Elsewhere, LeaveReason::NoTarget)
            } else {
                Reach::Stay
            };
        }
        let reason = if home > 0.0 {
            LeaveReason::Late
        } else {
            LeaveReason::Refused
        };
        let [to_region, to_elsewhere] = [shares[0].value, shares[1].value];
        if request.draw < to_elsewhere && elsewhere_gain > 0.0 && paid {
            Reach::Leave(Place::Elsewhere, reason)
        } else if request.draw < to_elsewhere + to_region && region_gain > 0.0 {
            Reach::Leave(Place::Region, reason)
        } else {
            Reach::Stay
        }
    }

    /// Charges the link with a request that is sent to another region.
    pub fn record_sent(&mut self, request: &LeavingRequest, place: Place) {
        if place == Place::Elsewhere {
            self.budget.level -= request.link_bytes();
        }
    }

    /// Records the predicted and the observed time to a first event from a place.
    pub fn record_first_event(
        &mut self,
        place: Place,
        predicted: Duration,
        seen: Duration,
        now: Timestamp,
    ) {
        let excess = seen.as_secs_f64() - predicted.as_secs_f64();
        self.excess[place as usize].record(excess, now);
    }

    /// Returns the part of the link's budget in use, between 0 and 1.
    pub fn budget_use(&self) -> f64 {
        let capacity = self.budget.capacity();
        if capacity > 0.0 {
            (1.0 - self.budget.level / capacity).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Returns the shares of a route and service for the region and for elsewhere.
    pub fn shares(&self, key: &ShareKey) -> (f64, f64) {
        let shares = self.shares.get(key);
        shares.map_or((0.0, 0.0), |s| (s[0].value, s[1].value))
    }

    /// Returns the shares of a route and service that have changed since they were last returned.
    pub fn take_changes(&mut self, key: &ShareKey) -> Vec<ShareChange> {
        let Some(shares) = self.shares.get_mut(key) else {
            return Vec::new();
        };
        let places = [Place::Region, Place::Elsewhere];
        let changes = shares.iter_mut().zip(places).filter_map(|(share, place)| {
            let key = key.clone();
            let share = share.take_change()?;
            Some(ShareChange { key, place, share })
        });
        changes.collect()
    }

    /// Drops the shares of routes and services without a request in the last minute.
    pub fn expire(&mut self, now: Timestamp) {
        let is_recent = |share: &Share| share.updated.is_some_and(|at| now.since(at) < SHARE_TTL);
        self.shares.retain(|_, shares| is_recent(&shares[0]));
    }
}
