//! The fleet source that follows the hub's shared view.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use futures::future::pending;
use kumquatkeel_daemon::spread::{Hub, SharedView};
use kumquatkeel_types::Revision;
use kumquatkeel_types::message::{Member, Role};
use tokio::sync::{Mutex, watch};

use crate::fleet::{FleetSource, FleetUpdate};

/// Delivers the changes of the hub's view since the previous call.
#[derive(Debug)]
pub struct HubFleetSource {
    hub: Arc<Hub>,
    delivered: Mutex<Delivered>,
}

#[derive(Debug)]
struct Delivered {
    view: watch::Receiver<SharedView>,
    revision: Revision,
    members: BTreeMap<Role, Arc<Member>>,
}

impl HubFleetSource {
    /// Creates a source of the updates that reach `hub`, beginning with its current view.
    pub fn new(hub: Arc<Hub>) -> Self {
        let mut view = hub.view();
        view.mark_changed();
        Self {
            hub,
            delivered: Mutex::new(Delivered {
                view,
                revision: Revision::default(),
                members: BTreeMap::new(),
            }),
        }
    }
}

impl Delivered {
    /// Returns the members' reports that have not been delivered yet.
    fn changed_members(&mut self, view: &SharedView) -> Vec<FleetUpdate> {
        let delivered = |role: &Role, member: &Arc<Member>| {
            let before = self.members.get(role);
            before.is_some_and(|b| Arc::ptr_eq(b, member))
        };
        let members = view.members.iter().filter(|(role, m)| !delivered(role, m));
        let updates = members.map(|(_, m)| FleetUpdate::Member(m.as_ref().clone()));
        let updates = updates.collect();
        self.members = view.members.as_ref().clone();
        updates
    }
}

#[async_trait]
impl FleetSource for HubFleetSource {
    async fn next(&self) -> Vec<FleetUpdate> {
        let mut delivered = self.delivered.lock().await;
        if delivered.view.changed().await.is_err() {
            return pending().await;
        }
        let view = delivered.view.borrow_and_update().clone();
        let mut updates = Vec::new();
        if view.revision > delivered.revision
            && let Some(snapshot) = self.hub.config().current()
        {
            delivered.revision = snapshot.revision;
            updates.push(FleetUpdate::Config(snapshot.clone()));
        }
        updates.extend(delivered.changed_members(&view));
        updates
    }
}
