//! The status of a data centre, which its first relay writes to the store.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatkeel_platform::{
    ObjectKey, ObjectStore, Precondition, PutOutcome, StoreError, put_resolved,
};
use kumquatkeel_types::message::MemberState;
use kumquatkeel_types::{DataCentreName, Revision};
use log::debug;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{Hub, SharedView, SpreadOptions};

/// The prefix of the status objects.
pub const STATUS_PREFIX: &str = "status/";

/// Least time between two writes of a data centre's status.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Processes that are named as lagging.
const MAX_LAGGING: usize = 64;

/// Entries whose addresses are kept for processes that start.
const MAX_ENTRIES: usize = 128;

/// What a data centre's relay tells of its processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The newest revision that the relay has.
    pub revision: Revision,
    /// The processes that are not gone.
    pub processes: u32,
    /// The processes that work from an older revision, at most 64 of them.
    pub lagging: Vec<String>,
    /// The addresses of serving entries.
    pub entries: Vec<SocketAddr>,
}

/// Writes the data centre's status when it changes, if this daemon is the first relay.
pub(super) async fn report(hub: &Hub, options: &SpreadOptions) {
    let mut written = None;
    loop {
        let status = status_of(hub);
        if hub.is_first_relay() && written.as_ref() != Some(&status) {
            match write(options, &status).await {
                Ok(()) => written = Some(status),
                Err(error) => debug!(target: "spread", "spread: status not written: {error}"),
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}

fn status_of(hub: &Hub) -> CentreStatus {
    let view: SharedView = hub.view().borrow().clone();
    let centre = hub.own().data_centre;
    let here = |m: &&kumquatkeel_types::message::Member| m.data_centre == centre;
    let present = view.members.values().map(|m| &**m).filter(here);
    let present = present.filter(|m| m.state != MemberState::Gone).count();
    let lagging = view.lagging(view.revision).filter(here).take(MAX_LAGGING);
    let entries = view.serving_entries().map(|(_, m)| m).filter(here);
    CentreStatus {
        revision: view.revision,
        processes: present as u32,
        lagging: lagging.map(|m| m.role.as_ref().to_owned()).collect(),
        entries: entries.take(MAX_ENTRIES).map(|m| m.address).collect(),
        data_centre: centre.clone(),
    }
}

async fn write(options: &SpreadOptions, status: &CentreStatus) -> Result<(), StoreError> {
    let store: &dyn ObjectStore = &*options.store;
    let key = ObjectKey::from(format!("{STATUS_PREFIX}{}", status.data_centre));
    let current = store.get(&key).await?;
    let precondition = current.map_or(Precondition::Absent, |o| Precondition::Version(o.version));
    let value = serde_json::to_vec(status).unwrap_or_default();
    let write = options.ids.next_id();
    match put_resolved(store, &key, precondition, &write, value.into()).await? {
        // Another relay's status is as good; the next change is written again.
        PutOutcome::Written(_) | PutOutcome::Conflict | PutOutcome::Superseded(_) => Ok(()),
    }
}
