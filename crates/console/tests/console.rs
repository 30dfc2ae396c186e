//! Guards against pages and forms that lose or change values of the document on their way through
//! the browser, hide faults, let markup through, or panic on arbitrary input.

use kumquatkeel_console::{
    Form, FormAction, FormError, Page, Section, document_of, read_form, render,
};
use kumquatkeel_types::Revision;
use kumquatkeel_types::document::RawDocument;
use kumquatkeel_types::jsonc;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::Value;

const SAMPLE: &str = r#"{
  "regions": [{"name": "amman", "data_centres": ["amman-a", "amman-b"]}],
  "models": [{"name": "m", "version": "1", "memory_mb": 4000, "kv_mb": 1000, "slots": 8}],
  "services": [{"name": "assist", "kind": "completions", "rate": 9},
               {"name": "chat", "kind": "completions"}],
  "deployments": [{"name": "d", "service": "assist", "data_centres": ["amman-a"],
    "models": [{"name": "m", "version": "1"}]}],
  "targets": [{"name": "t1", "data_centre": "amman-a", "kind": "engine", "agent": "127.0.0.1:1",
    "accelerators": 1, "accelerator_mb": 8000}]
}"#;

fn sample() -> Value {
    let raw: RawDocument = jsonc::parse(SAMPLE).expect("the sample parses");
    serde_json::to_value(raw).expect("a document is JSON")
}

/// Returns the body that a browser sends when the button `action` of a page is pressed.
fn body_of(page: &str, action: &str) -> String {
    let mut body = form_urlencoded::Serializer::new(String::new());
    for input in page.split("<input ").skip(1) {
        let attribute = |name: &str| {
            let rest = input.split_once(&format!("{name}=\""))?.1;
            Some(
                rest.split_once('"')?
                    .0
                    .replace("&quot;", "\"")
                    .replace("&lt;", "<")
                    .replace("&gt;", ">")
                    .replace("&amp;", "&"),
            )
        };
        let name = attribute("name").expect("each input has a name");
        body.append_pair(&name, &attribute("value").unwrap_or_default());
    }
    body.append_pair("action", action).finish()
}

fn submit_unchanged(section: Section, action: &str) -> Form {
    let document = sample();
    let page = render(
        &Page::new(section, &document)
            .base(Some(Revision(3)))
            .token("t"),
    );
    read_form(section, body_of(&page, action)).expect("a form of the console")
}

#[rstest]
#[case(Section::Regions)]
#[case(Section::Models)]
#[case(Section::Adapters)]
#[case(Section::Services)]
#[case(Section::Deployments)]
#[case(Section::Targets)]
#[case(Section::Callers)]
#[case(Section::Operators)]
#[case(Section::Policy)]
fn a_page_submitted_unchanged_leaves_the_document_as_it_was(#[case] section: Section) {
    let form = submit_unchanged(section, "check");
    assert_eq!((form.base, form.token.as_str()), (Some(Revision(3)), "t"));
    let submission = form.into_submission(section, sample());
    let read: RawDocument = serde_json::from_value(submission.document).expect("a document");
    let sample: RawDocument = serde_json::from_value(sample()).expect("a document");
    assert_eq!(read, sample);
}

#[test]
fn add_and_remove_change_the_list_and_ignore_an_index_past_its_end() {
    let added = submit_unchanged(Section::Models, "add").into_submission(Section::Models, sample());
    assert_eq!(added.document["models"].as_array().map(Vec::len), Some(2));
    let removed = submit_unchanged(Section::Services, "remove-0")
        .into_submission(Section::Services, sample());
    assert_eq!(removed.document["services"][0]["name"], "chat");
    assert_eq!(removed.action, FormAction::Remove(0));
    let none =
        submit_unchanged(Section::Models, "remove-9").into_submission(Section::Models, sample());
    assert_eq!(none.document, sample());
}

#[rstest]
#[case::wrong_type(Section::Models, "4000", "much", "models[0].memory_mb")]
#[case::bad_name(Section::Models, "value=\"m\"", "value=\"m m\"", "models[0].name")]
#[case::out_of_range(Section::Services, "680", "0", "services[0].first_token_ms")]
#[case::missing_reference(Section::Deployments, "assist", "none", "deployments[0].service")]
fn a_fault_is_shown_beside_its_field(
    #[case] section: Section,
    #[case] from: &str,
    #[case] to: &str,
    #[case] path: &str,
) {
    let page = render(&Page::new(section, &sample()));
    assert!(page.contains(from), "the page holds {from}");
    let form = read_form(section, body_of(&page.replacen(from, to, 1), "check")).expect("a form");
    let document = form.into_submission(section, sample()).document;
    let faults = document_of(document.clone()).expect_err("a fault");
    assert!(faults.0.iter().any(|f| f.path == path), "{faults}");
    let shown = render(&Page::new(section, &document).faults(&faults));
    let input = shown
        .split_once(&format!("name=\"{path}\""))
        .expect("the field is shown")
        .1;
    let label = input.split_once("</label>").expect("the label ends").0;
    assert!(label.contains("class=\"fault\""), "{label}");
}

#[test]
fn text_of_the_document_is_escaped() {
    let mut document = sample();
    document["models"][0]["name"] = "<script>\"".into();
    let page = render(&Page::new(Section::Models, &document));
    assert!(!page.contains("<script>"), "{page}");
}

#[rstest]
#[case::no_action("token=t", FormError::UnknownAction)]
#[case::odd_action("action=explode", FormError::UnknownAction)]
#[case::bad_base("action=check&base=x", FormError::BadBase)]
fn a_malformed_form_is_refused(#[case] body: &str, #[case] error: FormError) {
    assert_eq!(read_form(Section::Models, body), Err(error));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bodies_do_not_panic(body in proptest::collection::vec(any::<u8>(), 0..300)) {
        for section in Section::ALL {
            if let Ok(form) = read_form(section, &body) {
                let _ = document_of(form.into_submission(section, sample()).document);
            }
        }
    }
}
