//! Distribution of the configuration and of the member reports among all daemons.
//!
//! Updates travel by long polls. In each data centre, a few entries are relays: they watch the
//! store and poll each other, and the first relay also polls the other data centres. Every other
//! daemon polls one entry, its parent. A *source* is an entry that this daemon polls; a *child* is
//! a daemon that polls this one.
//!
//! [`Hub`] holds the state of one daemon and answers its children. [`SpreadClient`] runs the tasks
//! that keep the hub up to date. Readers take a [`SharedView`] from a watch channel.

mod boot;
mod client;
mod discover;
mod failing;
mod hub;
mod plan;
mod relay;
mod restore;
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
