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

/// What an agent answers.
#[rpc(client, server, namespace = "agent")]
pub trait AgentApi {
    /// Says how soon a request for a model could start.
    #[method(name = "probe")]
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeReply>;

    /// Makes sure that an attempt never starts from now on, and says what became of it.
    #[method(name = "fence")]
    async fn fence(&self, request: FenceRequest) -> RpcResult<FenceReply>;

    /// Takes an order from the holder of the placement lease.
    #[method(name = "order")]
    async fn order(&self, order: Order) -> RpcResult<OrderReply>;

    /// Reports the agent and its target.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Member>;
}

/// What a relay answers; any entry can be one.
#[rpc(client, server, namespace = "relay")]
pub trait RelayApi {
    /// Returns what is newer than the sender's state, waiting for it if need be.
    #[method(name = "poll")]
    async fn poll(&self, request: PollRequest) -> RpcResult<PollReply>;

    /// Applies an operation on a partition of the ledger that this entry batches.
    #[method(name = "ledger")]
    async fn ledger(&self, operation: Operation) -> RpcResult<OpAnswer>;

    /// Returns the demand that this entry has seen, for the holder of the placement lease.
    #[method(name = "demand")]
    async fn demand(&self) -> RpcResult<DemandReport>;
}

/// What an entry answers to other entries.
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
