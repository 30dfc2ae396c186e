//! The loop that plans placement and sends orders while this entry holds the placement lease.

use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::demand::DemandTotal;
use kumquatkeel_core::lease::{ActionKind, LeaseStatus};
use kumquatkeel_core::placement::{PlacementPlugin, PlacementPolicy, PlanInput, PlannedOrder};
use kumquatkeel_core::plugin::find_plugin;
use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::Epoch;
use kumquatkeel_types::message::{Member, Order, OrderAction, Role};
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::LeaseManager;
use super::fleet::FleetState;
use super::peers::PlannerPeers;

/// Interval between planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Plans placement at a fixed interval and sends the planned orders to the agents.
pub struct PlacementLoop {
    clock: Clock,
    view: watch::Receiver<SharedView>,
    lease_manager: Arc<LeaseManager>,
    peers: PlannerPeers,
    policy: Option<NamedPolicy>,
    orders: u64,
}

/// The input of one planning round, besides the configuration.
#[derive(Clone, Copy)]
struct Round<'a> {
    fleet: &'a FleetState,
    demand: &'a DemandTotal,
    epoch: Epoch,
    additive_only: bool,
}

/// The policy in use, with its name in the configuration.
struct NamedPolicy {
    name: String,
    policy: Box<dyn PlacementPolicy>,
}

impl PlacementLoop {
    /// Creates the loop of an entry, which plans while `lease_manager` holds the lease; while the
    /// lease is in doubt, it sends additive orders only.
    pub fn new(
        view: watch::Receiver<SharedView>,
        lease_manager: Arc<LeaseManager>,
        key: PeerKey,
    ) -> Self {
        Self {
            clock: Clock::start(),
            view,
            lease_manager,
            peers: PlannerPeers::new(key),
            policy: None,
            orders: 0,
        }
    }

    /// Runs planning rounds until `stop` is cancelled.
    pub async fn run(mut self, stop: CancellationToken) {
        let mut ticks = interval(ROUND_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while stop.run_until_cancelled(ticks.tick()).await.is_some() {
            if stop.run_until_cancelled(self.round()).await.is_none() {
                return;
            }
        }
    }

    async fn round(&mut self) {
        let (epoch, additive_only) = match self.lease_manager.status() {
            LeaseStatus::Held(epoch) => (epoch, false),
            LeaseStatus::InDoubt(epoch) => (epoch, true),
            LeaseStatus::NotHeld => {
                self.policy = None;
                return;
            }
        };
        let view = self.view.borrow().clone();
        if !view.is_ready() {
            return;
        }
        let fleet = FleetState::from_view(&view);
        for order in fleet.fencing_orders(epoch) {
            self.send_order(&view, order).await;
        }
        let demand = self.peers.demand(&view).await;
        let round = Round {
            fleet: &fleet,
            demand: &demand,
            epoch,
            additive_only,
        };
        for order in self.plan(&view, &round) {
            self.send_order(&view, order).await;
        }
    }

    fn plan(&mut self, view: &SharedView, round: &Round<'_>) -> Vec<PlannedOrder> {
        let Round {
            fleet,
            demand,
            epoch,
            additive_only,
        } = *round;
        let input = PlanInput {
            now: self.clock.now(),
            document: &view.document,
            serving: &fleet.serving,
            leaving: &fleet.draining,
            replicas: &fleet.replicas,
            demand: &demand.models,
            adapter_demand: &demand.adapters,
            committed_mb: &fleet.committed_mb,
            fenced: &fleet.fenced_by(epoch),
            loading: fleet.loading,
            additive_only,
        };
        let Some(policy) = self.policy(&view.document.policy.placement) else {
            return Vec::new();
        };
        policy.plan(&input)
    }

    /// Returns the policy named in the configuration; creates a new one when the name has changed.
    fn policy(&mut self, name: &str) -> Option<&mut dyn PlacementPolicy> {
        if self
            .policy
            .as_ref()
            .is_none_or(|current| current.name != name)
        {
            match find_plugin::<PlacementPlugin>(name) {
                Ok(plugin) => {
                    info!(target: "placement", "placement: using policy {name}");
                    self.policy = Some(NamedPolicy {
                        name: name.into(),
                        policy: (plugin.make)(),
                    });
                }
                Err(error) => {
                    warn!(target: "placement", "placement: {error}");
                    return None;
                }
            }
        }
        Some(&mut *self.policy.as_mut()?.policy)
    }

    /// Sends one order to its agent if the lease permits it at this moment.
    async fn send_order(&mut self, view: &SharedView, planned: PlannedOrder) {
        let role = Role::Agent(planned.target.clone());
        let Some(member) = view.members.get(&role) else {
            return;
        };
        let Some(epoch) = self.lease_manager.permit(action_kind(&planned.action)) else {
            return;
        };
        let order = self.number_order(planned, member, epoch);
        let target = order.target.clone();
        let action = order.action.clone();
        match self.peers.send(member.address, order).await {
            Ok(reply) => {
                info!(target: "placement", "placement: {action:?} at {target}: {:?}", reply.result);
            }
            Err(reason) => {
                warn!(target: "placement", "placement: {action:?} at {target} is in doubt: {reason}");
            }
        }
    }

    fn number_order(&mut self, planned: PlannedOrder, member: &Member, epoch: Epoch) -> Order {
        self.orders += 1;
        Order {
            epoch,
            number: self.orders,
            target: planned.target,
            incarnation: member.version.incarnation,
            action: planned.action,
        }
    }
}

const fn action_kind(action: &OrderAction) -> ActionKind {
    match action {
        OrderAction::Load { .. } | OrderAction::LoadAdapter { .. } => ActionKind::Additive,
        OrderAction::Unload { .. } | OrderAction::UnloadAdapter { .. } => ActionKind::Destructive,
    }
}
