//! Loads the demo's models through its agents' order interface.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_types::document::{Model, RawDocument};
use kumquatkeel_types::message::{Order, OrderAction, OrderResult, ReplicaState, Role};
use kumquatkeel_types::{Epoch, ModelId, TargetName};

use super::DemoError;
use super::fleet::{Fleet, peer_key};

/// The step that an error names.
const STEP: &str = "order a load";
/// Longest wait for an agent's answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for everything to be resident.
const RESIDENT_TIMEOUT: Duration = Duration::from_secs(30);

/// What is to be resident on one target.
#[derive(Debug, Clone)]
struct Wanted {
    target: TargetName,
    actions: Vec<OrderAction>,
}

/// Orders every model and adapter onto every engine, and waits until all are resident.
pub(super) async fn place(fleet: &Fleet) -> Result<(), DemoError> {
    let wanted = wanted(&fleet.document);
    for wanted in &wanted {
        for action in &wanted.actions {
            order(fleet, &wanted.target, action).await?;
            await_resident(fleet, &wanted.target, action).await?;
        }
    }
    Ok(())
}

fn wanted(document: &RawDocument) -> Vec<Wanted> {
    let engines = document.targets.iter().filter(|t| t.accelerators > 0);
    let models: Vec<ModelId> = document.models.iter().map(Model::id).collect();
    engines
        .map(|target| Wanted {
            target: target.name.clone(),
            actions: models
                .iter()
                .flat_map(|model| actions_of(document, model))
                .collect(),
        })
        .collect()
}

fn actions_of(document: &RawDocument, model: &ModelId) -> Vec<OrderAction> {
    let load = OrderAction::Load {
        model: model.clone(),
        accelerator: 0,
    };
    let adapters = document.adapters.iter().filter(|a| a.model == model.name);
    let adapters = adapters.map(|adapter| OrderAction::LoadAdapter {
        adapter: adapter.name.clone(),
        model: model.clone(),
        accelerator: 0,
    });
    std::iter::once(load).chain(adapters).collect()
}

/// Gives an order, again while the agent is quarantined.
async fn order(fleet: &Fleet, target: &TargetName, action: &OrderAction) -> Result<(), DemoError> {
    let peer = fleet.agent(target)?.address();
    loop {
        let result = order_once(fleet, target, action).await?;
        match result {
            OrderResult::Started | OrderResult::Already => return Ok(()),
            OrderResult::Quarantined { retry_after_ms } => {
                tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
            }
            result => {
                let reason = format!("{action:?}: {result:?}");
                return Err(DemoError::step(STEP, peer, reason));
            }
        }
    }
}

async fn order_once(
    fleet: &Fleet,
    target: &TargetName,
    action: &OrderAction,
) -> Result<OrderResult, DemoError> {
    let agent = fleet.agent(target)?;
    let peer = agent.address();
    let client = rpc_client(peer, &peer_key(peer)?, ORDER_TIMEOUT)
        .map_err(|error| DemoError::step(STEP, peer, error.to_string()))?;
    let order = Order {
        epoch: Epoch(1),
        number: fleet.next_order(),
        target: target.clone(),
        incarnation: agent.incarnation(),
        action: action.clone(),
    };
    let reply = client
        .order(order)
        .await
        .map_err(|error| DemoError::step(STEP, peer, error.to_string()))?;
    Ok(reply.result)
}

async fn await_resident(
    fleet: &Fleet,
    target: &TargetName,
    action: &OrderAction,
) -> Result<(), DemoError> {
    let agent = fleet.agent(target)?;
    let mut member = agent.member();
    let resident = member.wait_for(|member| {
        let replicas = member.target.iter().flat_map(|t| &t.replicas);
        replicas
            .filter(|replica| replica.state == ReplicaState::Ready)
            .any(|replica| match action {
                OrderAction::LoadAdapter { adapter, model, .. } => {
                    replica.model == *model && replica.adapters.contains(adapter)
                }
                OrderAction::Load { model, .. } => replica.model == *model,
                _ => true,
            })
    });
    let peer: SocketAddr = agent.address();
    match tokio::time::timeout(RESIDENT_TIMEOUT, resident).await {
        Ok(Ok(_)) => Ok(()),
        _ => Err(DemoError::step(
            "wait for a load",
            peer,
            format!("{action:?}"),
        )),
    }
}

/// Says which agent reported.
pub(super) fn is_agent_of(role: &Role, target: &TargetName) -> bool {
    matches!(role, Role::Agent(name) if name == target)
}
