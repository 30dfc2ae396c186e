//! The candidates that a policy chooses from.

use std::time::Duration;

use kumquatkeel_types::Timestamp;
use kumquatkeel_types::message::MemberState;
use rand::Rng;
use rand::seq::index;

use super::sample::{Sample, ShownAs};
use super::{AgentView, Candidate, Distance, ReplicaView, RouteProgress, RouteRequest, Router};
use crate::retry::slow_start;

/// Replicas of one model that are looked at for one decision.
const MAX_LOOKED_AT: usize = 96;
/// A load heard within this time was probably probed for the same request.
const JUST_HEARD: Duration = Duration::from_millis(100);

impl Router {
    /// Returns the targets that could take an attempt of `request`, in the document's order.
    ///
    /// Of many replicas, a random part is returned, in which those just heard of come first.
    pub fn candidates(
        &self,
        request: &RouteRequest,
        progress: &RouteProgress,
        now: Timestamp,
        rng: &mut dyn Rng,
    ) -> Vec<Candidate> {
        let replicas = self.view.replicas(&request.service, request.model.as_ref());
        let mut sample = self.sample(look_at(replicas, now, rng), progress, now);
        if sample.is_empty() {
            sample = self.sample(replicas.iter().collect(), progress, now);
        }
        let mut shown = sample.draw(rng);
        let panic = self
            .ejector
            .panics(shown.iter().map(|r| &self.agent(r).target), now);
        if !panic {
            shown.retain(|r| !self.ejector.is_ejected(&self.agent(r).target, now));
        }
        shown.sort_by_key(|r| r.slot);
        shown
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
            if self.is_open(replica, progress) {
                sample.add(replica, self.shown_as(replica, now));
            }
        }
        sample
    }

    fn is_open(&self, replica: &ReplicaView, progress: &RouteProgress) -> bool {
        let agent = self.agent(replica);
        agent.state == MemberState::Serving && !progress.tried.contains(&agent.target)
    }

    fn shown_as(&self, replica: &ReplicaView, now: Timestamp) -> ShownAs {
        if is_just_heard(replica, now) {
            ShownAs::JustHeard
        } else if self.agent(replica).distance == Distance::OtherRegion {
            ShownAs::Far
        } else {
            ShownAs::Near
        }
    }

    fn agent(&self, replica: &ReplicaView) -> &AgentView {
        &self.view.agents()[replica.slot]
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
            load_age: now.since(replica.heard),
            in_flight: self.in_flight.on(&agent.target),
            prefix_hits: self.prefixes.hits(&agent.target, &request.prefix),
            weight: self.weight(replica, now),
        }
    }

    fn weight(&self, replica: &ReplicaView, now: Timestamp) -> f64 {
        let ejection = self.ejector.weight(&self.agent(replica).target, now);
        let load = replica.loaded.map_or(1.0, |at| slow_start(at, now));
        ejection.min(load)
    }
}

fn is_just_heard(replica: &ReplicaView, now: Timestamp) -> bool {
    now.since(replica.heard) <= JUST_HEARD
}

/// Returns the replicas to look at: all, or of very many those just heard of and a random part.
fn look_at<'a>(
    replicas: &'a [ReplicaView],
    now: Timestamp,
    rng: &mut dyn Rng,
) -> Vec<&'a ReplicaView> {
    if replicas.len() <= MAX_LOOKED_AT {
        return replicas.iter().collect();
    }
    let heard = replicas.iter().filter(|r| is_just_heard(r, now));
    let mut looked: Vec<_> = heard.take(MAX_LOOKED_AT).collect();
    for at in index::sample(rng, replicas.len(), MAX_LOOKED_AT) {
        if !is_just_heard(&replicas[at], now) {
            looked.push(&replicas[at]);
        }
    }
    looked
}
