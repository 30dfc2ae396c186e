//! How every daemon comes to the configuration in force and to know the other processes.
//!
//! [`Hub`] holds what a daemon knows and answers those that poll it. [`SpreadClient`] keeps it up
//! to date from the store or from a parent. Readers take a [`SharedView`] from a watch channel.

mod boot;
mod client;
mod discover;
mod failing;
mod hub;
mod plan;
mod relay;
mod state;
mod status;
mod transport;
mod uplink;
mod view;

pub use client::{SpreadClient, SpreadOptions};
pub use hub::Hub;
pub use plan::{Peer, Plan};
pub use status::{CentreStatus, STATUS_PREFIX};
pub use transport::{PollError, RpcTransport, SpreadTransport};
pub use view::SharedView;
