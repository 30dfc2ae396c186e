//! Questions to agents.

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

/// Longest wait for an agent's answer to a question.
pub const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an agent's load; a later answer would cost more than it brings.
const PROBE_TIMEOUT: Duration = Duration::from_millis(80);

/// Asks targets for their load, and notes the answers for the next choice.
pub(super) async fn probe(state: &Arc<EntryState>, request: &RouteRequest, targets: &[TargetName]) {
    state.metrics.count_probes(&request.service, targets.len());
    let asked = targets.iter().map(|target| ask(state, request, target));
    for (target, reply) in targets.iter().zip(join_all(asked).await) {
        let now = state.clock.now();
        let mut routing = state.routing();
        if let (Some(router), Some(reply)) = (&mut routing.router, reply) {
            router.probed(request, target, &reply, now);
        }
    }
}

async fn ask(
    state: &Arc<EntryState>,
    request: &RouteRequest,
    target: &TargetName,
) -> Option<ProbeReply> {
    let client = state.rpc_client_for(address_of(state, target)?)?;
    let question = ProbeRequest {
        model: request.model.clone(),
        adapter: request.adapter.clone(),
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, client.probe(question)).await;
    match answer {
        Ok(Ok(reply)) => Some(reply),
        Ok(Err(error)) => {
            debug!(target: "path", "path: probe of {target} failed: {error}");
            None
        }
        Err(_) => None,
    }
}

/// Asks an agent to fence an attempt.
pub(super) async fn fence(
    state: &Arc<EntryState>,
    target: &TargetName,
    request: FenceRequest,
) -> FlowEvent {
    let attempt = request.attempt.clone();
    let client = address_of(state, target).and_then(|address| state.rpc_client_for(address));
    let Some(client) = client else {
        return FlowEvent::FenceFailed(attempt);
    };
    match client.fence(request).await {
        Ok(reply) => FlowEvent::Fenced { attempt, reply },
        Err(error) => {
            debug!(target: "path", "path: fence of {attempt} at {target} failed: {error}");
            FlowEvent::FenceFailed(attempt)
        }
    }
}

/// Returns where a target's agent takes work.
pub(super) fn address_of(state: &EntryState, target: &TargetName) -> Option<SocketAddr> {
    let routing = state.routing();
    let view = routing.router.as_ref()?.view();
    view.agent(target).map(|agent| agent.address)
}
