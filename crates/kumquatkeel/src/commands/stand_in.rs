//! `stand-in`: runs a stand-in for the platform or for a target.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kumquatkeel::daemon::signal::stop_requested;
use kumquatkeel::types::TargetName;
use kumquatkeel::types::document::TargetKind;
use kumquatkeel_standin::StandInError;
use kumquatkeel_standin::engine::{Engine, EngineOptions, EngineServer};
use kumquatkeel_standin::plain::{PlainServer, PlainService};
use kumquatkeel_standin::platform::{MemoryStore, PlatformServer};

use super::check::read_document;
use crate::cli::StandIn;
use crate::error::CommandError;

/// Simulated duration of a call to a plain service.
const PLAIN_CALL_DURATION: Duration = Duration::from_millis(20);

/// Runs a stand-in until the process receives a stop signal.
pub(super) async fn run(command: StandIn) -> Result<(), CommandError> {
    match command {
        StandIn::Platform { listen } => run_platform(listen).await,
        StandIn::Target {
            name,
            document,
            listen,
        } => run_target(&name, &document, listen).await,
    }
}

async fn run_platform(listen: SocketAddr) -> Result<(), CommandError> {
    let server =
        PlatformServer::start(listen, MemoryStore::new()).map_err(|error| start_error(&error))?;
    println!("platform stand-in listens on {}", server.address());
    wait_for_stop().await?;
    server.stop().await;
    Ok(())
}

async fn run_target(name: &str, document: &Path, listen: SocketAddr) -> Result<(), CommandError> {
    let document = read_document(document)?;
    let name_error = |reason: String| CommandError::Argument {
        argument: "name",
        reason,
    };
    let name = TargetName::try_from(name).map_err(|error| name_error(error.to_string()))?;
    let target = document
        .target(&name)
        .ok_or_else(|| name_error(format!("target {name} is not in the document")))?;
    match target.kind {
        TargetKind::Engine => {
            let engine = Engine::new(EngineOptions::of_target(document.raw(), target));
            let server =
                EngineServer::start(listen, engine).map_err(|error| start_error(&error))?;
            println!("stand-in of {name} listens on {}", server.address());
            wait_for_stop().await?;
            server.stop().await;
        }
        TargetKind::Plain => {
            let service = PlainService::new(PLAIN_CALL_DURATION);
            let server =
                PlainServer::start(listen, service).map_err(|error| start_error(&error))?;
            println!("stand-in of {name} listens on {}", server.address());
            wait_for_stop().await?;
            server.stop().await;
        }
    }
    Ok(())
}

async fn wait_for_stop() -> Result<(), CommandError> {
    stop_requested().await.map_err(|error| CommandError::Run {
        step: "watch signals",
        reason: error.to_string(),
    })
}

fn start_error(error: &StandInError) -> CommandError {
    CommandError::Run {
        step: "start the stand-in",
        reason: error.to_string(),
    }
}
