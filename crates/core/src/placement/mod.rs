//! Placement of models and adapters on accelerators.
//!
//! The entry that holds the lease runs one planning round at a time: a [`PlacementPolicy`] takes a
//! [`PlanInput`] built from agent reports and demand counts, and returns the [`PlannedOrder`]s to
//! send to the agents. Policies register themselves as [`PlacementPlugin`]s, and the configuration
//! selects one by name:
//!
//! | Name | Behaviour |
//! |---|---|
//! | `static` | assigns replicas evenly over all engines and ignores demand |
//! | `greedy` | recomputes the whole placement from the current demand in each round |
//! | `demand` | adds replicas where the expected gain outweighs the moves, keeps the rest |
//!
//! ```
//! use kumquatkeel_core::plugin::{find_plugin, plugin_names};
//! use kumquatkeel_core::placement::PlacementPlugin;
//!
//! assert_eq!(plugin_names::<PlacementPlugin>(), ["demand", "greedy", "static"]);
//! assert!(find_plugin::<PlacementPlugin>("demand").is_ok());
//! ```

mod adapters;
mod demand;
mod distribution;
mod estimate;
mod greedy;
mod input;
mod layout;
mod limiter;
mod static_policy;
pub(crate) use limiter::LoadLimiter;
mod model_row;
mod pending;
mod policy;
mod repair;
mod round;

pub use input::{Demand, PlacedReplica, PlanInput};
pub use policy::{PlacementPlugin, PlacementPolicy, PlannedOrder};
