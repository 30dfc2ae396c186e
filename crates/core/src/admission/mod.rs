//! Admission of requests at an entry: bounded queues, priorities, deadlines and rates.
//!
//! A [`ServiceGate`] stands before each service. It lets a request run, queues it by priority and
//! then by deadline, or refuses it at once as not run. The number of requests that run follows
//! what the agents accept ([`ConcurrencyLimit`]). A service's rate holds over all entries because
//! one entry grants shares of it ([`RateShares`]), so that the store keeps no counter.

mod concurrency;
mod gate;
mod holder;
mod queue;
mod rate;
mod share;

pub use concurrency::ConcurrencyLimit;
pub use gate::{AdmitStep, NextStep, Refusal, ServiceGate, ServiceLimits};
pub use holder::{ShareHolder, ShareStep};
pub use queue::{Arrival, Ticket};
pub use rate::{RateBucket, RateStep};
pub use share::{RateShares, SHARE_LIFE, ShareGrant};
