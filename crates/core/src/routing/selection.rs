//! The selection of the candidates that a policy chooses from.

use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::MemberState;
use rand::Rng;
use rand::seq::index;

use super::sample::{ReplicaGroup, Sample};
use super::{AgentView, Candidate, Distance, ReplicaView, RouteProgress, RouteRequest, Router};
use crate::retry::slow_start;

/// Models with more replicas than this are sampled for each decision: this many random replicas,
/// and at most as many with a recent load.
const SAMPLE_SIZE: usize = 96;
/// A load not older than this probably comes from a probe for the same request.
const RECENT_LOAD: Duration = Duration::from_millis(100);

impl Router {
    /// Returns the targets that could take an attempt of `request`, in the configuration's order.
    ///
    /// Of many replicas a random sample is returned that prefers those with a recent load. Ejected
    /// targets are left out, unless too many of the sample are ejected.
    pub fn candidates(
        &self,
        request: &RouteRequest,
        progress: &RouteProgress,
        now: Timestamp,
        rng: &mut dyn Rng,
    ) -> Vec<Candidate> {
        let replicas = self.view.replicas(&request.service, request.model.as_ref());
        let mut sample = self.sample(preselect(replicas, now, rng), progress, now);
        if sample.is_empty() {
            sample = self.sample(replicas.iter().collect(), progress, now);
        }
        let mut drawn = sample.draw(rng);
        let panic = self
            .ejector
            .in_panic(drawn.iter().map(|r| &self.agent(r).target), now);
        if !panic {
            drawn.retain(|r| !self.ejector.is_ejected(&self.agent(r).target, now));
        }
        drawn.sort_by_key(|r| r.index);
        drawn
            .into_iter()
            .map(|r| self.candidate(r, request, now))
            .collect()
    }

    fn sample<'a>(
        &self,
        replicas: Vec<&'a ReplicaView>,
        progress: &RouteProgress,
        now: Timestamp,
    ) -> Sample<'a> {
        let mut sample = Sample::default();
        for replica in replicas {
            if self.is_eligible(replica, progress) {
                sample.add(replica, self.group_of(replica, now));
            }
        }
        sample
    }

    fn is_eligible(&self, replica: &ReplicaView, progress: &RouteProgress) -> bool {
        let agent = self.agent(replica);
        agent.state == MemberState::Serving && !progress.tried.contains(&agent.target)
    }

    fn group_of(&self, replica: &ReplicaView, now: Timestamp) -> ReplicaGroup {
        if has_recent_load(replica, now) {
            ReplicaGroup::Recent
        } else if self.agent(replica).distance == Distance::OtherRegion {
            ReplicaGroup::Far
        } else {
            ReplicaGroup::Near
        }
    }

    fn agent(&self, replica: &ReplicaView) -> &AgentView {
        &self.view.agents()[replica.index]
    }

    fn candidate(
        &self,
        replica: &ReplicaView,
        request: &RouteRequest,
        now: Timestamp,
    ) -> Candidate {
        let agent = self.agent(replica);
        let ready = |name| replica.adapters.contains(name);
        Candidate {
            target: agent.target.clone(),
            distance: agent.distance,
            incarnation: agent.version.incarnation,
            adapter_ready: request.adapter.as_ref().is_none_or(ready),
            load: replica.load,
            load_age: now.since(replica.updated),
            in_flight: self.in_flight.on(&agent.target),
            prefix_hits: self.prefixes.hits(&agent.target, &request.prefix),
            weight: self.weight(replica, now),
        }
    }

    fn weight(&self, replica: &ReplicaView, now: Timestamp) -> f64 {
        let ejection = self.ejector.weight(&self.agent(replica).target, now);
        let load = replica.ready_since.map_or(1.0, |at| slow_start(at, now));
        ejection.min(load)
    }
}

fn has_recent_load(replica: &ReplicaView, now: Timestamp) -> bool {
    now.since(replica.updated) <= RECENT_LOAD
}

/// Returns all replicas, or of very many those with a recent load and a random sample.
fn preselect<'a>(
    replicas: &'a [ReplicaView],
    now: Timestamp,
    rng: &mut dyn Rng,
) -> Vec<&'a ReplicaView> {
    if replicas.len() <= SAMPLE_SIZE {
        return replicas.iter().collect();
    }
    let recent = replicas.iter().filter(|r| has_recent_load(r, now));
    let mut selected: Vec<_> = recent.take(SAMPLE_SIZE).collect();
    for i in index::sample(rng, replicas.len(), SAMPLE_SIZE) {
        if !has_recent_load(&replicas[i], now) {
            selected.push(&replicas[i]);
        }
    }
    selected
}
