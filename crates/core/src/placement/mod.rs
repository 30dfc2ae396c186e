//! The placement of models and adapters on accelerators.
//!
//! A [`PlacementPolicy`] looks at a [`PlanInput`] once a round and answers with the orders to give
//! now. Policies register themselves and are chosen by name:
//!
//! | name | what it does |
//! |---|---|
//! | `static` | places once, by even shares, and follows no demand |
//! | `greedy` | places anew for the present demand in each round |
//! | `demand` | follows demand where a move pays, and keeps what is there otherwise |
//!
//! ```
//! use kumquatkeel_core::plugin::{find_plugin, plugin_names};
//! use kumquatkeel_core::placement::PlacementPlugin;
//!
//! assert_eq!(plugin_names::<PlacementPlugin>(), ["demand", "greedy", "static"]);
//! assert!(find_plugin::<PlacementPlugin>("demand").is_ok());
//! ```

mod adapters;
mod board;
mod demand;
mod estimate;
mod even;
mod flow;
mod greedy;
mod input;
mod limiter;
pub(crate) use limiter::LoadLimiter;
mod model_row;
mod pending;
mod policy;
mod repair;
mod round;

pub use input::{Demand, PlacedReplica, PlanInput};
pub use policy::{PlacementPlugin, PlacementPolicy, PlannedOrder};
