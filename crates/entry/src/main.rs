//! The program `kumquatkeel-entry`: one entry daemon.

use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use kumquatkeel_daemon::config::raise_incarnation;
use kumquatkeel_daemon::logging::start_logging;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::settings::load_settings;
use kumquatkeel_entry::fleet::{PollingFleet, follow_store};
use kumquatkeel_entry::{Entry, EntryParts, EntrySettings, RawEntrySettings};
use kumquatkeel_platform::{HttpObjectStore, HttpOptions, ObjectStore, WriteIds};
use kumquatkeel_types::message::Role;
use kumquatkeel_types::{EntryName, Incarnation};
use log::{info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Pause before the store is asked again for the entry's life.
const LIFE_PAUSE: Duration = Duration::from_secs(1);

/// Takes callers' requests and sends them to targets.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// The settings file, in JSON with comments.
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    let settings = load_settings::<RawEntrySettings, EntrySettings>(arguments.settings)?;
    start_logging(settings.name.as_str(), "info");
    run(settings).await
}

async fn run(settings: EntrySettings) -> Result<(), Box<dyn Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let options = HttpOptions::default();
    let store: Arc<dyn ObjectStore> = Arc::new(HttpObjectStore::new(
        settings.platform,
        options,
        Arc::default(),
    ));
    let life = raise_life(&*store, &settings.name).await;
    let (sender, receiver) = watch::channel(None);
    let stop = CancellationToken::new();
    let follower = tokio::spawn(follow_store(store, sender, stop.clone()));
    let fleet = PollingFleet::new(receiver, settings.peer_key.clone());
    let parts = EntryParts::new(life, Metrics::start()?, Arc::new(fleet));
    let entry = Entry::start(settings, parts).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(target: "entry", "entry: asked to stop");
    entry.shutdown().await;
    stop.cancel();
    follower.await?;
    Ok(())
}

/// Raises the entry's life in the store, and waits for the store if need be.
async fn raise_life(store: &dyn ObjectStore, name: &EntryName) -> Incarnation {
    let ids = WriteIds::new(name, &mut rand::rng());
    let role = Role::Entry(name.clone());
    loop {
        match raise_incarnation(store, &ids, &role, Incarnation::default()).await {
            Ok(life) => return life,
            Err(error) => {
                warn!(target: "entry", "entry: the life can't be recorded: {error}");
                tokio::time::sleep(LIFE_PAUSE).await;
            }
        }
    }
}
