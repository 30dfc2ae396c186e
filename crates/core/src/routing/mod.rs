//! The choice of a target for an attempt.

mod candidate;
mod policy;

pub use candidate::{Candidate, Distance, RouteRequest};
pub use policy::{RouteStep, RoutingPlugin, RoutingPolicy};
