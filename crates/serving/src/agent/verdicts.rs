//! Keeps the verdicts on suspects in the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_core::quarantine::{Suspect, Verdict};
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::platform::{PlatformError, VerdictStore};

/// Interval between two comparisons with the store while verdicts are known.
const SYNC_INTERVAL: Duration = Duration::from_secs(20);
/// Longest delay of a comparison after a verdict. Several agents reach the same verdict at once; the
/// spread lets most of them find it in the store.
const MAX_JITTER: Duration = Duration::from_millis(300);
/// Pause after a failed comparison.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Compares the verdicts of an agent with those in the store: at the start, after each verdict and
/// from time to time. Newer ones are written to the store or sent to the agent.
pub(super) async fn sync_verdicts(
    store: Arc<dyn VerdictStore>,
    mut known: watch::Receiver<Vec<Verdict>>,
    found: mpsc::Sender<Vec<Verdict>>,
) {
    loop {
        let verdicts = known.borrow_and_update().clone();
        match sync_once(&*store, &verdicts).await {
            Ok(newer) if newer.is_empty() => {}
            Ok(newer) => {
                if found.send(newer).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                log::info!(dependency = "store", error:%; "verdicts not compared with the store");
                sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        if known.borrow().is_empty() {
            if known.changed().await.is_err() {
                return;
            }
        } else {
            // A change and the interval both lead to the next comparison.
            let _ = timeout(SYNC_INTERVAL, known.changed()).await;
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        sleep(MAX_JITTER.mul_f64(jitter)).await;
    }
}

/// Writes what the store lacks; returns what the agent lacks.
async fn sync_once(
    store: &dyn VerdictStore,
    known: &[Verdict],
) -> Result<Vec<Verdict>, PlatformError> {
    let stored = store.read_verdicts().await?;
    let epochs = |verdicts: &[Verdict]| -> HashMap<Suspect, u32> {
        let epoch = |v: &Verdict| (v.suspect.clone(), v.epoch);
        verdicts.iter().map(epoch).collect()
    };
    let (in_store, here) = (epochs(&stored), epochs(known));
    let is_newer = |verdict: &Verdict, others: &HashMap<Suspect, u32>| {
        others
            .get(&verdict.suspect)
            .is_none_or(|epoch| *epoch < verdict.epoch)
    };
    for verdict in known.iter().filter(|v| is_newer(v, &in_store)) {
        store.write_verdict(verdict).await?;
    }
    Ok(stored.into_iter().filter(|v| is_newer(v, &here)).collect())
}
