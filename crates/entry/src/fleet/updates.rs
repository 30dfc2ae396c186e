//! The loop that applies the updates of a fleet source to the entry's state.

use std::sync::Arc;

use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::Snapshot;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use super::{FleetSource, FleetUpdate};
use crate::EntryState;

/// Applies the source's updates to the entry's state until `stop` is cancelled.
pub async fn apply_fleet_updates(
    state: Arc<EntryState>,
    source: Arc<dyn FleetSource>,
    stop: CancellationToken,
) {
    loop {
        let updates = tokio::select! {
            () = stop.cancelled() => return,
            updates = source.next() => updates,
        };
        for update in updates {
            match update {
                FleetUpdate::Config(snapshot) => apply_config(&state, &snapshot),
                FleetUpdate::Member(member) => state.apply_member(member),
            }
        }
    }
}

fn apply_config(state: &EntryState, snapshot: &Snapshot) {
    if state.revision() >= Some(snapshot.revision) {
        return;
    }
    let revision = snapshot.revision;
    match Document::try_from((*snapshot.document).clone()) {
        Ok(document) => {
            info!(target: "fleet", "fleet: applying configuration revision {revision}");
            state.apply_document(revision, Arc::new(document));
        }
        Err(faults) => warn!(target: "fleet", "fleet: revision {revision} is invalid: {faults}"),
    }
}
