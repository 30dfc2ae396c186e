//! `demo`: runs the whole system with stand-ins in one process on loopback.

use kumquatkeel_standin::demo::{self, DemoOptions};

use crate::error::CommandError;

/// Runs the demo until a stop signal; with `once`, sends sample calls, checks the answers and stops.
pub(super) async fn run(once: bool) -> Result<(), CommandError> {
    let report = demo::run(DemoOptions { once })
        .await
        .map_err(|error| CommandError::Run {
            step: "demo",
            reason: error.to_string(),
        })?;
    if once {
        println!("ok: {} calls, every check held", report.calls.len());
    }
    Ok(())
}
