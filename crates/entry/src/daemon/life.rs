//! The entry's life and its report of itself.

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

/// Raises the entry's life in the store, above the milliseconds of the wall clock.
///
/// When the store is out, the wall clock alone gives a provisional life: a predecessor of the same
/// name has a lower one unless the clock went back meanwhile.
pub(super) async fn start_life(
    store: &dyn ObjectStore,
    ids: &WriteIdGenerator,
    name: &EntryName,
) -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let proposed = Incarnation(since.map_or(1, |d| d.as_millis() as u64));
    let role = Role::Entry(name.clone());
    match raise_incarnation(store, ids, &role, proposed).await {
        Ok(life) => life,
        Err(error) => {
            warn!(target: "entry", "entry: life {proposed} is provisional: {error}");
            proposed
        }
    }
}

/// Returns the report of an entry that does not serve yet.
pub(super) fn first_report(
    settings: &EntrySettings,
    life: Incarnation,
    address: SocketAddr,
) -> Member {
    Member {
        role: Role::Entry(settings.name.clone()),
        version: MemberVersion {
            incarnation: life,
            sequence: 1,
        },
        data_centre: settings.data_centre.clone(),
        address,
        state: MemberState::Starting,
        revision: Revision::default(),
        target: None,
    }
}

/// Reports the entry as serving once it listens, and drains it when it was replaced.
pub(super) async fn announce(hub: Arc<Hub>, state: Arc<EntryState>, stop: CancellationToken) {
    let mut view = hub.view();
    hub.set_state(MemberState::Serving);
    let replaced = view.wait_for(|view| view.superseded);
    if let Some(Ok(_)) = stop.run_until_cancelled(replaced).await {
        error!(target: "entry", "entry: a later life has this name; taking no new work");
        state.stop_admission();
    }
}
