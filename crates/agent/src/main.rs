//! The agent daemon `kumquatkeel-agent`.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use kumquatkeel_agent::{Agent, AgentParts, AgentSettings, RawAgentSettings, follow_store};
use kumquatkeel_daemon::logging::start_logging;
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::settings::load_settings;
use kumquatkeel_platform::{CallCounts, HttpObjectStore, HttpOptions, ObjectStore};
use log::info;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// The agent beside one target.
#[derive(Debug, Parser)]
#[command(name = "kumquatkeel-agent", version)]
struct Arguments {
    /// The settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(&Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("kumquatkeel-agent: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = load_settings::<RawAgentSettings, AgentSettings>(&arguments.settings)?;
    start_logging(settings.name.as_str(), "info");
    let stop = CancellationToken::new();
    let agent = Agent::start(settings.clone(), parts(&settings, &stop)?).await?;
    println!(
        "kumquatkeel-agent: {} listens on {}",
        settings.name,
        agent.address()
    );
    wait_for_signal().await?;
    info!(target: "agent", "agent: a signal asks to stop");
    agent.shutdown().await;
    stop.cancel();
    Ok(())
}

fn parts(settings: &AgentSettings, stop: &CancellationToken) -> Result<AgentParts, Box<dyn Error>> {
    let metrics = Metrics::start()?;
    let Some(address) = settings.store else {
        return Ok(AgentParts::new(watch::channel(None).1, metrics));
    };
    let counts = Arc::new(CallCounts::default());
    let store = HttpObjectStore::new(address, HttpOptions::default(), counts);
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    let configuration = follow_store(store.clone(), stop.clone());
    Ok(AgentParts::new(configuration, metrics).store(store))
}

async fn wait_for_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
