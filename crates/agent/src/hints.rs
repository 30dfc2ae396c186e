//! Where to go with work that this agent does not take.

use kumquatkeel_daemon::spread::SharedView;
use kumquatkeel_types::message::{LoadSummary, Member, ReplicaState, Role, TargetStatus};
use kumquatkeel_types::{AdapterName, ModelId, TargetName};
use tokio::sync::watch;

/// Names another target for work that this agent does not take.
pub trait PeerHints: Send + Sync {
    /// Returns a target that may take the work; the model is none for a plain call.
    fn elsewhere(
        &self,
        model: Option<&ModelId>,
        adapter: Option<&AdapterName>,
    ) -> Option<TargetName>;
}

/// Knows no other target.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoHints;

impl PeerHints for NoHints {
    fn elsewhere(&self, _: Option<&ModelId>, _: Option<&AdapterName>) -> Option<TargetName> {
        None
    }
}

/// Names the least loaded target of the same region that serves the work, as last heard.
#[derive(Debug, Clone)]
pub struct ViewHints {
    own: TargetName,
    view: watch::Receiver<SharedView>,
}

impl ViewHints {
    /// Makes hints of `own`'s agent from the view of the other processes.
    pub const fn new(own: TargetName, view: watch::Receiver<SharedView>) -> Self {
        Self { own, view }
    }

    /// Says whether another target offers one of this target's plain services.
    fn offers_same(&self, view: &SharedView, other: &TargetName) -> bool {
        let own = view.document.target(&self.own);
        let other = view.document.target(other);
        own.zip(other)
            .is_some_and(|(own, other)| own.services.iter().any(|s| other.services.contains(s)))
    }

    fn is_near(&self, view: &SharedView, member: &Member) -> bool {
        let own = view.document.target(&self.own);
        own.is_some_and(|own| {
            view.document
                .same_region(&own.data_centre, &member.data_centre)
        })
    }
}

impl PeerHints for ViewHints {
    fn elsewhere(
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
                None => self.offers_same(&view, name).then_some(status.load),
            };
            let Some(load) = load.filter(|_| self.is_near(&view, member)) else {
                continue;
            };
            let share = share_of(load);
            if best.is_none_or(|(least, _)| share < least) {
                best = Some((share, name));
            }
        }
        best.map(|(_, name)| name.clone())
    }
}

/// Returns the load of a target's ready replica with the adapter, if it has one.
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

/// Returns the share of the slots that is taken or waited for.
fn share_of(load: LoadSummary) -> f64 {
    f64::from(load.running + load.waiting) / f64::from(load.slots.max(1))
}
