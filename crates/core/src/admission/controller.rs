//! The gate before one service at one entry.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatkeel_types::{ErrorCode, Timestamp};

use super::queue::{Queue, QueueStep};
use super::{Arrival, ConcurrencyLimit, RateBucket, RateStep, Ticket};

/// The weight of a new sample in the smoothed run time.
const SMOOTHING: f64 = 0.05;
/// The shortest time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);
/// The longest time after which a refused caller is told to come back.
const MOST_RETRY: Duration = Duration::from_secs(30);

/// The limits of a service at one entry.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceLimits {
    /// Requests that wait at most.
    pub queue: usize,
    /// This entry's share of the service's rate, in requests a second; none means no limit.
    pub rate: Option<f64>,
}

/// Why a request is refused as not run, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The code for the caller.
    pub code: ErrorCode,
    /// When to come back.
    pub retry_after: Duration,
}

/// What to do with an arriving request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmitStep {
    /// Run it now; [`AdmissionController::finished`] must follow.
    Run,
    /// It waits until [`AdmissionController::next`] names it.
    Queued,
    /// It waits in place of another, which is to be refused as not run.
    Displaced {
        /// The other request.
        ticket: Ticket,
        /// What its caller is told.
        refusal: Refusal,
    },
    /// Refuse it as not run.
    Refuse(Refusal),
}

/// What to do after a place has become free or time has passed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Run this request now; [`AdmissionController::finished`] must follow.
    Run(Ticket),
    /// Refuse this request as not run, for it can't start in time any more.
    Refuse(Ticket, Refusal),
    /// Nothing is to be done before this time, if any.
    Idle(Option<Timestamp>),
}

/// Lets requests of one service run, wait or go.
#[derive(Debug, Clone)]
pub struct AdmissionController {
    most: usize,
    rate: Option<RateBucket>,
    limit: ConcurrencyLimit,
    running: BTreeSet<Ticket>,
    queue: Queue,
    expired: Vec<Ticket>,
    run_time: f64,
    draining: bool,
}

impl AdmissionController {
    /// Makes an empty gate.
    pub fn new(limits: ServiceLimits, now: Timestamp) -> Self {
        Self {
            most: limits.queue,
            rate: limits.rate.map(|rate| RateBucket::new(rate, now)),
            limit: ConcurrencyLimit::default(),
            running: BTreeSet::new(),
            queue: Queue::default(),
            expired: Vec::new(),
            run_time: 0.0,
            draining: false,
        }
    }

    /// Takes over changed limits.
    pub fn set_limits(&mut self, limits: ServiceLimits, now: Timestamp) {
        self.most = limits.queue;
        match (&mut self.rate, limits.rate) {
            (Some(bucket), Some(rate)) => bucket.set_rate(rate, now),
            (bucket, rate) => *bucket = rate.map(|rate| RateBucket::new(rate, now)),
        }
    }

    /// Sets the slots that the fleet has for the service.
    pub const fn set_slots(&mut self, slots: u32) {
        self.limit.set_ceiling(slots);
    }

    /// Refuses whatever arrives from now on; what waits may still run.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns the requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides on an arriving request.
    pub fn arrive(&mut self, arrival: &Arrival, now: Timestamp) -> AdmitStep {
        if self.draining {
            return AdmitStep::Refuse(refusal(ErrorCode::Draining, LEAST_RETRY));
        }
        if let Some(RateStep::Over { wait }) = self.rate.as_mut().map(|r| r.take(now)) {
            return AdmitStep::Refuse(refusal(ErrorCode::Overloaded, wait));
        }
        if self.queue.len() == 0 && self.has_place() {
            self.running.insert(arrival.ticket);
            return AdmitStep::Run;
        }
        let wait = self.expected_wait(arrival);
        if arrival.start_by < now.after(wait) {
            return AdmitStep::Refuse(refusal(ErrorCode::Deadline, wait));
        }
        match self.queue.push(arrival, self.most) {
            QueueStep::Waits => AdmitStep::Queued,
            QueueStep::Full => AdmitStep::Refuse(refusal(ErrorCode::Overloaded, wait)),
            QueueStep::Replaces(ticket) => AdmitStep::Displaced {
                ticket,
                refusal: refusal(ErrorCode::Overloaded, wait),
            },
        }
    }

    /// Returns what to do next; to be asked until it is idle, and again at the time it names.
    pub fn next(&mut self, now: Timestamp) -> NextStep {
        if self.expired.is_empty() {
            self.expired = self.queue.expire(now);
        }
        if let Some(ticket) = self.expired.pop() {
            return NextStep::Refuse(ticket, refusal(ErrorCode::Deadline, LEAST_RETRY));
        }
        if self.has_place()
            && let Some((ticket, _)) = self.queue.pop()
        {
            self.running.insert(ticket);
            return NextStep::Run(ticket);
        }
        NextStep::Idle(self.queue.first_expiry().map(just_after))
    }

    /// Counts a request that an agent has accepted.
    pub const fn accepted(&mut self) {
        self.limit.accepted();
    }

    /// Counts an agent's refusal for want of a slot.
    pub fn busy(&mut self, now: Timestamp) {
        self.limit.busy(self.running.len() as u32, now);
    }

    /// Takes out a request that ran, and its run time if it was answered.
    pub fn finished(&mut self, ticket: Ticket, run_time: Option<Duration>) {
        if !self.running.remove(&ticket) {
            return;
        }
        let Some(seconds) = run_time.map(|t| t.as_secs_f64()) else {
            return;
        };
        if self.run_time == 0.0 {
            self.run_time = seconds;
        } else {
            self.run_time += (seconds - self.run_time) * SMOOTHING;
        }
    }

    /// Takes out a waiting request whose caller has left.
    pub fn abandon(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
        self.expired.retain(|t| *t != ticket);
    }

    fn has_place(&self) -> bool {
        self.running.len() < self.limit.get() as usize
    }

    /// Estimates the wait from the requests ahead and the rate at which places become free.
    fn expected_wait(&self, arrival: &Arrival) -> Duration {
        let ahead = self.queue.ahead_of(arrival) as f64 + 1.0;
        let places = f64::from(self.limit.get().max(1));
        Duration::try_from_secs_f64(ahead * self.run_time / places).unwrap_or(Duration::MAX)
    }
}

const fn just_after(at: Timestamp) -> Timestamp {
    at.after(Duration::from_micros(1))
}

fn refusal(code: ErrorCode, wait: Duration) -> Refusal {
    Refusal {
        code,
        retry_after: wait.clamp(LEAST_RETRY, MOST_RETRY),
    }
}
