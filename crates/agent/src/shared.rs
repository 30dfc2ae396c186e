//! What the agent's tasks share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use kumquatkeel_daemon::clock::Clock;
use kumquatkeel_types::document::{Document, TargetKind};
use kumquatkeel_types::message::{
    Member, MemberState, MemberVersion, Residency, Role, TargetStatus,
};
use kumquatkeel_types::{Incarnation, Revision, Timestamp};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::decisions::Decisions;
use crate::engine::EngineClient;
use crate::plain::PlainClient;
use crate::record::RecordStore;
use crate::telemetry::Telemetry;
use crate::{AgentSettings, Configuration, PeerHints};

/// State and clients of one agent.
pub(crate) struct Shared {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) decisions: Mutex<Decisions>,
    /// Told whenever the gate or the account may have changed.
    pub(crate) changed: Notify,
    pub(crate) member: watch::Sender<Member>,
    pub(crate) configuration: watch::Receiver<Option<Configuration>>,
    pub(crate) engine: EngineClient,
    pub(crate) plain: PlainClient,
    pub(crate) record: Option<RecordStore>,
    pub(crate) hints: Arc<dyn PeerHints>,
    pub(crate) telemetry: Telemetry,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
}

impl Shared {
    /// Returns the present time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the decisions; nothing is awaited under the lock.
    pub(crate) fn decisions(&self) -> MutexGuard<'_, Decisions> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the document in force.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map(|c| c.document.clone())
    }

    /// Applies a change to the decisions, then opens and closes lanes and reports the member.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Decisions, Timestamp) -> T) -> T {
        let document = self.document();
        let result = {
            let mut core = self.decisions();
            let now = self.now();
            let result = change(&mut core, now);
            core.refresh_pools(document.as_deref(), self.settings.slots, now);
            result
        };
        self.changed.notify_waiters();
        self.publish();
        result
    }

    fn state_of(&self, core: &Decisions) -> MemberState {
        let sees_target = self.settings.kind == TargetKind::Plain || core.memory.has_observed();
        if core.scheduler.is_draining() {
            MemberState::Draining
        } else if sees_target {
            MemberState::Serving
        } else {
            MemberState::Starting
        }
    }

    /// Reports the member if it has changed.
    pub(crate) fn publish(&self) {
        let (state, target) = {
            let core = self.decisions();
            (self.state_of(&core), target_status(&core))
        };
        let configuration = self.configuration.borrow();
        let revision = configuration.as_ref().map(|c| c.revision);
        drop(configuration);
        self.member.send_if_modified(|member| {
            let revision = revision.unwrap_or_default();
            let target = Some(target);
            if member.state == state && member.revision == revision && member.target == target {
                return false;
            }
            member.version.sequence += 1;
            member.state = state;
            member.revision = revision;
            member.target = target;
            true
        });
    }
}

/// Returns the report of an agent that has not served yet.
pub(crate) fn starting_member(settings: &AgentSettings, incarnation: Incarnation) -> Member {
    Member {
        role: Role::Agent(settings.name.clone()),
        version: MemberVersion {
            incarnation,
            sequence: 0,
        },
        data_centre: settings.data_centre.clone(),
        address: settings.advertise.unwrap_or(settings.listen),
        state: MemberState::Starting,
        revision: Revision::default(),
        target: None,
    }
}

fn target_status(core: &Decisions) -> TargetStatus {
    let replicas = core.memory.residency().into_iter();
    let with_load = |mut replica: Residency| {
        let pool = kumquatkeel_core::scheduler::PoolId::Model(replica.model.clone());
        replica.load = core.scheduler.pool_load(&pool);
        replica
    };
    TargetStatus {
        replicas: replicas.map(with_load).collect(),
        committed_mb: core.memory.committed_mb(),
        load: core.scheduler.load(),
        epoch: core.validator.epoch(),
    }
}
