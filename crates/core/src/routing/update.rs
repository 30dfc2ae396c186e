//! How news changes the view of the fleet.

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
    /// Takes over a newer document and keeps the reports of the targets that it still names.
    pub fn apply_document(&mut self, revision: Revision, document: Arc<Document>) -> ViewStep {
        if revision <= self.revision {
            return ViewStep::Stale;
        }
        self.revision = revision;
        self.document = document;
        self.rebuild();
        ViewStep::Applied
    }

    /// Takes in a process's report of itself.
    pub fn apply_member(&mut self, member: Member, now: Timestamp) -> ViewStep {
        match member.role.clone() {
            Role::Entry(name) => self.apply_entry(name, &member),
            Role::Agent(target) => self.apply_agent(target, member, now),
        }
    }

    /// Takes in an agent's answer to a probe for `model`, or for a plain service without one.
    pub fn apply_probe(
        &mut self,
        target: &TargetName,
        model: Option<&ModelId>,
        reply: &ProbeReply,
        now: Timestamp,
    ) -> ViewStep {
        let Some(&slot) = self.slots.get(target) else {
            return ViewStep::UnknownTarget;
        };
        let agent = &mut self.agents[slot];
        if reply.incarnation < agent.version.incarnation {
            return ViewStep::Stale;
        }
        agent.raise_life(reply.incarnation);
        if reply.draining {
            agent.state = MemberState::Draining;
        }
        match model {
            Some(model) if !reply.resident => self.forget_replica(model, slot),
            Some(model) => set_load(self.models.get_mut(model), slot, reply.load, now),
            None => {
                for replicas in self.services.values_mut() {
                    set_load(Some(replicas), slot, reply.load, now);
                }
            }
        }
        ViewStep::Applied
    }

    /// Marks a target's agent as taking no new work, as it has said itself.
    pub fn mark_draining(&mut self, target: &TargetName, incarnation: Incarnation) -> ViewStep {
        let Some(&slot) = self.slots.get(target) else {
            return ViewStep::UnknownTarget;
        };
        let agent = &mut self.agents[slot];
        if incarnation < agent.version.incarnation {
            return ViewStep::Stale;
        }
        agent.state = MemberState::Draining;
        ViewStep::Applied
    }

    /// Notes that a target's agent is in another life, as it has said itself.
    pub fn mark_incarnation(&mut self, target: &TargetName, incarnation: Incarnation) -> ViewStep {
        let Some(&slot) = self.slots.get(target) else {
            return ViewStep::UnknownTarget;
        };
        if self.agents[slot].raise_life(incarnation) {
            ViewStep::Applied
        } else {
            ViewStep::Stale
        }
    }

    /// Takes a replica out of the view, because its agent says that it is not there.
    pub fn mark_absent(&mut self, target: &TargetName, model: &ModelId) {
        if let Some(&slot) = self.slots.get(target) {
            self.forget_replica(model, slot);
        }
    }

    fn apply_entry(&mut self, name: EntryName, member: &Member) -> ViewStep {
        let known = self.entries.get(&name).map(|(version, _)| *version);
        let taken_for_dead = member.state == MemberState::Gone;
        if known > Some(member.version) || (known == Some(member.version) && !taken_for_dead) {
            return ViewStep::Stale;
        }
        self.entries.insert(name, (member.version, member.state));
        ViewStep::Applied
    }

    fn apply_agent(&mut self, target: TargetName, member: Member, now: Timestamp) -> ViewStep {
        let Some(&slot) = self.slots.get(&target) else {
            return ViewStep::UnknownTarget;
        };
        let known = self.agents[slot].version;
        let first = !self.reports.contains_key(&target);
        let taken_for_dead = member.state == MemberState::Gone;
        if member.version < known || (member.version == known && !first && !taken_for_dead) {
            return ViewStep::Stale;
        }
        self.place_report(slot, &member, now);
        self.reports.insert(target, (member, now));
        ViewStep::Applied
    }

    fn place_report(&mut self, slot: usize, member: &Member, now: Timestamp) {
        let agent = &mut self.agents[slot];
        let first = agent.version == MemberVersion::default();
        agent.version = member.version;
        agent.state = member.state;
        let before = self.forget_slot(slot);
        let Some(status) = &member.target else {
            return;
        };
        let loaded = |model: &ModelId| match before.get(model) {
            Some(loaded) => *loaded,
            None if first => None,
            None => Some(now),
        };
        let ready = |state| state == ReplicaState::Ready;
        for residency in status.replicas.iter().filter(|r| ready(r.state)) {
            let loaded = loaded(&residency.model);
            self.place_replica(slot, residency, loaded, now);
        }
        self.place_services(slot, status, now);
    }

    fn place_replica(
        &mut self,
        slot: usize,
        residency: &Residency,
        loaded: Option<Timestamp>,
        now: Timestamp,
    ) {
        let replicas = self.models.entry(residency.model.clone()).or_default();
        let found = replicas.iter().position(|r| r.slot == slot);
        let at = found.unwrap_or(replicas.len());
        if found.is_none() {
            replicas.push(ReplicaView::new(slot, now));
            replicas[at].loaded = loaded;
            self.resident[slot].push(residency.model.clone());
        }
        replicas[at].add(residency.load, &residency.adapters);
    }

    fn place_services(&mut self, slot: usize, status: &TargetStatus, now: Timestamp) {
        let name = self.agents[slot].target.clone();
        let document = Arc::clone(&self.document);
        let offered = document.target(&name).map_or(&[][..], |t| &t.services);
        for service in offered {
            let mut replica = ReplicaView::new(slot, now);
            replica.add(status.load, &[]);
            let replicas = self.services.entry(service.clone()).or_default();
            replicas.push(replica);
        }
    }

    /// Takes a target's replicas out, and returns when each model was loaded.
    fn forget_slot(&mut self, slot: usize) -> BTreeMap<ModelId, Option<Timestamp>> {
        let mut loaded = BTreeMap::new();
        for model in std::mem::take(&mut self.resident[slot]) {
            let Some(replicas) = self.models.get_mut(&model) else {
                continue;
            };
            if let Some(at) = replicas.iter().position(|r| r.slot == slot) {
                loaded.insert(model, replicas.swap_remove(at).loaded);
            }
        }
        for replicas in self.services.values_mut() {
            replicas.retain(|r| r.slot != slot);
        }
        loaded
    }

    fn forget_replica(&mut self, model: &ModelId, slot: usize) {
        if let Some(replicas) = self.models.get_mut(model) {
            replicas.retain(|r| r.slot != slot);
        }
        self.resident[slot].retain(|m| m != model);
    }

    pub(super) fn rebuild(&mut self) {
        let document = Arc::clone(&self.document);
        let before = std::mem::take(&mut self.agents);
        self.agents = document.targets.iter().map(|t| self.agent_of(t)).collect();
        self.slots = (self.agents.iter().enumerate())
            .map(|(slot, agent)| (agent.target.clone(), slot))
            .collect();
        self.models.clear();
        self.services.clear();
        self.resident = vec![Vec::new(); self.agents.len()];
        let reports = std::mem::take(&mut self.reports);
        for (target, (member, heard)) in reports {
            if let Some(&slot) = self.slots.get(&target) {
                self.place_report(slot, &member, heard);
                self.reports.insert(target, (member, heard));
            }
        }
        for agent in before {
            self.keep_newer(&agent);
        }
    }

    /// Keeps what an agent has said itself after its last report.
    fn keep_newer(&mut self, before: &AgentView) {
        let Some(&slot) = self.slots.get(&before.target) else {
            return;
        };
        let agent = &mut self.agents[slot];
        if before.version >= agent.version {
            agent.version = before.version;
            agent.state = before.state;
        }
    }

    fn agent_of(&self, target: &Target) -> AgentView {
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

fn set_load(
    replicas: Option<&mut Vec<ReplicaView>>,
    slot: usize,
    load: LoadSummary,
    now: Timestamp,
) {
    let found = replicas.and_then(|list| list.iter_mut().find(|r| r.slot == slot));
    if let Some(replica) = found {
        replica.load = load;
        replica.heard = now;
    }
}
