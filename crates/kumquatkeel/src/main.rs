//! The operator's program: check and apply documents, read status and burn, run the demo.

use std::alloc::System;
use std::process::ExitCode;

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

mod cli;
mod client;
mod commands;
mod error;

use cli::Cli;

/// Counts allocations, for `measure slopes`.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The exit code of a document or request that is wrong.
const EXIT_INVALID: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let cli = Cli::parse();
    kumquatkeel::daemon::logging::start_logging("kumquatkeel", "warn");
    match commands::run(cli).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            if error.is_invalid_input() {
                ExitCode::from(EXIT_INVALID)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
