//! Admission of requests at an entry: bounded queues, priorities, deadlines and rates.
//!
//! A [`AdmissionController`] stands before each service. It lets a request run, queues it by priority and
//! then by deadline, or refuses it at once as not run. The number of requests that run follows
//! what the agents accept ([`ConcurrencyLimit`]). A service's rate holds over all entries because
//! one entry grants shares of it ([`ShareGranter`]), so that the store keeps no counter.

mod concurrency;
mod controller;
mod holder;
mod queue;
mod rate;
mod share;

pub use concurrency::ConcurrencyLimit;
pub use controller::{AdmissionController, AdmitStep, NextStep, Refusal, ServiceLimits};
pub use holder::{ShareHolder, ShareStep};
pub use queue::{Arrival, Ticket};
pub use rate::{RateBucket, RateStep};
pub use share::{GRANT_TTL, ShareGrant, ShareGranter};
