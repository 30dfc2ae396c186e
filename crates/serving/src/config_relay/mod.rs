//! Distributes the configuration from the store over a few agents of each region.
//!
//! A configuration may be large, and the link between two regions is shared by all traffic, so not
//! every process can read it there. [`kumquatkeel_core::serving::ConfigUpstream`] decides which agents
//! watch the store; all other processes hold a connection to an agent, which sends each newer
//! configuration and each confirmation by the store that there is none.

mod follower;
mod frame;
mod hub;
mod server;

pub(crate) use follower::{ConfigFollower, FollowerSettings};
pub(crate) use hub::ConfigHub;
pub(crate) use server::serve_followers;
