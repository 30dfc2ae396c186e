//! Updates of the view of the fleet: configurations, member reports, probe replies and refusals.

use std::collections::BTreeMap;
use std::sync::Arc;

use kumquatkeel_types::document::{Document, Target};
use kumquatkeel_types::message::{
    LoadSummary, Member, MemberState, MemberVersion, ProbeReply, ReplicaState, Residency, Role,
    TargetStatus,
};
use kumquatkeel_types::{
    DataCentreName, EntryName, Incarnation, ModelId, Revision, TargetName, Timestamp,
};

use super::{AgentView, Distance, FleetView, ReplicaView, ViewStep};

impl FleetView {
    /// Applies a newer configuration and keeps the reports of the targets that it still names.
    pub fn apply_document(&mut self, revision: Revision, document: Arc<Document>) -> ViewStep {
        if revision <= self.revision {
            return ViewStep::Stale;
        }
        self.revision = revision;
        self.document = document;
        self.rebuild();
        ViewStep::Applied
    }

    /// Applies a process's report of itself.
    pub fn apply_member(&mut self, member: Member, now: Timestamp) -> ViewStep {
        match member.role.clone() {
            Role::Entry(name) => self.apply_entry(name, &member),
            Role::Agent(target) => self.apply_agent(target, member, now),
        }
    }

    /// Applies an agent's reply to a probe for `model`, or for a plain service without one.
    pub fn apply_probe(
        &mut self,
        target: &TargetName,
        model: Option<&ModelId>,
        reply: &ProbeReply,
        now: Timestamp,
    ) -> ViewStep {
        let Some(&index) = self.indices.get(target) else {
            return ViewStep::UnknownTarget;
        };
        let agent = &mut self.agents[index];
        if reply.incarnation < agent.version.incarnation {
            return ViewStep::Stale;
        }
        agent.advance_incarnation(reply.incarnation);
        if reply.draining {
            agent.state = MemberState::Draining;
        }
        match model {
            Some(model) if !reply.resident => self.remove_replica(model, index),
            Some(model) => set_load(self.models.get_mut(model), index, reply.load, now),
            None => {
                for replicas in self.services.values_mut() {
                    set_load(Some(replicas), index, reply.load, now);
                }
            }
        }
        ViewStep::Applied
    }

    /// Marks a target's agent as taking no new work, after it refused an attempt for that reason.
    pub fn mark_draining(&mut self, target: &TargetName, incarnation: Incarnation) -> ViewStep {
        let Some(&index) = self.indices.get(target) else {
            return ViewStep::UnknownTarget;
        };
        let agent = &mut self.agents[index];
        if incarnation < agent.version.incarnation {
            return ViewStep::Stale;
        }
        agent.state = MemberState::Draining;
        ViewStep::Applied
    }

    /// Records an agent's incarnation, after the agent refused an attempt meant for another one.
    pub fn mark_incarnation(&mut self, target: &TargetName, incarnation: Incarnation) -> ViewStep {
        let Some(&index) = self.indices.get(target) else {
            return ViewStep::UnknownTarget;
        };
        if self.agents[index].advance_incarnation(incarnation) {
            ViewStep::Applied
        } else {
            ViewStep::Stale
        }
    }

    /// Removes a replica, after its agent refused an attempt because the model is not resident.
    pub fn mark_absent(&mut self, target: &TargetName, model: &ModelId) {
        if let Some(&index) = self.indices.get(target) {
            self.remove_replica(model, index);
        }
    }

    fn apply_entry(&mut self, name: EntryName, member: &Member) -> ViewStep {
        let known = self.entries.get(&name).map(|(version, _)| *version);
        // A process that others declare gone keeps the version of its last report.
        let declared_gone = member.state == MemberState::Gone;
        if known > Some(member.version) || (known == Some(member.version) && !declared_gone) {
            return ViewStep::Stale;
        }
        self.entries.insert(name, (member.version, member.state));
        ViewStep::Applied
    }

    fn apply_agent(&mut self, target: TargetName, member: Member, now: Timestamp) -> ViewStep {
        let Some(&index) = self.indices.get(&target) else {
            return ViewStep::UnknownTarget;
        };
        let known = self.agents[index].version;
        let first = !self.reports.contains_key(&target);
        // A process that others declare gone keeps the version of its last report.
        let declared_gone = member.state == MemberState::Gone;
        if member.version < known || (member.version == known && !first && !declared_gone) {
            return ViewStep::Stale;
        }
        self.apply_report(index, &member, now);
        self.reports.insert(target, (member, now));
        ViewStep::Applied
    }

    /// Replaces a target's state and replicas by those of a report.
    fn apply_report(&mut self, index: usize, member: &Member, now: Timestamp) {
        let agent = &mut self.agents[index];
        let first = agent.version == MemberVersion::default();
        agent.version = member.version;
        agent.state = member.state;
        let previous = self.remove_replicas(index);
        let Some(status) = &member.target else {
            return;
        };
        // The replicas of the first report may have been ready for long: only later ones get a
        // slow start.
        let ready_since = |model: &ModelId| match previous.get(model) {
            Some(ready_since) => *ready_since,
            None if first => None,
            None => Some(now),
        };
        let ready = |state| state == ReplicaState::Ready;
        for residency in status.replicas.iter().filter(|r| ready(r.state)) {
            let ready_since = ready_since(&residency.model);
            self.add_replica(index, residency, ready_since, now);
        }
        self.add_services(index, status, now);
    }

    /// Adds a replica to those of its model on the same target.
    fn add_replica(
        &mut self,
        index: usize,
        residency: &Residency,
        ready_since: Option<Timestamp>,
        now: Timestamp,
    ) {
        let replicas = self.models.entry(residency.model.clone()).or_default();
        let found = replicas.iter().position(|r| r.index == index);
        let at = found.unwrap_or(replicas.len());
        if found.is_none() {
            replicas.push(ReplicaView::new(index, now));
            replicas[at].ready_since = ready_since;
            self.resident[index].push(residency.model.clone());
        }
        replicas[at].add(residency.load, &residency.adapters);
    }

    /// Adds a target's plain services, each with the load of the whole target.
    fn add_services(&mut self, index: usize, status: &TargetStatus, now: Timestamp) {
        let name = self.agents[index].target.clone();
        let document = Arc::clone(&self.document);
        let offered = document.target(&name).map_or(&[][..], |t| &t.services);
        for service in offered {
            let mut replica = ReplicaView::new(index, now);
            replica.add(status.load, &[]);
            let replicas = self.services.entry(service.clone()).or_default();
            replicas.push(replica);
        }
    }

    /// Removes a target's replicas, and returns since when each model was ready.
    fn remove_replicas(&mut self, index: usize) -> BTreeMap<ModelId, Option<Timestamp>> {
        let mut ready_since = BTreeMap::new();
        for model in std::mem::take(&mut self.resident[index]) {
            let Some(replicas) = self.models.get_mut(&model) else {
                continue;
            };
            if let Some(at) = replicas.iter().position(|r| r.index == index) {
                ready_since.insert(model, replicas.swap_remove(at).ready_since);
            }
        }
        for replicas in self.services.values_mut() {
            replicas.retain(|r| r.index != index);
        }
        ready_since
    }

    fn remove_replica(&mut self, model: &ModelId, index: usize) {
        if let Some(replicas) = self.models.get_mut(model) {
            replicas.retain(|r| r.index != index);
        }
        self.resident[index].retain(|m| m != model);
    }

    /// Builds the view anew from the configuration and the last report of each agent.
    pub(super) fn rebuild(&mut self) {
        let document = Arc::clone(&self.document);
        let previous = std::mem::take(&mut self.agents);
        self.agents = document.targets.iter().map(|t| self.new_agent(t)).collect();
        self.indices = (self.agents.iter().enumerate())
            .map(|(index, agent)| (agent.target.clone(), index))
            .collect();
        self.models.clear();
        self.services.clear();
        self.resident = vec![Vec::new(); self.agents.len()];
        let reports = std::mem::take(&mut self.reports);
        for (target, (member, updated)) in reports {
            if let Some(&index) = self.indices.get(&target) {
                self.apply_report(index, &member, updated);
                self.reports.insert(target, (member, updated));
            }
        }
        for agent in previous {
            self.restore_newer(&agent);
        }
    }

    /// Restores an incarnation or state that the agent gave in a reply after its last report.
    fn restore_newer(&mut self, previous: &AgentView) {
        let Some(&index) = self.indices.get(&previous.target) else {
            return;
        };
        let agent = &mut self.agents[index];
        if previous.version >= agent.version {
            agent.version = previous.version;
            agent.state = previous.state;
        }
    }

    fn new_agent(&self, target: &Target) -> AgentView {
        AgentView {
            target: target.name.clone(),
            address: target.agent,
            distance: self.distance_to(&target.data_centre),
            version: MemberVersion::default(),
            state: MemberState::Starting,
        }
    }

    fn distance_to(&self, centre: &DataCentreName) -> Distance {
        if *centre == self.home {
            Distance::SameCentre
        } else if self.document.same_region(centre, &self.home) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Sets the load of a target's replica, if the view holds it.
fn set_load(
    replicas: Option<&mut Vec<ReplicaView>>,
    index: usize,
    load: LoadSummary,
    now: Timestamp,
) {
    let found = replicas.and_then(|list| list.iter_mut().find(|r| r.index == index));
    if let Some(replica) = found {
        replica.load = load;
        replica.updated = now;
    }
}
