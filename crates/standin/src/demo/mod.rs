//! The whole system with stand-ins in one process on loopback.
//!
//! [`run`] starts the platform, three engines in three data centres, a plain service, their agents
//! and two entries, all on free ports. With [`DemoOptions::once`] it sends sample calls, compares
//! every answer with what the stand-ins must have said, and stops.

mod caller;
mod checks;
mod document;
mod error;

pub use caller::{Caller, Completion, PlainReply};
pub use checks::DemoCall;
pub use document::{CALLER_KEY, OPERATOR_KEY, sample_document, sample_plan};
pub use error::DemoError;

use crate::fleet::Fleet;

/// What the demo does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DemoOptions {
    /// Whether to send sample calls once and stop; otherwise it runs until it is interrupted.
    pub once: bool,
}

/// What the demo did.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemoReport {
    /// The calls that were sent, with their answers; every check of them held.
    pub calls: Vec<DemoCall>,
}

/// Runs the demo and prints its addresses, and what came back.
///
/// # Errors
///
/// Fails with the first step that fails or the first check that does not hold.
pub async fn run(options: DemoOptions) -> Result<DemoReport, DemoError> {
    let fleet = Fleet::start(sample_plan()?).await?;
    fleet.wait_placed().await?;
    print_addresses(&fleet);
    let mut report = DemoReport::default();
    if options.once {
        report.calls = checks::check_all(&fleet).await?;
        for call in &report.calls {
            println!("{call}");
        }
    } else if let Err(reason) = tokio::signal::ctrl_c().await {
        log::warn!(target: "demo", "demo: can't wait for the interrupt: {reason}");
    }
    fleet.stop().await;
    Ok(report)
}

fn print_addresses(fleet: &Fleet) {
    println!("platform at http://{}", fleet.platform());
    for (target, agent) in &fleet.agents {
        println!("agent of {target} at http://{}", agent.address());
    }
    for entry in &fleet.entries {
        println!("entry at http://{}", entry.address());
    }
    if let Some(entry) = fleet.entries.first() {
        println!("{}", curl_line(&entry.address().to_string()));
    }
}

fn curl_line(entry: &str) -> String {
    let body =
        r#"{"model":"puzzle-8b","prompt":"Describe a puzzle","max_tokens":32,"stream":true}"#;
    format!(
        "curl -N http://{entry}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \
         -H 'Content-Type: application/json' -d '{body}'"
    )
}
