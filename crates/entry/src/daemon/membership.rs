//! The entry's incarnation and the reports of its state to the other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use kumquatkeel_daemon::config::raise_incarnation;
use kumquatkeel_daemon::spread::Hub;
use kumquatkeel_platform::{ObjectStore, WriteIdGenerator};
use kumquatkeel_types::message::{Member, MemberState, MemberVersion, Role};
use kumquatkeel_types::{EntryName, Incarnation, Revision};
use log::{error, warn};
use tokio_util::sync::CancellationToken;

use crate::{EntrySettings, EntryState};

/// Raises the entry's incarnation in the store above the wall clock in milliseconds.
///
/// If the store fails, the wall clock alone gives a provisional incarnation. It is above
/// that of an earlier process of the same name unless the clock was set back in between.
pub(super) async fn claim_incarnation(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    name: &EntryName,
) -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let proposed = Incarnation(since.map_or(1, |d| d.as_millis() as u64));
    let role = Role::Entry(name.clone());
    match raise_incarnation(store, ids, &role, proposed).await {
        Ok(incarnation) => incarnation,
        Err(error) => {
            warn!(target: "entry", "entry: starting with provisional incarnation {proposed}, the store did not raise it: {error}");
            proposed
        }
    }
}

/// Returns the report of an entry that is starting.
pub(super) fn initial_report(
    settings: &EntrySettings,
    incarnation: Incarnation,
    address: SocketAddr,
) -> Member {
    Member {
        role: Role::Entry(settings.name.clone()),
        version: MemberVersion {
            incarnation,
            sequence: 1,
        },
        data_centre: settings.data_centre.clone(),
        address,
        state: MemberState::Starting,
        revision: Revision::default(),
        target: None,
    }
}

/// Reports the entry as serving, and stops admission if a later incarnation replaces it.
pub(super) async fn announce_serving(
    hub: Arc<Hub>,
    state: Arc<EntryState>,
    stop: CancellationToken,
) {
    let mut view = hub.view();
    hub.set_state(MemberState::Serving);
    let replaced = view.wait_for(|view| view.superseded);
    if let Some(Ok(_)) = stop.run_until_cancelled(replaced).await {
        error!(target: "entry", "entry: replaced by a later incarnation of the same name; no new requests are admitted");
        state.stop_admission();
    }
}
