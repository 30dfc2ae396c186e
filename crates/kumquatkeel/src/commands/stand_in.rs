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

/// How long a call of a plain service takes.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Runs a stand-in until it is interrupted.
pub(super) async fn run(which: StandIn) -> Result<(), CommandError> {
    match which {
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
        PlatformServer::start(listen, MemoryStore::new()).map_err(|error| failed(&error))?;
    println!("platform stand-in listens on {}", server.address());
    wait().await?;
    server.stop().await;
    Ok(())
}

async fn run_target(name: &str, document: &Path, listen: SocketAddr) -> Result<(), CommandError> {
    let document = read_document(document)?;
    let wrong = |reason: String| CommandError::Argument {
        argument: "name",
        reason,
    };
    let name = TargetName::try_from(name).map_err(|error| wrong(error.to_string()))?;
    let target = document
        .target(&name)
        .ok_or_else(|| wrong(format!("target {name} is not in the document")))?;
    match target.kind {
        TargetKind::Engine => {
            let engine = Engine::new(EngineOptions::of_target(document.raw(), target));
            let server = EngineServer::start(listen, engine).map_err(|error| failed(&error))?;
            println!("stand-in of {name} listens on {}", server.address());
            wait().await?;
            server.stop().await;
        }
        TargetKind::Plain => {
            let service = PlainService::new(CALL_TIME);
            let server = PlainServer::start(listen, service).map_err(|error| failed(&error))?;
            println!("stand-in of {name} listens on {}", server.address());
            wait().await?;
            server.stop().await;
        }
    }
    Ok(())
}

async fn wait() -> Result<(), CommandError> {
    stop_requested().await.map_err(|error| CommandError::Run {
        step: "watch signals",
        reason: error.to_string(),
    })
}

fn failed(error: &StandInError) -> CommandError {
    CommandError::Run {
        step: "start the stand-in",
        reason: error.to_string(),
    }
}
