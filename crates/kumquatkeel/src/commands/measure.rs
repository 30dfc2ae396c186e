//! `measure`: measures the decisions of each policy and the running costs of each role.

use kumquatkeel_standin::measure::policy::{
    PolicyLine, PolicyOptions, Workload, policy_names, run,
};
use kumquatkeel_standin::measure::slopes::{self, Sample, SlopeLine};

use crate::cli::PolicyArgs;
use crate::error::CommandError;

/// Runs each selected policy and prints its attainment, its moves and its rule violations.
pub(super) fn policy(args: &PolicyArgs) -> Result<(), CommandError> {
    for line in run(&policy_options(args)?) {
        if args.json {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        } else {
            println!("{}", format_policy(&line));
        }
    }
    Ok(())
}

fn policy_options(args: &PolicyArgs) -> Result<PolicyOptions, CommandError> {
    if let Some(weight) = args.moves_weight
        && !(0.0..=1.0).contains(&weight)
    {
        return Err(argument_error(
            "--moves-weight",
            format!("must be from 0 to 1, not {weight}"),
        ));
    }
    if !(args.load > 0.0 && args.load <= 100.0) {
        return Err(argument_error(
            "--load",
            format!("must be above 0 and at most 100, not {}", args.load),
        ));
    }
    Ok(PolicyOptions {
        workload: args.workload.as_deref().map(parse_workload).transpose()?,
        seed: args.seed,
        faults: args.faults,
        moves_weight: args.moves_weight,
        policy: args.policy.clone().map(validate_policy).transpose()?,
        load: args.load,
        ..PolicyOptions::default()
    })
}

fn parse_workload(name: &str) -> Result<Workload, CommandError> {
    let known = [Workload::Cooperative, Workload::Association];
    known
        .into_iter()
        .find(|w| w.to_string() == name)
        .ok_or_else(|| {
            argument_error(
                "--workload",
                format!("{name:?} is not cooperative or association"),
            )
        })
}

fn validate_policy(name: String) -> Result<String, CommandError> {
    if policy_names().any(|known| known == name) {
        return Ok(name);
    }
    let known = policy_names().collect::<Vec<_>>().join(", ");
    Err(argument_error(
        "--policy",
        format!("{name:?} is not known; known are {known}"),
    ))
}

fn argument_error(argument: &'static str, reason: String) -> CommandError {
    CommandError::Argument { argument, reason }
}

fn format_policy(line: &PolicyLine) -> String {
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

/// Prints the costs of each role at several sizes, and the slope per unit of size.
pub(super) fn slopes(json: bool) {
    for line in slopes::run() {
        if json {
            println!("{}", serde_json::to_string(&line).unwrap_or_default());
        } else {
            print!("{}", format_slope(&line));
        }
    }
}

fn format_slope(line: &SlopeLine) -> String {
    let mut rows = vec![format!("{} by {}", line.role, line.axis)];
    rows.extend(line.samples.iter().map(format_sample));
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

fn format_sample(sample: &Sample) -> String {
    format!(
        "  {:>6}: {:>9.0} B/s {:>9.3} ms/s {:>10.0} B {:>6.2} calls/s",
        sample.size, sample.bytes, sample.cpu_ms, sample.memory, sample.calls
    )
}
