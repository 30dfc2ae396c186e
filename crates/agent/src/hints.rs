//! Hints to other targets for work that this agent refuses.

use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::message::{LoadSummary, Member, ReplicaState, Role, TargetStatus};
use kumquatkeel_types::{AdapterName, ModelId, TargetName};
use tokio::sync::watch;

/// A source of other targets for work that this agent refuses.
pub trait PeerHints: Send + Sync {
    /// Returns a target that may accept the work; `model` is `None` for a plain call.
    fn alternative_target(
        &self,
        model: Option<&ModelId>,
        adapter: Option<&AdapterName>,
    ) -> Option<TargetName>;
}

/// A source that never suggests a target.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoHints;

impl PeerHints for NoHints {
    fn alternative_target(
        &self,
        _: Option<&ModelId>,
        _: Option<&AdapterName>,
    ) -> Option<TargetName> {
        None
    }
}

/// Suggests the least loaded target of the same region that serves the work, by the latest view.
#[derive(Debug, Clone)]
pub struct ViewHints {
    own: TargetName,
    view: watch::Receiver<SharedView>,
}

impl ViewHints {
    /// Creates the hints of the agent of `own` from its view of the other processes.
    pub const fn new(own: TargetName, view: watch::Receiver<SharedView>) -> Self {
        Self { own, view }
    }

    /// Returns whether another target offers one of this target's plain services.
    fn shares_service(&self, view: &SharedView, other: &TargetName) -> bool {
        let own = view.document.target(&self.own);
        let other = view.document.target(other);
        own.zip(other)
            .is_some_and(|(own, other)| own.services.iter().any(|s| other.services.contains(s)))
    }

    fn in_same_region(&self, view: &SharedView, member: &Member) -> bool {
        let own = view.document.target(&self.own);
        own.is_some_and(|own| {
            view.document
                .same_region(&own.data_centre, &member.data_centre)
        })
    }
}

impl PeerHints for ViewHints {
    fn alternative_target(
        &self,
        model: Option<&ModelId>,
        adapter: Option<&AdapterName>,
    ) -> Option<TargetName> {
        let view = self.view.borrow();
        let mut best: Option<(f64, &TargetName)> = None;
        for role in view.members.keys() {
            let Role::Agent(name) = role else { continue };
            let Some(member) = view.serving(role).filter(|_| *name != self.own) else {
                continue;
            };
            let Some(status) = &member.target else {
                continue;
            };
            let load = match model {
                Some(model) => replica_load(status, model, adapter),
                None => self.shares_service(&view, name).then_some(status.load),
            };
            let Some(load) = load.filter(|_| self.in_same_region(&view, member)) else {
                continue;
            };
            let ratio = load_ratio(load);
            if best.is_none_or(|(least, _)| ratio < least) {
                best = Some((ratio, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }
}

/// Returns the load of a target's ready replica of the model that has the adapter, if there is one.
fn replica_load(
    status: &TargetStatus,
    model: &ModelId,
    adapter: Option<&AdapterName>,
) -> Option<LoadSummary> {
    let serves = status.replicas.iter().find(|replica| {
        replica.model == *model
            && replica.state == ReplicaState::Ready
            && adapter.is_none_or(|a| replica.adapters.contains(a))
    });
    serves.map(|replica| replica.load)
}

/// Returns the ratio of running and waiting attempts to slots.
fn load_ratio(load: LoadSummary) -> f64 {
    f64::from(load.running + load.waiting) / f64::from(load.slots.max(1))
}
