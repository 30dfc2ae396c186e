//! The status object of a data centre, written to the store by its first relay.

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

/// Key prefix of the status objects; the name of the data centre follows.
pub const STATUS_PREFIX: &str = "status/";

/// Shortest time between two writes of a status object.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Most processes that are listed as lagging.
const MAX_LAGGING: usize = 64;

/// Most entries whose addresses are listed, for processes that start.
const MAX_ENTRIES: usize = 128;

/// Status of the processes of a data centre, as its first relay sees them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The newest revision that the relay has.
    pub revision: Revision,
    /// The number of processes that are not gone.
    pub processes: u32,
    /// The names of processes that work from an older revision, at most 64 of them.
    pub lagging: Vec<String>,
    /// The addresses of serving entries, from which processes that start find others.
    pub entries: Vec<SocketAddr>,
}

/// Writes the status of the data centre whenever it changes, if this daemon is the first relay.
pub(super) async fn write_status(hub: &Hub, options: &SpreadOptions) {
    let mut written = None;
    let mut era = options.store.era();
    loop {
        if std::mem::replace(&mut era, options.store.era()) != era {
            // A restored store may have an earlier status.
            written = None;
        }
        let status = status_of(hub);
        if hub.is_first_relay() && written.as_ref() != Some(&status) {
            match write(options, &status).await {
                Ok(()) => written = Some(status),
                Err(error) => debug!(target: "spread", "spread: status write failed: {error}"),
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}

fn status_of(hub: &Hub) -> CentreStatus {
    let view: SharedView = hub.view().borrow().clone();
    let centre = hub.own().data_centre;
    let is_local = |m: &&kumquatkeel_types::message::Member| m.data_centre == centre;
    let present = view.members.values().map(|m| &**m).filter(is_local);
    let present = present.filter(|m| m.state != MemberState::Gone).count();
    let lagging = view
        .lagging(view.revision)
        .filter(is_local)
        .take(MAX_LAGGING);
    let entries = view.serving_entries().map(|(_, m)| m).filter(is_local);
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
        // The status of another relay is equally valid; the next change is written again.
        PutOutcome::Written(_) | PutOutcome::Conflict | PutOutcome::Superseded(_) => Ok(()),
    }
}
