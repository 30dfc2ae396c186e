//! Admission control at an entry: bounded queues, priorities, deadlines and rate limits.
//!
//! A request passes the [`AdmissionController`] of its service before it is routed. The controller
//! runs the request, queues it by priority and then by latest start, or refuses it at once as not
//! run. The number of running requests adapts to what the agents accept ([`ConcurrencyLimit`]). A
//! service's rate limit holds over all entries: one entry grants shares of the rate to the others
//! ([`ShareGranter`], [`ShareHolder`]), so that no counter is needed in the store.

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
