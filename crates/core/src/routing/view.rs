//! What an entry has heard of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use kumquatkeel_types::document::{Document, ServedModel};
use kumquatkeel_types::message::{Member, MemberState, MemberVersion};
use kumquatkeel_types::{
    DataCentreName, EntryName, Incarnation, ModelId, Revision, ServiceName, TargetName, Timestamp,
};

use super::{Distance, ReplicaView};

/// What became of news for the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewStep {
    /// The view has changed.
    Applied,
    /// The news is not newer than what the view holds.
    Stale,
    /// The document does not name the target.
    UnknownTarget,
}

/// The last report of one agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentView {
    /// The target beside the agent.
    pub target: TargetName,
    /// Where the agent takes work and orders.
    pub address: SocketAddr,
    /// How far the target is from the entry.
    pub distance: Distance,
    /// The version of the last report; zero before the first.
    pub version: MemberVersion,
    /// Whether the agent takes new work.
    pub state: MemberState,
}

impl AgentView {
    /// Takes over a later life of the agent, and says whether it is one.
    pub(super) fn raise_life(&mut self, incarnation: Incarnation) -> bool {
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

/// The targets, their agents' reports and where each model is ready.
#[derive(Debug, Clone)]
pub struct FleetView {
    pub(super) home: DataCentreName,
    pub(super) revision: Revision,
    pub(super) document: Arc<Document>,
    pub(super) agents: Vec<AgentView>,
    pub(super) slots: BTreeMap<TargetName, usize>,
    pub(super) models: BTreeMap<ModelId, Vec<ReplicaView>>,
    pub(super) services: BTreeMap<ServiceName, Vec<ReplicaView>>,
    pub(super) resident: Vec<Vec<ModelId>>,
    pub(super) entries: BTreeMap<EntryName, (MemberVersion, MemberState)>,
    pub(super) reports: BTreeMap<TargetName, (Member, Timestamp)>,
}

impl FleetView {
    /// Makes the view of an entry in data centre `home` before any report.
    pub fn new(home: DataCentreName, revision: Revision, document: Arc<Document>) -> Self {
        let mut view = Self {
            home,
            revision,
            document,
            agents: Vec::new(),
            slots: BTreeMap::new(),
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

    /// Returns the revision of the document.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the document.
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the agent beside a target.
    pub fn agent(&self, target: &TargetName) -> Option<&AgentView> {
        self.slots.get(target).map(|&slot| &self.agents[slot])
    }

    /// Returns all agents, in the document's order.
    pub fn agents(&self) -> &[AgentView] {
        &self.agents
    }

    /// Returns how many entries serve, this one included, at least one.
    pub fn live_entries(&self) -> usize {
        let serving = |state: &MemberState| *state == MemberState::Serving;
        let live = self.entries.values().filter(|(_, s)| serving(s)).count();
        live.max(1)
    }

    /// Returns the names of the entries that serve, in order.
    pub fn entries(&self) -> impl Iterator<Item = &EntryName> {
        self.entries
            .iter()
            .filter(|(_, (_, state))| *state == MemberState::Serving)
            .map(|(name, _)| name)
    }

    /// Returns the slots that the fleet has for a service, over all its models.
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

    /// Returns the replicas for a model, or for a plain service when there is no model.
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

    /// Returns one target's replicas for counting attempts.
    pub(super) fn replica_mut(
        &mut self,
        service: &ServiceName,
        model: Option<&ModelId>,
        target: &TargetName,
    ) -> Option<&mut ReplicaView> {
        let slot = *self.slots.get(target)?;
        let replicas = match model {
            Some(model) => self.models.get_mut(model),
            None => self.services.get_mut(service),
        };
        replicas?.iter_mut().find(|r| r.slot == slot)
    }
}
