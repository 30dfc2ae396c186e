//! Converts the agents' reports into the input of placement policies.

use std::collections::{BTreeMap, BTreeSet};

use kumquatkeel_core::placement::{PlacedReplica, PlannedOrder};
use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::message::{Member, MemberState, OrderAction, ReplicaState, Role};
use kumquatkeel_types::{Epoch, TargetName};

/// The reachable agents' reports, in the form that placement policies use.
#[derive(Debug, Default)]
pub(super) struct FleetState {
    pub(super) serving: BTreeSet<TargetName>,
    pub(super) draining: BTreeSet<TargetName>,
    pub(super) replicas: Vec<PlacedReplica>,
    pub(super) committed_mb: BTreeMap<TargetName, Vec<u32>>,
    pub(super) loading: usize,
    epochs: BTreeMap<TargetName, Epoch>,
}

impl FleetState {
    pub(super) fn from_view(view: &SharedView) -> Self {
        let mut fleet = Self::default();
        for member in view.members.values() {
            if !view.unreachable.contains(&member.data_centre) {
                fleet.add_member(member);
            }
        }
        fleet
    }

    /// Returns the targets whose agents have seen `epoch` or a later one.
    pub(super) fn fenced_by(&self, epoch: Epoch) -> BTreeSet<TargetName> {
        let fenced = self.epochs.iter().filter(|(_, seen)| **seen >= epoch);
        fenced.map(|(target, _)| target.clone()).collect()
    }

    /// Returns orders whose only effect is to announce `epoch` to agents that have not seen it.
    ///
    /// Each order loads a replica that is already ready. After it, the agent refuses orders of
    /// previous holders of the lease.
    pub(super) fn fencing_orders(&self, epoch: Epoch) -> Vec<PlannedOrder> {
        let ready = self
            .replicas
            .iter()
            .filter(|r| r.state == ReplicaState::Ready);
        let unseen = |target: &TargetName| self.epochs.get(target).is_some_and(|e| *e < epoch);
        let mut announced = BTreeSet::new();
        ready
            .filter(|r| unseen(&r.target) && announced.insert(r.target.clone()))
            .map(|r| PlannedOrder {
                target: r.target.clone(),
                action: OrderAction::Load {
                    model: r.model.clone(),
                    accelerator: r.accelerator,
                },
            })
            .collect()
    }

    fn add_member(&mut self, member: &Member) {
        let (Role::Agent(target), Some(status)) = (&member.role, &member.target) else {
            return;
        };
        match member.state {
            MemberState::Serving => self.serving.insert(target.clone()),
            MemberState::Draining => self.draining.insert(target.clone()),
            MemberState::Starting | MemberState::Gone => return,
        };
        self.epochs.insert(target.clone(), status.epoch);
        self.committed_mb
            .insert(target.clone(), status.committed_mb.clone());
        for replica in &status.replicas {
            self.loading += usize::from(replica.state == ReplicaState::Loading);
            self.replicas.push(PlacedReplica {
                target: target.clone(),
                accelerator: replica.accelerator,
                model: replica.model.clone(),
                state: replica.state,
                adapters: replica.adapters.clone(),
                load: replica.load,
            });
        }
    }
}
