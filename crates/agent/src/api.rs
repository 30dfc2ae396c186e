//! The agent's JSON-RPC interface.

use std::sync::Arc;

use async_trait::async_trait;
use jsonrpsee::core::RpcResult;
use kumquatkeel_core::scheduler::PoolId;
use kumquatkeel_daemon::rpc::AgentApiServer;
use kumquatkeel_types::message::{
    FenceReply, FenceRequest, Member, Order, OrderReply, ProbeReply, ProbeRequest,
};
use log::info;

use crate::orders::handle_order;
use crate::shared::Shared;

/// Implements the JSON-RPC methods that the system's other processes call.
pub(crate) struct Api(pub(crate) Arc<Shared>);

#[async_trait]
impl AgentApiServer for Api {
    async fn probe(&self, request: ProbeRequest) -> RpcResult<ProbeReply> {
        let pool = request.model.map_or(PoolId::Plain, PoolId::Model);
        let core = self.0.core();
        Ok(ProbeReply {
            incarnation: self.0.incarnation,
            draining: core.scheduler.is_draining(),
            resident: core.scheduler.serves(&pool, request.adapter.as_ref()),
            load: core.scheduler.pool_load(&pool),
        })
    }

    async fn fence(&self, request: FenceRequest) -> RpcResult<FenceReply> {
        let reply = self.0.core().fence(&request, self.0.now());
        self.0.changed.notify_waiters();
        let attempt = &request.attempt;
        info!(target: "fence", "fence: {attempt} is {}", reply_label(&reply));
        Ok(reply)
    }

    async fn order(&self, order: Order) -> RpcResult<OrderReply> {
        Ok(handle_order(&self.0, &order))
    }

    async fn status(&self) -> RpcResult<Member> {
        self.0.publish();
        Ok(self.0.member.borrow().clone())
    }
}

/// Returns a log label of the reply, without the caller's data.
const fn reply_label(reply: &FenceReply) -> &'static str {
    match reply {
        FenceReply::NotRun => "not run",
        FenceReply::Running => "running",
        FenceReply::Answered { .. } => "answered",
        FenceReply::Unknown => "unknown",
        FenceReply::WrongIncarnation { .. } => "of another incarnation",
    }
}
