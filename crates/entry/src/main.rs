//! The program `kumquatkeel-entry`.

use std::error::Error;
use std::path::PathBuf;

use clap::Parser;
use kumquatkeel_daemon::logging::start_logging;
use kumquatkeel_daemon::settings::load_settings;
use kumquatkeel_daemon::signal::stop_requested;
use kumquatkeel_entry::daemon::EntryDaemon;
use kumquatkeel_entry::{EntrySettings, RawEntrySettings};

/// Takes callers' requests and routes them to targets.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Cli {
    /// Path of the settings file, JSON with comments.
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let settings = load_settings::<RawEntrySettings, EntrySettings>(&cli.settings);
    let settings = settings.unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(2);
    });
    start_logging(settings.name.as_str(), "info");
    let daemon = EntryDaemon::start(settings).await?;
    println!("kumquatkeel-entry listens on {}", daemon.entry().address());
    stop_requested().await?;
    daemon.shutdown().await;
    Ok(())
}
