//! The router of one entry: a routing policy and the state that its decisions draw on.

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

/// The most rounds of probes for one attempt; then a target is chosen without further probes.
const MAX_PROBE_ROUNDS: u32 = 2;

/// The progress of a request's routing over its attempts and probes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteProgress {
    /// The targets that the request has tried, which are left out of the candidates.
    pub tried: Vec<TargetName>,
    /// The target that an agent suggested when it refused the request.
    pub hint: Option<TargetName>,
    /// The number of probe rounds made for this attempt.
    pub probe_rounds: u32,
}

/// Chooses targets for the attempts of one entry.
pub struct Router {
    pub(super) view: FleetView,
    pub(super) policy: Box<dyn RoutingPolicy>,
    pub(super) policy_name: String,
    pub(super) in_flight: InFlight,
    pub(super) prefixes: PrefixIndex,
    pub(super) ejector: Ejector,
    pub(super) link: LinkBudget,
}

impl Router {
    /// Creates a router with the policy that the view's configuration names.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] with the known policies when the name is not registered.
    pub fn new(view: FleetView, now: Timestamp) -> Result<Self, UnknownPlugin> {
        let policy_name = view.document().policy.routing.clone();
        let policy = (find_plugin::<RoutingPlugin>(&policy_name)?.make)();
        let rate = LinkBudget::share(view.document().policy.link_bytes, view.live_entries());
        Ok(Self {
            view,
            policy,
            policy_name,
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

    /// Returns the view of the fleet, to apply configurations and member reports.
    pub const fn view_mut(&mut self) -> &mut FleetView {
        &mut self.view
    }

    /// Returns the index of cached prompt prefixes, to apply cache events.
    pub const fn prefixes_mut(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the outlier ejector, to record the results of attempts.
    pub const fn ejector_mut(&mut self) -> &mut Ejector {
        &mut self.ejector
    }

    /// Returns the counts of attempts in progress.
    pub const fn in_flight(&self) -> &InFlight {
        &self.in_flight
    }

    /// Adjusts the policy, the ejector and the link's rate to a change of the configuration or of
    /// the number of live entries.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownPlugin`] with the known policies when the name is not registered; the
    /// previous policy stays in use.
    pub fn refresh(&mut self, now: Timestamp) -> Result<(), UnknownPlugin> {
        let document = self.view.document().clone();
        self.ejector
            .retain(|target| document.target(target).is_some());
        let policy = &document.policy;
        let rate = LinkBudget::share(policy.link_bytes, self.view.live_entries());
        self.link.set_rate(rate, now);
        if policy.routing != self.policy_name {
            self.policy = (find_plugin::<RoutingPlugin>(&policy.routing)?.make)();
            self.policy_name.clone_from(&policy.routing);
        }
        Ok(())
    }

    /// Returns the next action for an attempt of `request`.
    ///
    /// An agent's hint within the region is followed. A dispatch that the regional link's budget
    /// does not cover is replaced by a choice within the region.
    pub fn route(
        &mut self,
        request: &RouteRequest,
        progress: &RouteProgress,
        now: Timestamp,
        rng: &mut dyn Rng,
    ) -> RouteStep {
        let mut candidates = self.candidates(request, progress, now, rng);
        if let Some(hinted) = hinted_target(&candidates, progress) {
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

    /// Applies an agent's reply to a probe.
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
        self.prefixes.record_prompt(target, &request.prefix);
    }

    /// Counts the end of an attempt, whatever its result.
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
                dispatch_unprobed(candidates, &targets)
            }
            step => step,
        }
    }

    /// Charges a dispatch to another region to the link's budget; returns true if it is refused.
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
            .field("policy", &self.policy_name)
            .field("view", &self.view)
            .finish_non_exhaustive()
    }
}

/// Returns the hinted target if it is a candidate within the region.
fn hinted_target(candidates: &[Candidate], progress: &RouteProgress) -> Option<TargetName> {
    let hint = progress.hint.as_ref()?;
    candidates
        .iter()
        .find(|c| c.target == *hint && c.distance != Distance::OtherRegion)
        .map(|c| c.target.clone())
}

/// Dispatches without a probe, to the target with the most recent load.
fn dispatch_unprobed(candidates: &[Candidate], probed: &[TargetName]) -> RouteStep {
    let freshest = candidates
        .iter()
        .min_by_key(|c| (c.load_age, c.load.waiting, c.load.running));
    match freshest.map(|c| &c.target).or_else(|| probed.first()) {
        Some(target) => RouteStep::Dispatch(target.clone()),
        None => RouteStep::NoTarget,
    }
}
