//! Keeps the entry's view up to date from a fleet source.

use std::sync::Arc;

use kumquatkeel_types::document::Document;
use kumquatkeel_types::message::Snapshot;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use super::{FleetSource, FleetUpdate};
use crate::EntryState;

/// Applies news to the entry's state until it is stopped.
pub async fn apply_fleet_updates(
    state: Arc<EntryState>,
    source: Arc<dyn FleetSource>,
    stop: CancellationToken,
) {
    loop {
        let news = tokio::select! {
            () = stop.cancelled() => return,
            news = source.next() => news,
        };
        for item in news {
            match item {
                FleetUpdate::Config(snapshot) => take_config(&state, &snapshot),
                FleetUpdate::Member(member) => state.apply_member(member),
            }
        }
    }
}

fn take_config(state: &EntryState, snapshot: &Snapshot) {
    if state.revision() >= Some(snapshot.revision) {
        return;
    }
    let revision = snapshot.revision;
    match Document::try_from((*snapshot.document).clone()) {
        Ok(document) => {
            info!(target: "fleet", "fleet: revision {revision} is in force here");
            state.apply_document(revision, Arc::new(document));
        }
        Err(faults) => warn!(target: "fleet", "fleet: revision {revision} has faults: {faults}"),
    }
}
