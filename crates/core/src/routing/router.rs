//! A routing policy joined with all that an entry knows.

use kumquatkeel_types::message::ProbeReply;
use kumquatkeel_types::{TargetName, Timestamp};
use rand::Rng;

use super::link::{LinkBudget, LinkStep};
use super::prefix::PrefixIndex;
use super::{
    Candidate, Distance, FleetView, InFlight, RouteRequest, RouteStep, RoutingPlugin, RoutingPolicy,
};
use crate::plugin::{UnknownPlugin, find_plugin};
use crate::retry::Ejector;

/// Rounds of probes for one attempt.
const MAX_PROBE_ROUNDS: u32 = 2;

/// How far the routing of one attempt is.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteProgress {
    /// Targets that the request has tried.
    pub tried: Vec<TargetName>,
    /// A target that an agent has named as one that may take the request.
    pub hint: Option<TargetName>,
    /// Rounds of probes that are behind this attempt.
    pub probe_rounds: u32,
}

/// Chooses targets for attempts.
pub struct Router {
    pub(super) view: FleetView,
    pub(super) policy: Box<dyn RoutingPolicy>,
    pub(super) name: String,
    pub(super) in_flight: InFlight,
    pub(super) prefixes: PrefixIndex,
    pub(super) ejector: Ejector,
    pub(super) link: LinkBudget,
}

impl Router {
    /// Makes a router with the policy that the view's document names.
    ///
    /// # Errors
    ///
    /// Returns the known policies when the name is not registered.
    pub fn new(view: FleetView, now: Timestamp) -> Result<Self, UnknownPlugin> {
        let name = view.document().policy.routing.clone();
        let policy = (find_plugin::<RoutingPlugin>(&name)?.make)();
        let rate = LinkBudget::share(view.document().policy.link_bytes, view.live_entries());
        Ok(Self {
            view,
            policy,
            name,
            in_flight: InFlight::default(),
            prefixes: PrefixIndex::default(),
            ejector: Ejector::default(),
            link: LinkBudget::new(rate, now),
        })
    }

    /// Returns the view of the fleet.
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns the view of the fleet for news of documents and members.
    pub const fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Returns the index of prompt prefixes.
    pub const fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the record of failures by target.
    pub const fn ejector_mut(&mut self) -> &mut Ejector {
        &mut self.ejector
    }

    /// Returns the attempts in progress.
    pub const fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Takes over the policy and the link's rate after a change of the document or the entries.
    ///
    /// # Errors
    ///
    /// Returns the known policies when the name is not registered; the old policy goes on.
    pub fn refresh(&mut self, now: Timestamp) -> Result<(), UnknownPlugin> {
        let document = self.view.document().clone();
        self.ejector
            .retain(|target| document.target(target).is_some());
        let policy = &document.policy;
        let rate = LinkBudget::share(policy.link_bytes, self.view.live_entries());
        self.link.set_rate(rate, now);
        if policy.routing != self.name {
            self.policy = (find_plugin::<RoutingPlugin>(&policy.routing)?.make)();
            self.name.clone_from(&policy.routing);
        }
        Ok(())
    }

    /// Returns what to do next for an attempt of `request`.
    pub fn route(
        &mut self,
        request: &RouteRequest,
        progress: &RouteProgress,
        now: Timestamp,
        rng: &mut dyn Rng,
    ) -> RouteStep {
        let mut candidates = self.candidates(request, progress, now, rng);
        if let Some(hinted) = hinted(&candidates, progress) {
            return RouteStep::Dispatch(hinted);
        }
        let step = self.choose(request, progress, &candidates, rng);
        match step {
            RouteStep::Dispatch(target)
                if self.link_refuses(&candidates, &target, request, now) =>
            {
                candidates.retain(|c| c.distance != Distance::OtherRegion);
                self.choose(request, progress, &candidates, rng)
            }
            step => step,
        }
    }

    /// Takes in an agent's answer to a probe.
    pub fn probed(
        &mut self,
        request: &RouteRequest,
        target: &TargetName,
        reply: &ProbeReply,
        now: Timestamp,
    ) {
        self.view
            .apply_probe(target, request.model.as_ref(), reply, now);
    }

    /// Counts an attempt that is sent to a target.
    pub fn started(&mut self, request: &RouteRequest, target: &TargetName) {
        self.in_flight.start(target);
        let model = request.model.as_ref();
        if let Some(replica) = self.view.replica_mut(&request.service, model, target) {
            replica.count_start();
        }
        self.prefixes.note_run(target, &request.prefix);
    }

    /// Counts the end of an attempt, however it ended.
    pub fn ended(&mut self, request: &RouteRequest, target: &TargetName) {
        self.in_flight.end(target);
        let model = request.model.as_ref();
        if let Some(replica) = self.view.replica_mut(&request.service, model, target) {
            replica.count_end();
        }
    }

    fn choose(
        &mut self,
        request: &RouteRequest,
        progress: &RouteProgress,
        candidates: &[Candidate],
        rng: &mut dyn Rng,
    ) -> RouteStep {
        match self.policy.choose(request, candidates, rng) {
            RouteStep::Probe(targets) if progress.probe_rounds >= MAX_PROBE_ROUNDS => {
                after_probes(candidates, &targets)
            }
            step => step,
        }
    }

    fn link_refuses(
        &mut self,
        candidates: &[Candidate],
        target: &TargetName,
        request: &RouteRequest,
        now: Timestamp,
    ) -> bool {
        let far = candidates
            .iter()
            .any(|c| c.target == *target && c.distance == Distance::OtherRegion);
        far && self.link.take(request.bytes, now) != LinkStep::Granted
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("policy", &self.name)
            .field("view", &self.view)
            .finish_non_exhaustive()
    }
}

fn hinted(candidates: &[Candidate], progress: &RouteProgress) -> Option<TargetName> {
    let hint = progress.hint.as_ref()?;
    candidates
        .iter()
        .find(|c| c.target == *hint && c.distance != Distance::OtherRegion)
        .map(|c| c.target.clone())
}

/// Settles on a target when the probes are used up: the one with the youngest load.
fn after_probes(candidates: &[Candidate], asked: &[TargetName]) -> RouteStep {
    let youngest = candidates
        .iter()
        .min_by_key(|c| (c.load_age, c.load.waiting, c.load.running));
    match youngest.map(|c| &c.target).or_else(|| asked.first()) {
        Some(target) => RouteStep::Dispatch(target.clone()),
        None => RouteStep::NoTarget,
    }
}
