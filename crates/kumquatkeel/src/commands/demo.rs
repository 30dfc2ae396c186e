//! `demo`: runs the whole system with stand-ins in one process on loopback.

use crate::error::CommandError;

/// Runs the demo until it is interrupted, or sends sample calls with `once`.
pub(super) async fn run(_once: bool) -> Result<(), CommandError> {
    std::future::ready(()).await;
    Err(CommandError::Run {
        step: "demo",
        reason: "the stand-ins are not wired yet".into(),
    })
}
