//! The RPCs that an entry serves to other processes: polls for fleet updates, ledger operations of
//! the partitions that it owns, and its demand report.

mod fleet;

pub use fleet::HubFleetSource;

use std::sync::Arc;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use kumquatkeel_core::ledger::{OpAnswer, Operation};
use kumquatkeel_daemon::rpc::RelayApiServer;
use kumquatkeel_daemon::spread::Hub;
use kumquatkeel_types::message::{DemandReport, PollReply, PollRequest};

use crate::demand::SharedDemand;
use crate::ledger::StoreLedger;

/// The RPC service of an entry for other entries and agents.
#[derive(Clone)]
pub struct RelayService {
    hub: Arc<Hub>,
    ledger: StoreLedger,
    demand: SharedDemand,
}

impl RelayService {
    /// Creates the service, which answers from `hub`, `ledger` and `demand`.
    pub const fn new(hub: Arc<Hub>, ledger: StoreLedger, demand: SharedDemand) -> Self {
        Self {
            hub,
            ledger,
            demand,
        }
    }
}

#[async_trait]
impl RelayApiServer for RelayService {
    async fn poll(&self, request: PollRequest) -> RpcResult<PollReply> {
        Ok(self.hub.answer(request).await)
    }

    async fn ledger(&self, operation: Operation) -> RpcResult<OpAnswer> {
        Ok(self.ledger.apply(&operation).await)
    }

    async fn demand(&self) -> RpcResult<DemandReport> {
        Ok(self.demand.report())
    }
}
