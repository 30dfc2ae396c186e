//! `status`: shows the processes, the revision in force, the placement and which processes lag.

use kumquatkeel::types::message::{Member, MemberState, Residency, Role};
use kumquatkeel::types::operator::StatusReport;

use crate::cli::EntryArgs;
use crate::client::OperatorClient;
use crate::error::CommandError;

/// Prints the status as a table or as JSON.
pub(super) async fn run(entry: &EntryArgs, json: bool) -> Result<(), CommandError> {
    let status = OperatorClient::new(entry.entry, &entry.key_file)?
        .status()
        .await?;
    if json {
        println!("{}", serde_json::to_string(&status).unwrap_or_default());
    } else {
        print!("{}", format_table(&status));
    }
    Ok(())
}

/// Returns the names of the members that are not gone, separated by commas.
pub(super) fn live_names<'a>(members: impl Iterator<Item = &'a Member>) -> String {
    let live = members.filter(|m| m.state != MemberState::Gone);
    live.map(|m| m.role.as_ref()).collect::<Vec<_>>().join(", ")
}

fn format_table(status: &StatusReport) -> String {
    let mut lines = vec![format!("revision {}", status.revision)];
    let lagging = live_names(status.lagging());
    if !lagging.is_empty() {
        lines.push(format!("lagging: {lagging}"));
    }
    lines.push(format!(
        "{:<6} {:<24} {:<16} {:<9} {:>8} {:>4}  {}",
        "role", "name", "data centre", "state", "revision", "life", "replicas"
    ));
    lines.extend(status.members.iter().map(format_member));
    lines.join("\n") + "\n"
}

fn format_member(member: &Member) -> String {
    let role = match member.role {
        Role::Entry(_) => "entry",
        Role::Agent(_) => "agent",
    };
    let state = match member.state {
        MemberState::Starting => "starting",
        MemberState::Serving => "serving",
        MemberState::Draining => "draining",
        MemberState::Gone => "gone",
    };
    let replicas = member
        .target
        .iter()
        .flat_map(|t| &t.replicas)
        .map(format_replica);
    format!(
        "{role:<6} {:<24} {:<16} {state:<9} {:>8} {:>4}  {}",
        member.role.as_ref(),
        member.data_centre.as_str(),
        member.revision,
        member.version.incarnation,
        replicas.collect::<Vec<_>>().join(" "),
    )
}

fn format_replica(replica: &Residency) -> String {
    format!(
        "{}:{}={:?}",
        replica.accelerator, replica.model, replica.state
    )
    .to_lowercase()
}
