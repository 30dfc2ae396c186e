//! RPCs to agents on the request path: load probes and fences.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use kumquatkeel_core::request::FlowEvent;
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_types::TargetName;
use kumquatkeel_types::message::{FenceRequest, ProbeReply, ProbeRequest};
use log::debug;

use crate::EntryState;

/// Timeout of an RPC to an agent.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a load probe; a longer wait delays the request by more than the reply saves it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Probes the targets in parallel and passes their replies to the router.
///
/// A target without a reply within the timeout is left out.
pub(super) async fn probe(state: &Arc<EntryState>, request: &RouteRequest, targets: &[TargetName]) {
    state.metrics.count_probes(&request.service, targets.len());
    let probes = targets
        .iter()
        .map(|target| probe_target(state, request, target));
    for (target, reply) in targets.iter().zip(join_all(probes).await) {
        let now = state.clock.now();
        let mut routing = state.routing();
        if let (Some(router), Some(reply)) = (&mut routing.router, reply) {
            router.probed(request, target, &reply, now);
        }
    }
}

async fn probe_target(
    state: &Arc<EntryState>,
    request: &RouteRequest,
    target: &TargetName,
) -> Option<ProbeReply> {
    let client = state.rpc_client_for(agent_address(state, target)?)?;
    let probe_request = ProbeRequest {
        model: request.model.clone(),
        adapter: request.adapter.clone(),
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, client.probe(probe_request)).await;
    match answer {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(error)) => {
            debug!(target: "path", "path: probe of {target} failed: {error}");
            None
        }
        Err(_) => None,
    }
}

/// Asks the target's agent to fence an attempt and returns the result as a flow event.
pub(super) async fn fence(
    state: &Arc<EntryState>,
    target: &TargetName,
    request: FenceRequest,
) -> FlowEvent {
    let attempt = request.attempt.clone();
    let client = agent_address(state, target).and_then(|address| state.rpc_client_for(address));
    let Some(client) = client else {
        return FlowEvent::FenceFailed(attempt);
    };
    match client.fence(request).await {
        Ok(reply) => FlowEvent::Fenced { attempt, reply },
        Err(error) => {
            debug!(target: "path", "path: fencing attempt {attempt} at {target} failed: {error}");
            FlowEvent::FenceFailed(attempt)
        }
    }
}

/// Returns the address of the target's agent; `None` when the agent is unknown or there is no
/// configuration yet.
pub(super) fn agent_address(state: &EntryState, target: &TargetName) -> Option<SocketAddr> {
    let routing = state.routing();
    let view = routing.router.as_ref()?.view();
    view.agent(target).map(|agent| agent.address)
}
