//! The planner's RPCs: demand reports from entries and orders to agents.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use kumquatkeel_core::demand::DemandTotal;
use kumquatkeel_daemon::http::rpc_client;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::rpc::{AgentApiClient, RelayApiClient};
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::message::{DemandReport, Order, OrderReply};
use log::debug;
use tokio::time::timeout;

/// Timeout of a request for an entry's demand report.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of an order to an agent.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// The planner's RPC access to entries and agents.
#[derive(Debug)]
pub(super) struct PlannerPeers {
    key: PeerKey,
}

impl PlannerPeers {
    pub(super) const fn new(key: PeerKey) -> Self {
        Self { key }
    }

    /// Collects and adds up the demand of all serving entries; one without a reply counts as zero.
    pub(super) async fn demand(&self, view: &SharedView) -> DemandTotal {
        let entries = view.serving_entries().map(|(_, member)| member.address);
        let reports = join_all(entries.map(|address| self.demand_of(address))).await;
        let mut total = DemandTotal::default();
        for report in reports.into_iter().flatten() {
            total.add(&report);
        }
        total
    }

    async fn demand_of(&self, address: SocketAddr) -> Option<DemandReport> {
        let client = rpc_client(address, &self.key, DEMAND_TIMEOUT).ok()?;
        match RelayApiClient::demand(&client).await {
            Ok(report) => Some(report),
            Err(error) => {
                debug!(target: "placement", "placement: no demand report from {address}: {error}");
                None
            }
        }
    }

    pub(super) async fn send(&self, agent: SocketAddr, order: Order) -> Result<OrderReply, String> {
        let client = rpc_client(agent, &self.key, ORDER_TIMEOUT).map_err(|e| e.to_string())?;
        match timeout(ORDER_TIMEOUT, AgentApiClient::order(&client, order)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the agent did not answer in time".into()),
        }
    }
}
