//! Loads models through the agents' order interface, in the place of a planner.

use std::collections::BTreeSet;
use std::time::Duration;

use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::AgentApiClient;
use kumquatkeel_types::document::{RawDocument, ServedModel};
use kumquatkeel_types::message::{Member, Order, OrderAction, OrderResult, ReplicaState};
use kumquatkeel_types::{Epoch, ModelId, TargetName};

use super::{Fleet, FleetError, PEER_KEY};

/// The epoch of a test's own orders: above that of every lease, so that no planner interferes.
const ORDER_EPOCH: Epoch = Epoch(1 << 32);
/// The step that an error names.
const STEP: &str = "order a load";
/// Longest wait for an agent's answer.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a load.
const LOAD_LIMIT: Duration = Duration::from_secs(30);

impl Fleet {
    /// Orders every model and adapter onto every engine, and waits until all are resident.
    ///
    /// # Errors
    ///
    /// Fails when an agent refuses an order or a load does not end.
    pub async fn load_all(&mut self) -> Result<(), FleetError> {
        let engines: Vec<TargetName> = self.engines.keys().cloned().collect();
        let actions = loads_of(&self.document);
        for target in &engines {
            for action in &actions {
                self.load(target, action).await?;
            }
        }
        Ok(())
    }

    /// Waits until the planner has every model and adapter resident on some engine.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn wait_placed(&self) -> Result<(), FleetError> {
        for action in loads_of(&self.document) {
            let agents = self.agents.values().map(|agent| agent.handle().member());
            let placed = agents.map(|mut member| {
                let action = action.clone();
                Box::pin(async move {
                    let resident = member.wait_for(|member| is_resident(member, &action));
                    resident.await.map(drop)
                })
            });
            let placed = futures::future::select_ok(placed);
            match tokio::time::timeout(LOAD_LIMIT, placed).await {
                Ok(Ok(_)) => {}
                _ => {
                    return Err(FleetError::step(
                        "wait for the planner",
                        format!("{action:?}"),
                    ));
                }
            }
        }
        Ok(())
    }

    /// Orders one load and waits until it shows.
    ///
    /// # Errors
    ///
    /// Fails when the agent refuses the order or the load does not end.
    pub async fn load(
        &mut self,
        target: &TargetName,
        action: &OrderAction,
    ) -> Result<(), FleetError> {
        loop {
            match self.order(target, action).await? {
                OrderResult::Started | OrderResult::Already => break,
                OrderResult::Quarantined { retry_after_ms } => {
                    tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
                }
                result => {
                    return Err(FleetError::step(STEP, format!("{action:?}: {result:?}")));
                }
            }
        }
        let mut member = self.agents[target].handle().member();
        let resident = member.wait_for(|member| is_resident(member, action));
        match tokio::time::timeout(LOAD_LIMIT, resident).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(FleetError::step("wait for a load", format!("{action:?}"))),
        }
    }

    /// Gives one order and returns the agent's answer.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn order(
        &mut self,
        target: &TargetName,
        action: &OrderAction,
    ) -> Result<OrderResult, FleetError> {
        self.orders += 1;
        let agent = self.agents[target].handle();
        let failed = |reason: String| FleetError::step(STEP, reason);
        let key = PeerKey::try_from(PEER_KEY).map_err(|fault| failed(fault.to_string()))?;
        let client = rpc_client(agent.address(), &key, ORDER_TIMEOUT)
            .map_err(|error| failed(error.to_string()))?;
        let order = Order {
            epoch: ORDER_EPOCH,
            number: self.orders,
            target: target.clone(),
            incarnation: agent.incarnation(),
            action: action.clone(),
        };
        let reply = client.order(order).await;
        reply
            .map(|reply| reply.result)
            .map_err(|error| failed(error.to_string()))
    }
}

/// Returns the loads of every served model and its adapters onto the first accelerator.
fn loads_of(document: &RawDocument) -> Vec<OrderAction> {
    let served = document.deployments.iter().flat_map(|d| &d.models);
    let models: BTreeSet<ModelId> = served.map(ServedModel::id).collect();
    models
        .into_iter()
        .flat_map(|model| loads_of_model(document, model))
        .collect()
}

fn loads_of_model(document: &RawDocument, model: ModelId) -> Vec<OrderAction> {
    let adapters = document.adapters.iter().filter(|a| a.model == model.name);
    let adapters = adapters.map(|adapter| OrderAction::LoadAdapter {
        adapter: adapter.name.clone(),
        model: model.clone(),
        accelerator: 0,
    });
    let adapters: Vec<_> = adapters.collect();
    let load = OrderAction::Load {
        model,
        accelerator: 0,
    };
    std::iter::once(load).chain(adapters).collect()
}

fn is_resident(member: &Member, action: &OrderAction) -> bool {
    let replicas = member.target.iter().flat_map(|target| &target.replicas);
    replicas
        .filter(|replica| replica.state == ReplicaState::Ready)
        .any(|replica| match action {
            OrderAction::LoadAdapter { adapter, model, .. } => {
                replica.model == *model && replica.adapters.contains(adapter)
            }
            OrderAction::Load { model, .. } => replica.model == *model,
            OrderAction::Unload { .. } | OrderAction::UnloadAdapter { .. } => true,
        })
}
