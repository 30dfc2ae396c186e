//! The admission controller of one service at one entry.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatkeel_types::{ErrorCode, Timestamp};

use super::queue::{Queue, QueueStep};
use super::{Arrival, ConcurrencyLimit, RateBucket, RateStep, Ticket};

/// The weight of a new sample in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// The lower bound of the retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The upper bound of the retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The admission limits of a service at one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimits {
    /// The maximum number of waiting requests.
    pub queue: usize,
    /// This entry's share of the service's rate, in requests per second; `None` means no limit.
    pub rate: Option<f64>,
}

/// The refusal of a request that was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The error code for the caller.
    pub code: ErrorCode,
    /// The delay after which the caller may retry.
    pub retry_after: Duration,
}

/// The decision on an arriving request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitStep {
    /// The request runs; [`AdmissionController::finished`] must follow.
    Run,
    /// The request waits until [`AdmissionController::next`] runs or refuses it.
    Queued,
    /// The request waits in place of another one, which is refused as not run.
    Displaced {
        /// The displaced request.
        ticket: Ticket,
        /// The refusal of the displaced request.
        refusal: Refusal,
    },
    /// The request is refused as not run.
    Refuse(Refusal),
}

/// What to do after a slot has become free or time has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Run this request now; [`AdmissionController::finished`] must follow.
    Run(Ticket),
    /// Refuse this request as not run, because its latest start has passed.
    Refuse(Ticket, Refusal),
    /// Nothing to do before this time, or before the next event if it is `None`.
    Idle(Option<Timestamp>),
}

/// Decides which requests of one service run, wait or are refused.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    max_waiting: usize,
    rate: Option<RateBucket>,
    limit: ConcurrencyLimit,
    running: BTreeSet<Ticket>,
    queue: Queue,
    expired: Vec<Ticket>,
    run_seconds: f64,
    draining: bool,
}

impl AdmissionController {
    /// Creates a controller without requests.
    pub fn new(limits: ServiceLimits, now: Timestamp) -> Self {
        Self {
            max_waiting: limits.queue,
            rate: limits.rate.map(|rate| RateBucket::new(rate, now)),
            limit: ConcurrencyLimit::default(),
            running: BTreeSet::new(),
            queue: Queue::default(),
            expired: Vec::new(),
            run_seconds: 0.0,
            draining: false,
        }
    }

    /// Replaces the limits; waiting requests beyond the new bound stay queued.
    pub fn set_limits(&mut self, limits: ServiceLimits, now: Timestamp) {
        self.max_waiting = limits.queue;
        match (&mut self.rate, limits.rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (bucket, rate) => *bucket = rate.map(|rate| RateBucket::new(rate, now)),
        }
    }

    /// Sets the slots that the fleet has for the service, which bound the running requests.
    pub const fn set_slots(&mut self, slots: u32) {
        self.limit.set_ceiling(slots);
    }

    /// Starts to drain: refuses all new requests; waiting ones may still run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Admits, queues or refuses an arriving request.
    pub fn arrive(&mut self, arrival: &Arrival, now: Timestamp) -> AdmitStep {
        if self.draining {
            return AdmitStep::Refuse(refusal(ErrorCode::Draining, MIN_RETRY_AFTER));
        }
        if let Some(RateStep::Over { wait }) = self.rate.as_mut().map(|r| r.take(now)) {
            return AdmitStep::Refuse(refusal(ErrorCode::Overloaded, wait));
        }
        if self.queue.len() == 0 && self.has_slot() {
            self.running.insert(arrival.ticket);
            return AdmitStep::Run;
        }
        let wait = self.expected_wait(arrival);
        if arrival.start_by < now.after(wait) {
            return AdmitStep::Refuse(refusal(ErrorCode::Deadline, wait));
        }
        match self.queue.push(arrival, self.max_waiting) {
            QueueStep::Queued => AdmitStep::Queued,
            QueueStep::Full => AdmitStep::Refuse(refusal(ErrorCode::Overloaded, wait)),
            QueueStep::Displaced(ticket) => AdmitStep::Displaced {
                ticket,
                refusal: refusal(ErrorCode::Overloaded, wait),
            },
        }
    }

    /// Returns what to do next; call it until it returns [`NextStep::Idle`], and again at the time
    /// given there.
    pub fn next(&mut self, now: Timestamp) -> NextStep {
        if self.expired.is_empty() {
            self.expired = self.queue.expire(now);
        }
        if let Some(ticket) = self.expired.pop() {
            return NextStep::Refuse(ticket, refusal(ErrorCode::Deadline, MIN_RETRY_AFTER));
        }
        if self.has_slot()
            && let Some((ticket, _)) = self.queue.pop()
        {
            self.running.insert(ticket);
            return NextStep::Run(ticket);
        }
        NextStep::Idle(self.queue.first_expiry().map(just_after))
    }

    /// Raises the concurrency limit after an agent has accepted a request.
    pub const fn accepted(&mut self) {
        self.limit.accepted();
    }

    /// Lowers the concurrency limit after an agent has refused a request for lack of a slot.
    pub fn busy(&mut self, now: Timestamp) {
        self.limit.busy(self.running.len() as u32, now);
    }

    /// Removes a request that ran and, if it was answered, records its run time.
    pub fn finished(&mut self, ticket: Ticket, run_time: Option<Duration>) {
        if !self.running.remove(&ticket) {
            return;
        }
        let Some(seconds) = run_time.map(|t| t.as_secs_f64()) else {
            return;
        };
        if self.run_seconds == 0.0 {
            self.run_seconds = seconds;
        } else {
            self.run_seconds += (seconds - self.run_seconds) * RUN_TIME_WEIGHT;
        }
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        self.expired.retain(|t| *t != ticket);
    }

    fn has_slot(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    /// Estimates the wait from the requests ahead and the rate at which slots become free.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let ahead = self.queue.ahead_of(arrival) as f64 + 1.0;
        let slots = f64::from(self.limit.get().max(1));
        Duration::try_from_secs_f64(ahead * self.run_seconds / slots).unwrap_or(Duration::MAX)
    }
}

const fn just_after(at: Timestamp) -> Timestamp {
    at.after(Duration::from_micros(1))
}

fn refusal(code: ErrorCode, wait: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    }
}
