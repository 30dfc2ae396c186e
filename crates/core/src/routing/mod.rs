//! The choice of a target for an attempt.
//!
//! [`FleetView`] keeps what an entry has heard of the targets. [`Router`] joins it with what the
//! entry knows by itself (requests in flight, failures, prompt prefixes, the regional link's byte
//! budget) and asks a [`RoutingPolicy`], a plug-in that the document chooses by name.
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
mod news;
mod policy;
mod replica;
mod round_robin;
mod router;
mod sample;
mod shown;
mod view;

pub use candidate::{Candidate, Distance, RouteRequest};
pub use in_flight::InFlight;
pub use policy::{RouteStep, RoutingPlugin, RoutingPolicy};
pub use replica::ReplicaView;
pub use router::{RouteProgress, Router};
pub use view::{AgentView, FleetView, ViewStep};
