//! The subcommands, one module each.

mod apply;
mod burn;
mod check;
mod demo;
mod explain;
mod measure;
mod stand_in;
mod status;

use crate::cli::{Cli, Command, Measure, Report};
use crate::error::CommandError;

/// Runs the selected subcommand.
pub(crate) async fn run(cli: Cli) -> Result<(), CommandError> {
    match cli.command {
        Command::Check { file } => check::run(&file),
        Command::Apply(args) => apply::run(args).await,
        Command::Status { entry, json } => status::run(&entry, json).await,
        Command::Report(Report::Burn(args)) => burn::run(args).await,
        Command::Explain { request } => explain::run(&request),
        Command::Demo { once } => demo::run(once).await,
        Command::StandIn(command) => stand_in::run(command).await,
        Command::Measure(Measure::Policy(args)) => measure::policy(&args),
        Command::Measure(Measure::Slopes { json }) => {
            tokio::task::spawn_blocking(move || measure::slopes(json))
                .await
                .map_err(|e| CommandError::Run {
                    step: "measure slopes",
                    reason: e.to_string(),
                })
        }
    }
}
