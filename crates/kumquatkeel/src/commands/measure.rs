//! `measure`: measures decisions and costs.

use kumquatkeel_standin::measure::policy::{
    PolicyLine, PolicyOptions, Workload, policy_names, run,
};
use kumquatkeel_standin::measure::slopes::{self, Sample, SlopeLine};

use crate::cli::PolicyArgs;
use crate::error::CommandError;

/// Prints attainment and moves of each policy.
pub(super) fn policy(args: &PolicyArgs) -> Result<(), CommandError> {
    for line in run(&options_of(args)?) {
        if args.json {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        } else {
            println!("{}", sentence_of(&line));
        }
    }
    Ok(())
}

fn options_of(args: &PolicyArgs) -> Result<PolicyOptions, CommandError> {
    if let Some(weight) = args.moves_weight
        && !(0.0..=1.0).contains(&weight)
    {
        return Err(wrong(
            "--moves-weight",
            format!("must be from 0 to 1, not {weight}"),
        ));
    }
    if !(args.load > 0.0 && args.load <= 100.0) {
        return Err(wrong(
            "--load",
            format!("must be above 0 and at most 100, not {}", args.load),
        ));
    }
    Ok(PolicyOptions {
        workload: args.workload.as_deref().map(workload_of).transpose()?,
        seed: args.seed,
        faults: args.faults,
        moves_weight: args.moves_weight,
        policy: args.policy.clone().map(known_policy).transpose()?,
        load: args.load,
        ..PolicyOptions::default()
    })
}

fn workload_of(name: &str) -> Result<Workload, CommandError> {
    let known = [Workload::Cooperative, Workload::Association];
    known
        .into_iter()
        .find(|w| w.to_string() == name)
        .ok_or_else(|| {
            wrong(
                "--workload",
                format!("{name:?} is not cooperative or association"),
            )
        })
}

fn known_policy(name: String) -> Result<String, CommandError> {
    if policy_names().any(|known| known == name) {
        return Ok(name);
    }
    let known = policy_names().collect::<Vec<_>>().join(", ");
    Err(wrong(
        "--policy",
        format!("{name:?} is not known; known are {known}"),
    ))
}

fn wrong(argument: &'static str, reason: String) -> CommandError {
    CommandError::Argument { argument, reason }
}

fn sentence_of(line: &PolicyLine) -> String {
    format!(
        "{} {} seed {}: attainment {:.4} ({} of {}), {} moves, {} link bytes, \
         {} unreachable seconds, {} memory violations, {} doubled, {} lost, {} false not run",
        line.workload,
        line.policy,
        line.seed,
        line.attainment,
        line.attained,
        line.requests,
        line.moves,
        line.link_bytes,
        line.unreachable_seconds,
        line.memory_violations,
        line.doubled,
        line.lost,
        line.false_not_run,
    )
}

/// Prints the costs of each role at several sizes.
pub(super) fn slopes(json: bool) {
    for line in slopes::run() {
        if json {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        } else {
            print!("{}", table_of(&line));
        }
    }
}

fn table_of(line: &SlopeLine) -> String {
    let mut rows = vec![format!("{} by {}", line.role, line.axis)];
    rows.extend(line.samples.iter().map(row_of));
    let slope = &line.slope;
    rows.push(format!(
        "  each: {:.3} B/s, {:.5} ms/s, {:.0} B, {:.5} calls/s; none: {:.0} B/s, {:.3} ms/s, {:.0} B",
        slope.bytes,
        slope.cpu_ms,
        slope.memory,
        slope.calls,
        slope.fixed.bytes,
        slope.fixed.cpu_ms,
        slope.fixed.memory,
    ));
    rows.join("\n") + "\n"
}

fn row_of(sample: &Sample) -> String {
    format!(
        "  {:>6}: {:>9.0} B/s {:>9.3} ms/s {:>10.0} B {:>6.2} calls/s",
        sample.size, sample.bytes, sample.cpu_ms, sample.memory, sample.calls
    )
}
