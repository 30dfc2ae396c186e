//! Calls that run at most once, over all entries.
//!
//! The request path claims a call before it sends it, and settles it after. [`StoreLedger`] keeps
//! the claims in the platform's store.

mod answer;
mod bridge;
mod peers;
mod rpc_peers;
mod service;
mod wall;
mod worker;

pub use answer::{CallLedger, ClaimAnswer, SettleAnswer};
pub use bridge::RequestLedger;
pub use peers::LedgerPeers;
pub use rpc_peers::RpcPeers;
pub use service::{LedgerOptions, StoreLedger};
pub use wall::WallClock;
