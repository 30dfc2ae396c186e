//! Runs the operator's program: exit codes and messages for invalid configurations and arguments.
//! Also guards against example files that no longer pass validation.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use kumquatkeel::agent::{AgentSettings, RawAgentSettings};
use kumquatkeel::daemon::settings::load_settings;
use kumquatkeel::entry::{EntrySettings, RawEntrySettings};
use rstest::rstest;

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn run<'a>(arguments: impl IntoIterator<Item = &'a str>) -> Output {
    Command::new(env!("CARGO_BIN_EXE_kumquatkeel"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn check(text: &str) -> Output {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("document.jsonc");
    std::fs::write(&file, text).expect("the file is written");
    run(["check", file.to_str().expect("a UTF-8 path")])
}

#[test]
fn the_example_document_has_no_faults() {
    let output = run(["check", example("document.jsonc").to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    assert!(String::from_utf8_lossy(&output.stdout).starts_with("ok: 1 models"));
}

#[test]
fn the_example_settings_are_accepted() {
    load_settings::<RawEntrySettings, EntrySettings>(example("entry.jsonc"))
        .expect("valid entry settings");
    for name in [
        "agent-engine-1.jsonc",
        "agent-engine-2.jsonc",
        "agent-orders-1.jsonc",
    ] {
        load_settings::<RawAgentSettings, AgentSettings>(example(name)).expect(name);
    }
}

#[rstest]
#[case::out_of_range(
    "\"floor\": 2",
    "\"floor\": 0",
    "deployments[0].models[0].floor: must be above 0"
)]
#[case::unknown_field("\"kv_mb\": 8000", "\"kv_gb\": 8", "models[0].kv_gb: unknown field")]
#[case::too_large(
    "\"memory_mb\": 16000",
    "\"memory_mb\": 60000",
    "deployments[0].models[0].floor: no"
)]
#[case::missing_reference(
    "\"service\": \"assist\"",
    "\"service\": \"x\"",
    "deployments[0].service: "
)]
fn each_fault_is_printed_with_its_path(#[case] from: &str, #[case] to: &str, #[case] line: &str) {
    let text = std::fs::read_to_string(example("document.jsonc")).expect("the example is read");
    assert!(text.contains(from), "the example holds {from}");
    let output = check(&text.replacen(from, to, 1));
    let printed = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(printed.lines().any(|l| l.starts_with(line)), "{printed}");
}

#[rstest]
#[case::workload(&["measure", "policy", "--workload", "x"], "--workload")]
#[case::policy(&["measure", "policy", "--policy", "x"], "known are static+round-robin")]
#[case::weight(&["measure", "policy", "--moves-weight", "2"], "--moves-weight")]
#[case::load(&["measure", "policy", "--load", "0"], "--load")]
#[case::key_file(&["status", "--key-file", "/nonexistent/key"], "reading /nonexistent/key")]
#[case::command(&["explode"], "unrecognized subcommand")]
fn an_invalid_argument_is_named_in_the_message(#[case] arguments: &[&str], #[case] message: &str) {
    let output = run(arguments.iter().copied());
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(!output.status.success());
    assert!(printed.contains(message), "{printed}");
}
