//! The agent daemon's executable, `kumquatkeel-agent`.

use std::error::Error;
use std::path::PathBuf;

use clap::Parser;
use kumquatkeel_agent::daemon::AgentDaemon;
use kumquatkeel_agent::{AgentSettings, RawAgentSettings};
use kumquatkeel_daemon::logging::start_logging;
use kumquatkeel_daemon::settings::load_settings;
use kumquatkeel_daemon::signal::stop_requested;

/// Runs the agent of one target.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Cli {
    /// Path of the settings file (JSON with comments).
    #[arg(long)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let settings = load_settings::<RawAgentSettings, AgentSettings>(&cli.settings);
    let settings = settings.unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(2);
    });
    start_logging(settings.name.as_str(), "info");
    let daemon = AgentDaemon::start(settings).await?;
    println!("kumquatkeel-agent listens on {}", daemon.agent().address());
    stop_requested().await?;
    daemon.shutdown().await;
    Ok(())
}
