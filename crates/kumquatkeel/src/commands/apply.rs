//! `apply FILE`: commits a configuration and waits until it is in force at every process.

use std::time::Duration;

use kumquatkeel::types::Revision;
use kumquatkeel::types::document::{Change, Item, ItemKey};
use kumquatkeel::types::operator::{ApplyReply, ApplyRequest};
use tokio::time::{Instant, sleep};

use super::check::read_document;
use super::status::live_names;
use crate::cli::ApplyArgs;
use crate::client::OperatorClient;
use crate::error::CommandError;

/// Interval between two status requests while waiting.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Commits the configuration and, unless `wait_s` is 0, waits until it is in force everywhere.
pub(super) async fn run(args: ApplyArgs) -> Result<(), CommandError> {
    let document = read_document(&args.file)?;
    let client = OperatorClient::new(args.entry.entry, &args.entry.key_file)?;
    let base = match args.base {
        Some(base) => Some(base),
        None => client.document().await?.map(|current| current.revision),
    };
    let request = ApplyRequest {
        base,
        document: document.raw().clone(),
    };
    let revision = committed_revision(client.apply(&request).await?, args.entry.entry)?;
    println!("revision {revision} is committed");
    if args.wait_s == 0 {
        return Ok(());
    }
    wait_in_force(&client, revision, Duration::from_secs(args.wait_s)).await
}

/// Returns the revision that was committed, or the error that the entry replied with.
fn committed_revision(
    reply: ApplyReply,
    peer: std::net::SocketAddr,
) -> Result<Revision, CommandError> {
    let step = "apply the document";
    match reply {
        ApplyReply::Committed { revision } => Ok(revision),
        ApplyReply::Invalid { faults } => Err(faults.into()),
        ApplyReply::Conflict { revision, changes } => {
            let changes = changes
                .iter()
                .map(describe_change)
                .collect::<Vec<_>>()
                .join(", ");
            Err(CommandError::Conflict { revision, changes })
        }
        ApplyReply::StoreUnavailable { reason } => Err(CommandError::Answer {
            step,
            peer,
            reason: format!("not committed: the store can't be reached: {reason}"),
        }),
        ApplyReply::Unknown { reason } => Err(CommandError::Answer {
            step,
            peer,
            reason: format!("it is not known whether it was committed: {reason}"),
        }),
    }
}

fn describe_change(change: &Change) -> String {
    match change {
        Change::Set(item) => format!("set {}", Item::key(item)),
        Change::Remove(key) => format!("removed {}", ItemKey::to_string(key)),
    }
}

/// Polls the status until no live process works from a revision older than `revision`.
async fn wait_in_force(
    client: &OperatorClient,
    revision: Revision,
    wait: Duration,
) -> Result<(), CommandError> {
    let start = Instant::now();
    loop {
        let status = client.status().await?;
        let lagging = live_names(status.members.iter().filter(|m| m.revision < revision));
        if status.revision >= revision && lagging.is_empty() {
            let elapsed = start.elapsed();
            println!("revision {revision} is in force everywhere after {elapsed:.1?}");
            return Ok(());
        }
        if start.elapsed() >= wait {
            return Err(CommandError::Lagging { revision, lagging });
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
}
