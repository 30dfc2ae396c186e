//! The JSON-RPC interfaces between the system's processes.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use kumquatkeel_core::admission::ShareGrant;
use kumquatkeel_core::ledger::{OpAnswer, Operation};
use kumquatkeel_types::message::{
    DemandReport, FenceReply, FenceRequest, Member, Order, OrderReply, PollReply, PollRequest,
    ProbeReply, ProbeRequest,
};
use kumquatkeel_types::{EntryName, ServiceName};

/// RPC methods of an agent.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Returns how soon a request for a model could start.
    #[method(name = "probe")]
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeReply>;

    /// Prevents an attempt from starting from now on, and returns its outcome so far.
    #[method(name = "fence")]
    async fn fence(&self, request: FenceRequest) -> RpcResult<FenceReply>;

    /// Applies an order from the holder of the placement lease.
    #[method(name = "order")]
    async fn order(&self, order: Order) -> RpcResult<OrderReply>;

    /// Returns the report of the agent and its target.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Member>;
}

/// RPC methods of a relay; any entry can be one.
#[rpc(client, server, namespace = "relay")]
pub trait RelayApi {
    /// Returns the updates that the sender does not have yet; without any, waits for some up to the
    /// requested time.
    #[method(name = "poll")]
    async fn poll(&self, request: PollRequest) -> RpcResult<PollReply>;

    /// Applies an operation to a partition of the ledger whose writes this entry batches.
    #[method(name = "ledger")]
    async fn ledger(&self, operation: Operation) -> RpcResult<OpAnswer>;

    /// Returns the demand that this entry has measured, for the holder of the placement lease.
    #[method(name = "demand")]
    async fn demand(&self) -> RpcResult<DemandReport>;
}

/// RPC methods of an entry for other entries.
#[rpc(client, server, namespace = "entry")]
pub trait EntryApi {
    /// Grants a share of a service's rate to an entry with `demand` requests a second.
    #[method(name = "share")]
    async fn share(
        &self,
        entry: EntryName,
        service: ServiceName,
        demand: f64,
    ) -> RpcResult<ShareGrant>;
}
