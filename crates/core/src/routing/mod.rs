//! The choice of a target for each attempt of a request.
//!
//! An entry routes an attempt after admission and before dispatch. [`FleetView`] holds what the
//! fleet's members report to the entry. [`Router`] combines it with the entry's own state (requests
//! in flight, failures, prompt prefixes, the regional link's byte budget) and asks a
//! [`RoutingPolicy`], a plug-in that the configuration selects by name.
//!
//! ```
//! use kumquatkeel_core::plugin::{find_plugin, plugin_names};
//! use kumquatkeel_core::routing::RoutingPlugin;
//!
//! assert!(plugin_names::<RoutingPlugin>().contains(&"least-loaded"));
//! assert!(find_plugin::<RoutingPlugin>("fastest").is_err());
//! ```

pub mod link;
pub mod prefix;

mod candidate;
mod in_flight;
mod least_in_flight;
mod least_loaded;
mod policy;
mod replica;
mod round_robin;
mod router;
mod sample;
mod selection;
mod update;
mod view;

pub use candidate::{Candidate, Distance, RouteRequest};
pub use in_flight::InFlight;
pub use policy::{RouteStep, RoutingPlugin, RoutingPolicy};
pub use replica::ReplicaView;
pub use router::{RouteProgress, Router};
pub use view::{AgentView, FleetView, ViewStep};
