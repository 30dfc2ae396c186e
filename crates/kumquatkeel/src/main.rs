//! The operator's program: checks and applies configurations, shows status and error-budget burn,
//! explains requests from logs, and runs the demo, the stand-ins and the measurements.

use std::alloc::System;
use std::process::ExitCode;

use clap::Parser;
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

mod cli;
mod client;
mod commands;
mod error;

use cli::Cli;

/// Allocator that counts allocations; `measure slopes` reads the counts.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Exit code for an invalid configuration or argument; other failures exit with 1.
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
