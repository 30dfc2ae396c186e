//! Decides how a process reads the list of targets from the platform's store.
//!
//! In a large fleet the list changes all the time, and a consistent read by each process for each change
//! is most of what the store is asked. Most changes may be learnt of late; those after which a target must
//! not be used any more may not. So a few agents of each region, the relays, read the list consistently
//! and state the position of the last urgent change to the entries of their region. An entry makes cheap
//! calls, which may be answered from an older state, for as long as a relay confirms that it knows all
//! urgent changes, and consistent calls otherwise.

use std::time::Duration;

use kumquatkeel_types::Timestamp;
use serde::{Deserialize, Serialize};

use crate::store::StorePosition;

/// Longest wait of one watch call of a relay. Each answer confirms the list for its followers.
const RELAY_WAIT: Duration = Duration::from_millis(600);
/// Delay of a relay after changes.
const RELAY_DELAY: Duration = Duration::from_millis(250);
/// Delay of other processes after changes, so that changes in series arrive in one answer.
const DELAY: Duration = Duration::from_millis(900);
/// Longest time between two calls of a relay while the store fails. The others learn from it that the store
/// answers again.
const RELAY_BACKOFF: Duration = Duration::from_millis(800);
/// The same for all other processes, of which there are many.
const BACKOFF: Duration = Duration::from_millis(3_200);
/// Most urgent changes that are kept until they are known.
const MAX_URGENT: usize = 64;
/// Share of the time within which a change must be known for which a confirmation of a relay counts.
const CONFIRMATION_SHARE: f64 = 0.5;
/// Share of that time for which cheap calls may go on without an urgent change that a relay has stated.
const URGENT_SHARE: f64 = 0.25;

/// What a relay states of the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ListNotice {
    /// The era and revision of the last change after which a target must not be used.
    pub urgent: (u64, u64),
    /// How long ago the store confirmed that there is no later one, in milliseconds.
    pub age_ms: u32,
}

impl ListNotice {
    fn urgent(self) -> StorePosition {
        let (era, revision) = self.urgent;
        StorePosition { era, revision }
    }
}

/// How to make the next call for the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListCall {
    /// Whether the answer must be consistent; a cheap one may come from an older state.
    pub consistent: bool,
    /// Longest wait of a watch call.
    pub wait: Duration,
    /// Delay after changes until the next call.
    pub delay: Duration,
    /// Longest time between two calls while the store fails.
    pub backoff: Duration,
}

/// The part that a process has in reading the list.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListRole {
    /// Uses targets, and must know urgent changes within a bound.
    #[default]
    User,
    /// Reads the list for the entries of its region.
    Relay,
    /// Plans by the list only, which may be older.
    Planner,
}

/// Decides on the calls of one process for the list of targets.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use kumquatkeel_core::serving::{ListNotice, ListReader, ListRole};
/// use kumquatkeel_core::store::StorePosition;
/// use kumquatkeel_types::Timestamp;
///
/// let known = StorePosition { era: 0, revision: 9 };
/// let mut reader = ListReader::new(ListRole::User, Duration::from_secs(2));
/// assert!(reader.next_call(known, Timestamp::ZERO).consistent);
/// reader.record_notice(ListNotice { urgent: (0, 7), age_ms: 100 }, Timestamp::ZERO);
/// assert!(!reader.next_call(known, Timestamp::ZERO).consistent);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListReader {
    role: ListRole,
    /// The time within which an urgent change must be known.
    bound: Duration,
    /// When the store last confirmed the last urgent change to a relay; `None` before the first notice.
    confirmed: Option<Timestamp>,
    /// The urgent changes that relays have stated, in order, each with the time at which it was first stated.
    /// The time of one does not depend on those after it, which may come before it is known.
    urgent: Vec<(StorePosition, Timestamp)>,
}

impl ListReader {
    /// Creates the reader of a process that must know urgent changes within `bound`.
    pub const fn new(role: ListRole, bound: Duration) -> Self {
        Self {
            role,
            bound,
            confirmed: None,
            urgent: Vec::new(),
        }
    }

    /// Changes the part of the process; returns whether it is another one.
    pub fn set_role(&mut self, role: ListRole) -> bool {
        std::mem::replace(&mut self.role, role) != role
    }

    /// Records what a relay states.
    pub fn record_notice(&mut self, notice: ListNotice, now: Timestamp) {
        let age = u64::from(notice.age_ms) * 1_000;
        let confirmed = Timestamp::from_micros(now.as_micros().saturating_sub(age));
        self.confirmed = self.confirmed.max(Some(confirmed));
        let is_full = self.urgent.len() >= MAX_URGENT;
        match self.urgent.last_mut() {
            Some((last, _)) if notice.urgent() <= *last => {}
            // It then counts as stated with the one before it, which is early enough.
            Some((last, _)) if is_full => *last = notice.urgent(),
            _ => self.urgent.push((notice.urgent(), now)),
        }
    }

    /// Records that a consistent call that was sent at `sent` has brought the list up to `known`.
    ///
    /// A later urgent change that was stated before does not exist, as in a notice of a faulty process; it
    /// would have the list read again and again.
    pub fn record_read(&mut self, known: StorePosition, sent: Timestamp) {
        self.urgent
            .retain(|(position, stated)| *position > known && *stated > sent);
    }

    /// Decides on the next call of a process that knows the list up to `known`.
    pub fn next_call(&self, known: StorePosition, now: Timestamp) -> ListCall {
        match self.role {
            ListRole::Relay => ListCall {
                consistent: true,
                wait: RELAY_WAIT,
                delay: RELAY_DELAY,
                backoff: RELAY_BACKOFF,
            },
            ListRole::Planner => ListCall {
                consistent: false,
                wait: self.bound,
                delay: DELAY,
                backoff: BACKOFF,
            },
            ListRole::User => ListCall {
                consistent: self.consistent_at(known).is_some_and(|at| now >= at),
                wait: self.bound,
                delay: DELAY,
                backoff: BACKOFF,
            },
        }
    }

    /// Returns whether a relay has confirmed the list recently, so that the store serves the relay.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        let age = self.confirmed.map(|at| now.since(at));
        age.is_some_and(|age| age < self.bound.mul_f64(CONFIRMATION_SHARE))
    }

    /// Returns from when on a process that knows the list up to `known` must read it consistently; `None`
    /// if it need not.
    pub fn consistent_at(&self, known: StorePosition) -> Option<Timestamp> {
        match self.role {
            ListRole::Relay => Some(Timestamp::ZERO),
            ListRole::Planner => None,
            ListRole::User => {
                let lapse = self.confirmed.map_or(Timestamp::ZERO, |at| {
                    at.after(self.bound.mul_f64(CONFIRMATION_SHARE))
                });
                Some(self.urgent_at(known).map_or(lapse, |at| at.min(lapse)))
            }
        }
    }

    /// Returns from when on a process must know the urgent change that a relay has stated; `None` if it
    /// knows it.
    pub fn urgent_at(&self, known: StorePosition) -> Option<Timestamp> {
        let grace = self.bound.mul_f64(URGENT_SHARE);
        let unknown = self.urgent.iter().find(|(position, _)| known < *position);
        unknown.map(|(_, stated)| stated.after(grace))
    }
}
