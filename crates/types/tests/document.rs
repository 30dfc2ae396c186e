//! Tests of the configuration document: parsing, validation and deltas.
//!
//! They guard against invalid documents that are accepted, faults whose path gives another field,
//! input that makes the parser panic, and deltas that don't lead to the new document.

use kumquatkeel_types::document::{Delta, Document, Faults, RawDocument};
use kumquatkeel_types::{Revision, jsonc};
use proptest::prelude::*;
use rstest::rstest;

const SAMPLE: &str = r#"{
  // Two regions, three data centres.
  "regions": [
    {"name": "amman", "data_centres": ["amman-a", "amman-b"]},
    {"name": "irbid", "data_centres": ["irbid-a"]},
  ],
  "models": [{"name": "m", "version": "1", "memory_mb": 4000, "kv_mb": 1000}],
  "adapters": [{"name": "a", "model": "m", "memory_mb": 100}],
  "services": [
    {"name": "assist", "kind": "completions"},
    {"name": "desk", "kind": "plain", "idempotent": false}
  ],
  "deployments": [{
    "name": "d", "service": "assist", "adapters": ["a"], "data_centres": ["amman-a", "irbid-a"],
    "models": [{"name": "m", "version": "1", "floor": 2}]
  }],
  "targets": [
    {"name": "t1", "data_centre": "amman-a", "kind": "engine", "agent": "127.0.0.1:1",
     "accelerators": 1, "accelerator_mb": 8000},
    {"name": "t2", "data_centre": "irbid-a", "kind": "engine", "agent": "127.0.0.1:2",
     "accelerators": 1, "accelerator_mb": 8000},
    {"name": "t3", "data_centre": "irbid-a", "kind": "plain", "agent": "127.0.0.1:3",
     "services": ["desk"]}
  ]
}"#;

fn sample() -> RawDocument {
    jsonc::parse(SAMPLE).expect("the sample parses")
}

fn check(text: &str) -> Result<Document, Faults> {
    jsonc::parse::<RawDocument>(text)
        .map_err(Faults::from)
        .and_then(Document::try_from)
}

#[test]
fn a_valid_document_is_accepted_and_its_offers_are_indexed() {
    let document = check(SAMPLE).expect("no faults");
    let offer = &document.offers("a")[0];
    assert_eq!(offer.model.to_string(), "m@1");
    assert_eq!(offer.adapter.as_ref().map(AsRef::as_ref), Some("a"));
    assert!(document.offers("nothing").is_empty());
}

#[rstest]
#[case::unknown_field(
    "\"kv_mb\": 1000",
    "\"kv_mb\": 1000, \"colour\": 1",
    "models[0].colour"
)]
#[case::repeated_field("\"kv_mb\": 1000", "\"kv_mb\": 1000, \"kv_mb\": 1", "models[0]")]
#[case::out_of_range("\"floor\": 2", "\"floor\": 70000", "deployments[0].models[0].floor")]
#[case::bad_name("\"name\": \"d\"", "\"name\": \"d d\"", "deployments[0].name")]
#[case::empty_name("\"name\": \"d\"", "\"name\": \"\"", "deployments[0].name")]
#[case::bad_address("127.0.0.1:2", "here", "targets[1].agent")]
#[case::missing_model("\"model\": \"m\"", "\"model\": \"x\"", "adapters[0].model")]
#[case::missing_centre(
    "\"amman-a\", \"irbid-a\"]",
    "\"x\"]",
    "deployments[0].data_centres[0]"
)]
#[case::no_floor("\"floor\": 2", "\"floor\": 0", "deployments[0].models[0].floor")]
#[case::floor_over_memory("\"floor\": 2", "\"floor\": 3", "deployments[0].models[0].floor")]
#[case::model_over_memory("4000", "9000", "deployments[0].models[0].floor")]
#[case::plain_with_models(
    "\"service\": \"assist\"",
    "\"service\": \"desk\"",
    "deployments[0].service"
)]
#[case::completions_on_plain("[\"desk\"]", "[\"assist\"]", "targets[2].services[0]")]
#[case::repeated_target("\"t2\"", "\"t1\"", "targets[1].name")]
#[case::repeated_agent("127.0.0.1:2", "127.0.0.1:1", "targets[1].agent")]
#[case::repeated_centre("[\"irbid-a\"]", "[\"amman-a\"]", "regions[1].data_centres[0]")]
#[case::adapter_named_as_model("{\"name\": \"a\"", "{\"name\": \"m\"", "adapters[0].name")]
fn a_fault_gives_the_path_of_its_field(#[case] from: &str, #[case] to: &str, #[case] path: &str) {
    assert!(SAMPLE.contains(from), "the sample holds {from}");
    let faults = check(&SAMPLE.replacen(from, to, 1)).expect_err("a fault");
    let found = faults.0.iter().any(|f| f.path.starts_with(path));
    assert!(found, "{path} is not among:\n{faults}");
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = SAMPLE
        .replace("\"memory_mb\": 100}", "\"memory_mb\": 0}")
        .replace("\"floor\": 2", "\"floor\": 0");
    assert_eq!(check(&text).expect_err("faults").0.len(), 2);
}

#[test]
fn bytes_that_are_not_utf8_are_a_fault() {
    let fault = jsonc::parse_bytes::<RawDocument>(b"{\"regions\": \xff}").unwrap_err();
    assert!(fault.reason.contains("UTF-8"), "{fault}");
}

#[test]
fn applying_a_delta_gives_the_new_document() {
    let old = sample();
    let mut new = old.clone();
    new.services[0].queue = 7;
    new.adapters.clear();
    new.deployments[0].adapters.clear();
    let delta = Delta::between(&old, &new, Revision(2));
    assert_eq!(delta.changes.len(), 3);
    let result = old.with_delta(&delta);
    assert_eq!(result.digest(), delta.digest);
    assert_eq!(result.items(), new.items());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsing_any_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = jsonc::parse::<RawDocument>(text);
    }

    #[test]
    fn parsing_a_corrupt_document_does_not_panic(index in 0..SAMPLE.len(), byte in any::<u8>()) {
        let mut bytes = SAMPLE.as_bytes().to_vec();
        bytes[index] = byte;
        let _ = jsonc::parse_bytes::<RawDocument>(bytes).map(Document::try_from);
    }
}
