//! Writes the configuration again that the store has forgotten in a restore, run by relays.

use std::time::Duration;

use log::warn;
use rand::RngExt;
use tokio::time::sleep;

use super::{Hub, SpreadOptions};
use crate::config::restore_document;

/// Interval at which the era of the store is looked at, which takes no call.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which a committed configuration reaches all relays that can be reached, so that the newest
/// is written again.
const SPREAD_TIME: Duration = Duration::from_secs(6);

/// Commits this daemon's configuration again after each restore in which the store has lost it; never
/// returns.
pub(super) async fn restore_config(hub: &Hub, options: &SpreadOptions) {
    let store = &*options.store;
    let mut checked = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let era = store.era().stated();
        if era == checked {
            continue;
        }
        // One relay after the other, so that most find it written.
        let delay = rand::rng().random_range(1.0..2.0);
        sleep(SPREAD_TIME.mul_f64(delay)).await;
        let held = hub.config().current().cloned();
        let Some(held) = held else {
            continue;
        };
        match restore_document(store, &options.ids, &held).await {
            Ok(written) => {
                checked = era;
                if let Some(revision) = written {
                    let held = held.revision;
                    warn!(
                        target: "spread",
                        "spread: the restored store lacked revision {held}, written again as {revision}"
                    );
                }
            }
            Err(error) => {
                warn!(target: "spread", "spread: writing the configuration again failed: {error}");
            }
        }
    }
}
