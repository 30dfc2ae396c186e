//! News of the fleet from the spread.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_trait::async_trait;
use futures::future::pending;
use kumquatkeel_daemon::spread::{Hub, SharedView};
use kumquatkeel_types::Revision;
use kumquatkeel_types::message::{Member, Role};
use tokio::sync::{Mutex, watch};

use crate::fleet::{FleetSource, FleetUpdate};

/// Brings the request path what the spread has learnt since it last asked.
#[derive(Debug)]
pub struct HubFleetSource {
    hub: Arc<Hub>,
    told: Mutex<Told>,
}

#[derive(Debug)]
struct Told {
    view: watch::Receiver<SharedView>,
    revision: Revision,
    members: BTreeMap<Role, Arc<Member>>,
}

impl HubFleetSource {
    /// Makes a source of the news that reach `hub`.
    pub fn new(hub: Arc<Hub>) -> Self {
        let mut view = hub.view();
        view.mark_changed();
        Self {
            hub,
            told: Mutex::new(Told {
                view,
                revision: Revision::default(),
                members: BTreeMap::new(),
            }),
        }
    }
}

impl Told {
    /// Returns the reports that were not told yet.
    fn new_members(&mut self, view: &SharedView) -> Vec<FleetUpdate> {
        let told = |role: &Role, member: &Arc<Member>| {
            let before = self.members.get(role);
            before.is_some_and(|b| Arc::ptr_eq(b, member))
        };
        let members = view.members.iter().filter(|(role, m)| !told(role, m));
        let news = members.map(|(_, m)| FleetUpdate::Member(m.as_ref().clone()));
        let news = news.collect();
        self.members = view.members.as_ref().clone();
        news
    }
}

#[async_trait]
impl FleetSource for HubFleetSource {
    async fn next(&self) -> Vec<FleetUpdate> {
        let mut told = self.told.lock().await;
        if told.view.changed().await.is_err() {
            return pending().await;
        }
        let view = told.view.borrow_and_update().clone();
        let mut news = Vec::new();
        if view.revision > told.revision
            && let Some(snapshot) = self.hub.config().current()
        {
            told.revision = snapshot.revision;
            news.push(FleetUpdate::Config(snapshot.clone()));
        }
        news.extend(told.new_members(&view));
        news
    }
}
