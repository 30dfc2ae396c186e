//! The console's pages on top of the document in force.

use kumquatkeel_console::{
    Form, FormAction, FormError, Notice, Page, Section, document_of, read_form, render,
};
use kumquatkeel_types::document::Faults;
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest};
use kumquatkeel_types::{CallerName, Revision};
use log::info;
use serde_json::Value;

use crate::EntryState;

/// Shows a section of the document in force.
pub(super) fn show(state: &EntryState, operator: &CallerName, section: Section) -> String {
    let (base, document) = in_force(state);
    let token = token_of(state, operator);
    render(&Page::new(section, &document).base(base).token(&token))
}

/// Carries out what a form asks for, and shows the result.
pub(super) async fn take(
    state: &EntryState,
    operator: &CallerName,
    section: Section,
    body: &[u8],
) -> String {
    let (base, document) = in_force(state);
    let token = token_of(state, operator);
    let page = |document, base| Page::new(section, document).base(base).token(&token);
    let form = match read_form(section, body) {
        Ok(form) if form.token == token => form,
        Ok(_) => return render(&page(&document, base).notice(bad("the form is not of this page"))),
        Err(error) => return render(&page(&document, base).notice(bad(text_of(error)))),
    };
    let Form {
        base: form_base, ..
    } = form;
    let submission = form.into_submission(section, document);
    let checked = document_of(submission.document.clone());
    let shown = page(&submission.document, form_base);
    match (submission.action, checked) {
        (FormAction::Add | FormAction::Remove(_), _) => render(&shown),
        (_, Err(faults)) => render(&shown.faults(&faults)),
        (FormAction::Check, Ok(_)) => {
            render(&shown.notice(Notice::Good("the document has no faults".into())))
        }
        (FormAction::Apply, Ok(document)) => {
            let document = document.raw().clone();
            let reply = state
                .desk()
                .apply(ApplyRequest {
                    base: form_base,
                    document,
                })
                .await;
            info!(target: "console", "console: {operator} applied the document: {reply:?}");
            let faults = faults_of(&reply);
            let base = committed_base(&reply).or(form_base);
            let shown = page(&submission.document, base).notice(notice_of(&reply));
            render(&shown.faults(&faults))
        }
    }
}

fn in_force(state: &EntryState) -> (Option<Revision>, Value) {
    let raw = state
        .document()
        .map(|document| document.raw().clone())
        .unwrap_or_default();
    (
        state.revision(),
        serde_json::to_value(raw).unwrap_or_default(),
    )
}

/// Returns the token that the forms of an operator carry; the same at every entry.
fn token_of(state: &EntryState, operator: &CallerName) -> String {
    state.settings.peer_key.token_for(operator)
}

const fn committed_base(reply: &ApplyReply) -> Option<Revision> {
    match reply {
        ApplyReply::Committed { revision } => Some(*revision),
        _ => None,
    }
}

fn faults_of(reply: &ApplyReply) -> Faults {
    match reply {
        ApplyReply::Invalid { faults } => faults.clone(),
        _ => Faults::default(),
    }
}

fn notice_of(reply: &ApplyReply) -> Notice {
    match reply {
        ApplyReply::Committed { revision } => Notice::Good(format!(
            "revision {revision} is committed and spreads from now on"
        )),
        ApplyReply::Invalid { .. } => bad("the document has faults; nothing was committed"),
        ApplyReply::Conflict { revision, changes } => Notice::Bad(format!(
            "another operator was first: revision {revision} is in force with {} changes since; \
             nothing was committed, load the page again",
            changes.len()
        )),
        ApplyReply::StoreUnavailable { reason } => {
            Notice::Bad(format!("nothing was committed: {reason}"))
        }
        ApplyReply::Unknown { reason } => Notice::Bad(format!(
            "it is not known whether it was committed: {reason}"
        )),
    }
}

fn bad(text: &str) -> Notice {
    Notice::Bad(text.into())
}

const fn text_of(error: FormError) -> &'static str {
    match error {
        FormError::TooManyFields => "the form has too many fields",
        FormError::UnknownAction => "the form asks for no known action",
        FormError::BadBase => "the form's revision is not a number",
    }
}
