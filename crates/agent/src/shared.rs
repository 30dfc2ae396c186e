//! State that the agent's tasks and request handlers share.

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

use crate::agent_core::AgentCore;
use crate::engine::EngineClient;
use crate::plain::PlainClient;
use crate::record::RecordStore;
use crate::telemetry::Telemetry;
use crate::{AgentSettings, Configuration, PeerHints};

/// The state and the clients of one agent.
pub(crate) struct Shared {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) core: Mutex<AgentCore>,
    /// Notified whenever the scheduler or the memory tracker may have changed.
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
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the core; the guard must not be held across an await point.
    pub(crate) fn core(&self) -> MutexGuard<'_, AgentCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current configuration document; `None` until the first one arrives.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        let configuration = self.configuration.borrow();
        configuration.as_ref().map(|c| c.document.clone())
    }

    /// Applies a change to the core, then updates the slot pools and publishes the member record.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut AgentCore, Timestamp) -> T) -> T {
        let document = self.document();
        let result = {
            let mut core = self.core();
            let now = self.now();
            let result = change(&mut core, now);
            core.refresh_pools(document.as_deref(), self.settings.slots, now);
            result
        };
        self.changed.notify_waiters();
        self.publish();
        result
    }

    fn state_of(&self, core: &AgentCore) -> MemberState {
        let is_observed = self.settings.kind == TargetKind::Plain || core.memory.has_observed();
        if core.scheduler.is_draining() {
            MemberState::Draining
        } else if is_observed {
            MemberState::Serving
        } else {
            MemberState::Starting
        }
    }

    /// Publishes the member record if it has changed.
    pub(crate) fn publish(&self) {
        let (state, target) = {
            let core = self.core();
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

/// Returns the member record of an agent that does not serve yet.
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

fn target_status(core: &AgentCore) -> TargetStatus {
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
