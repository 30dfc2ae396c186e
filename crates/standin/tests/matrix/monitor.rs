//! Watches what every process reports while a cell runs.

use std::sync::{Arc, Mutex};

use kumquatkeel_standin::fleet::{AgentSlot, Fleet};
use kumquatkeel_types::{Revision, TargetName};

/// Collects what no process may ever report.
#[derive(Debug, Clone, Default)]
pub(crate) struct Monitor {
    broken: Arc<Mutex<Vec<String>>>,
}

impl Monitor {
    pub(crate) fn start(fleet: &Fleet) -> Self {
        let monitor = Self::default();
        for (name, agent) in &fleet.agents {
            monitor.watch_agent(name, agent);
        }
        for entry in &fleet.entries {
            let state = entry.handle().state().clone();
            let monitor = monitor.clone();
            tokio::spawn(async move {
                let mut last = None;
                loop {
                    let revision = state.revision();
                    monitor.note_revision("entry", &mut last, revision);
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            });
        }
        monitor
    }

    /// Watches one life of an agent.
    pub(crate) fn watch_agent(&self, name: &TargetName, agent: &AgentSlot) {
        let mut member = agent.handle().member();
        let memory_mb = agent.target().accelerator_mb;
        let (name, monitor) = (name.clone(), self.clone());
        tokio::spawn(async move {
            let mut last = None;
            loop {
                let report = member.borrow_and_update().clone();
                monitor.note_revision(name.as_str(), &mut last, Some(report.revision));
                let committed = report.target.iter().flat_map(|t| &t.committed_mb);
                if committed.into_iter().any(|mb| *mb > memory_mb) {
                    monitor.note(format!("{name} commits more than {memory_mb} MB"));
                }
                if member.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    pub(crate) fn broken(&self) -> Vec<String> {
        self.broken.lock().expect("not poisoned").clone()
    }

    fn note_revision(&self, name: &str, last: &mut Option<Revision>, seen: Option<Revision>) {
        if seen < *last {
            self.note(format!("{name} goes back from {last:?} to {seen:?}"));
        }
        *last = seen;
    }

    fn note(&self, broken: String) {
        self.broken.lock().expect("not poisoned").push(broken);
    }
}
