//! The view that an entry has of the fleet: targets, agents, entries and replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kumquatkeel_types::document::{Document, ServedModel};
use kumquatkeel_types::message::{Member, MemberState, MemberVersion};
use kumquatkeel_types::{
    DataCentreName, EntryName, Incarnation, ModelId, Revision, ServiceName, TargetName, Timestamp,
};

use super::{Distance, ReplicaView};

/// The result of an update of the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewStep {
    /// The update was applied.
    Applied,
    /// The update is not newer than what the view holds, and was ignored.
    Stale,
    /// The configuration does not name the target.
    UnknownTarget,
}

/// The last known state of one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// The target behind the agent.
    pub target: TargetName,
    /// The address at which the agent takes work and orders.
    pub address: SocketAddr,
    /// The distance of the target from the entry.
    pub distance: Distance,
    /// The version of the last report; zero before the first one.
    pub version: MemberVersion,
    /// Whether the agent takes new work.
    pub state: MemberState,
}

impl AgentView {
    /// Moves to a later incarnation of the agent; returns false if it is not a later one.
    pub(super) fn advance_incarnation(&mut self, incarnation: Incarnation) -> bool {
        if incarnation <= self.version.incarnation {
            return false;
        }
        self.version = MemberVersion {
            incarnation,
            sequence: 0,
        };
        true
    }
}

/// The agents, the ready replicas of each model and plain service, and the entries.
///
/// Agents are indexed in the configuration's order.
#[derive(Debug, Clone)]
pub struct FleetView {
    pub(super) home: DataCentreName,
    pub(super) revision: Revision,
    pub(super) document: Arc<Document>,
    pub(super) agents: Vec<AgentView>,
    /// The index in `agents` of each target.
    pub(super) indices: BTreeMap<TargetName, usize>,
    pub(super) models: BTreeMap<ModelId, Vec<ReplicaView>>,
    pub(super) services: BTreeMap<ServiceName, Vec<ReplicaView>>,
    /// The models with a ready replica on each target, by the target's index.
    pub(super) resident: Vec<Vec<ModelId>>,
    pub(super) entries: BTreeMap<EntryName, (MemberVersion, MemberState)>,
    /// The last report of each agent and when it arrived, from which `rebuild` starts.
    pub(super) reports: BTreeMap<TargetName, (Member, Timestamp)>,
}

impl FleetView {
    /// Creates the view of an entry in data centre `home`, without any report.
    pub fn new(home: DataCentreName, revision: Revision, document: Arc<Document>) -> Self {
        let mut view = Self {
            home,
            revision,
            document,
            agents: Vec::new(),
            indices: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            resident: Vec::new(),
            entries: BTreeMap::new(),
            reports: BTreeMap::new(),
        };
        view.rebuild();
        view
    }

    /// Returns the entry's data centre.
    pub const fn home(&self) -> &DataCentreName {
        &self.home
    }

    /// Returns the revision of the configuration.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the configuration.
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the agent in front of a target, if the configuration names the target.
    pub fn agent(&self, target: &TargetName) -> Option<&AgentView> {
        self.indices.get(target).map(|&index| &self.agents[index])
    }

    /// Returns all agents, in the configuration's order.
    pub fn agents(&self) -> &[AgentView] {
        &self.agents
    }

    /// Returns the number of entries that serve, this one included; at least 1.
    pub fn live_entries(&self) -> usize {
        let serving = |state: &MemberState| *state == MemberState::Serving;
        let live = self.entries.values().filter(|(_, s)| serving(s)).count();
        live.max(1)
    }

    /// Returns the names of the entries that serve, sorted.
    pub fn entries(&self) -> impl Iterator<Item = &EntryName> {
        self.entries
            .iter()
            .filter(|(_, (_, state))| *state == MemberState::Serving)
            .map(|(name, _)| name)
    }

    /// Returns the total slots of a service over the fleet and all its models.
    pub fn slots_of(&self, service: &ServiceName) -> u32 {
        let offered = self.document.deployments.iter();
        let models = offered
            .filter(|d| d.service == *service)
            .flat_map(|d| &d.models)
            .map(ServedModel::id);
        let ids: BTreeSet<ModelId> = models.collect();
        let of_models = ids.iter().filter_map(|id| self.models.get(id));
        let of_service = self.services.get(service).into_iter();
        of_models
            .chain(of_service)
            .flatten()
            .map(|replica| replica.load.slots)
            .fold(0, u32::saturating_add)
    }

    /// Returns the replicas of a model, or of a plain service when there is no model.
    pub(super) fn replicas(
        &self,
        service: &ServiceName,
        model: Option<&ModelId>,
    ) -> &[ReplicaView] {
        let found = match model {
            Some(model) => self.models.get(model),
            None => self.services.get(service),
        };
        found.map_or(&[], Vec::as_slice)
    }

    /// Returns the replicas on one target, to count attempts.
    pub(super) fn replica_mut(
        &mut self,
        service: &ServiceName,
        model: Option<&ModelId>,
        target: &TargetName,
    ) -> Option<&mut ReplicaView> {
        let index = *self.indices.get(target)?;
        let replicas = match model {
            Some(model) => self.models.get_mut(model),
            None => self.services.get_mut(service),
        };
        replicas?.iter_mut().find(|r| r.index == index)
    }
}
