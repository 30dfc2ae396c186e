//! The ledger of calls that run at most once, across all entries.
//!
//! The request path claims a call before sending it and records the outcome afterwards.
//! [`StoreLedger`] keeps the claims in the platform's store, in partitions. The operations on a
//! partition go to the entry that owns it, which writes them in batches.

mod answer;
mod peers;
mod request;
mod rpc_peers;
mod service;
mod wall;
mod worker;

pub use answer::{ClaimAnswer, ClaimLedger, SettleAnswer};
pub use peers::LedgerPeers;
pub use request::RequestLedger;
pub use rpc_peers::RpcPeers;
pub use service::{LedgerOptions, StoreLedger};
pub use wall::WallClock;
