//! The steps at which faults strike.

use std::time::Duration;

use kumquatkeel_daemon::config::CommitOutcome;
use kumquatkeel_types::document::RawDocument;
use tokio::time::sleep;

use crate::fault::Fault;
use crate::world::{World, eventually, target};

/// Time for the planner to carry a document out.
const PLANNING: Duration = Duration::from_secs(12);
/// Time after a drain began in which new work may still arrive.
const DRAIN_NOTICE: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Admit,
    Claim,
    Dispatch,
    Stream,
    Settle,
    Load,
    Unload,
    Switch,
    Drain,
    Apply,
    Boot,
}

impl Step {
    pub(crate) const ALL: [Self; 11] = [
        Self::Admit,
        Self::Claim,
        Self::Dispatch,
        Self::Stream,
        Self::Settle,
        Self::Load,
        Self::Unload,
        Self::Switch,
        Self::Drain,
        Self::Apply,
        Self::Boot,
    ];

    pub(crate) const fn gives_orders(self) -> bool {
        matches!(self, Self::Load | Self::Unload | Self::Switch)
    }

    /// Leads the world to the step and lets the faults strike there.
    pub(crate) async fn run(self, world: &mut World, faults: &[Fault]) {
        match self {
            Self::Admit => {
                world.traffic.send_some();
                strike_all(world, faults, self).await;
            }
            Self::Claim => self.run_at_claim(world, faults).await,
            Self::Dispatch => self.run_at_dispatch(world, faults).await,
            Self::Stream => self.run_at_stream(world, faults).await,
            Self::Settle => self.run_at_settle(world, faults).await,
            Self::Load | Self::Unload | Self::Switch => self.run_at_order(world, faults).await,
            Self::Drain => self.run_at_drain(world, faults).await,
            Self::Apply => self.run_at_apply(world, faults).await,
            Self::Boot => self.run_at_boot(world, faults).await,
        }
    }

    async fn run_at_claim(self, world: &mut World, faults: &[Fault]) {
        let puts = world.fleet.store.calls().writes();
        world.traffic.send_some();
        let store = world.fleet.store.clone();
        eventually(|| store.calls().writes() > puts).await;
        strike_all(world, faults, self).await;
    }

    async fn run_at_dispatch(self, world: &mut World, faults: &[Fault]) {
        if faults.contains(&Fault::AnswerLost) {
            strike_all(world, faults, self).await;
            world.traffic.send_some();
            return;
        }
        world.traffic.send_some();
        let plains: Vec<_> = world.fleet.plains.values().cloned().collect();
        eventually(|| plains.iter().any(|plain| plain.faults().calls() > 0)).await;
        strike_all(world, faults, self).await;
    }

    async fn run_at_stream(self, world: &mut World, faults: &[Fault]) {
        if faults.contains(&Fault::AnswerLost) {
            strike_all(world, faults, self).await;
            world.traffic.send_some();
            return;
        }
        world.traffic.send_some();
        let engine = world.fleet.engines[&target("engine-a")].clone();
        let other = world.fleet.engines[&target("engine-b")].clone();
        let runs = || [engine.record(), other.record()];
        eventually(|| {
            runs()
                .iter()
                .any(|record| record.runs.iter().any(|run| run.sent > 2))
        })
        .await;
        strike_all(world, faults, self).await;
    }

    async fn run_at_settle(self, world: &mut World, faults: &[Fault]) {
        world.traffic.send_some();
        let plains: Vec<_> = world.fleet.plains.values().cloned().collect();
        eventually(|| plains.iter().any(|plain| !plain.executed().is_empty())).await;
        strike_all(world, faults, self).await;
    }

    /// The planner's orders follow from a document: more replicas, a model less, a new version.
    async fn run_at_order(self, world: &mut World, faults: &[Fault]) {
        let mut document = world.fleet.document.clone();
        let models = &mut document.deployments[0].models;
        match self {
            Self::Load => models[1].floor = 2,
            Self::Unload => {
                models.remove(1);
                world.served.retain(|name| *name != "shelf");
            }
            _ => models[0].version = "2".try_into().expect("name"),
        }
        world.traffic.send_some();
        world.apply(document).await;
        strike_all(world, faults, self).await;
        sleep(PLANNING).await;
    }

    async fn run_at_drain(self, world: &mut World, faults: &[Fault]) {
        world.traffic.send_some();
        sleep(Duration::from_millis(30)).await;
        let name = target("swaps-a");
        world.left.push(name.clone());
        let Some(mut leaving) = world.fleet.agents.remove(&name) else {
            return;
        };
        let service = world.fleet.plains[&name].clone();
        let draining = tokio::spawn(async move {
            leaving.shutdown().await;
            leaving
        });
        strike_all(world, faults, self).await;
        sleep(DRAIN_NOTICE).await;
        let executed = service.executed().len();
        world.traffic.send_some();
        world.traffic.finish().await;
        assert_eq!(service.executed().len(), executed, "new work after leaving");
        let leaving = draining.await.expect("drains");
        world.fleet.agents.insert(name, leaving);
    }

    async fn run_at_apply(self, world: &mut World, faults: &[Fault]) {
        world.traffic.send_some();
        let mut document = world.fleet.document.clone();
        document.policy.link_bytes = 1_200_000;
        if faults.contains(&Fault::AnswerLost) || faults.contains(&Fault::WatchGap) {
            strike_all(world, faults, self).await;
            world.apply(document).await;
            return;
        }
        world.apply(document).await;
        strike_all(world, faults, self).await;
    }

    async fn run_at_boot(self, world: &mut World, faults: &[Fault]) {
        world.traffic.send_some();
        let name = target("swaps-b");
        if let Some(agent) = world.fleet.agents.get_mut(&name) {
            agent.kill();
        }
        sleep(Duration::from_millis(50)).await;
        if let Some(agent) = world.fleet.agents.get_mut(&name) {
            agent.revive().await.expect("agent starts");
            world.monitor.watch_agent(&name, agent);
        }
        strike_all(world, faults, self).await;
    }
}

impl World {
    /// Commits a document as an operator.
    pub(crate) async fn apply(&mut self, document: RawDocument) {
        let base = Some(self.revision);
        let outcome = self.fleet.commit(document.clone(), base).await.ok();
        if outcome.is_some() {
            self.fleet.document = document;
        }
        self.note_commit(outcome.as_ref());
    }

    /// Notes the revision that a commit made.
    pub(crate) fn note_commit(&mut self, outcome: Option<&CommitOutcome>) {
        if let Some(CommitOutcome::Committed(revision)) = outcome {
            self.revision = self.revision.max(*revision);
        }
    }
}

async fn strike_all(world: &mut World, faults: &[Fault], step: Step) {
    for fault in faults {
        fault.strike(world, step).await;
    }
}
