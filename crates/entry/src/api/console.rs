//! The console pages, which show and edit the active configuration document.

use kumquatkeel_console::{
    Form, FormAction, FormError, Notice, Page, Section, document_of, read_form, render,
};
use kumquatkeel_types::document::Faults;
use kumquatkeel_types::operator::{ApplyReply, ApplyRequest};
use kumquatkeel_types::{CallerName, Revision};
use log::info;
use serde_json::Value;

use crate::EntryState;

/// Renders the page of a section of the active document.
pub(super) fn render_section(
    state: &EntryState,
    operator: &CallerName,
    section: Section,
) -> String {
    let (base, document) = current_document(state);
    let token = form_token(state, operator);
    render(&Page::new(section, &document).base(base).token(&token))
}

/// Performs the action of a submitted form, and renders the resulting page.
pub(super) async fn submit_form(
    state: &EntryState,
    operator: &CallerName,
    section: Section,
    body: &[u8],
) -> String {
    let (base, document) = current_document(state);
    let token = form_token(state, operator);
    let page = |document, base| Page::new(section, document).base(base).token(&token);
    let form = match read_form(section, body) {
        Ok(form) if form.token == token => form,
        Ok(_) => return render(&page(&document, base).notice(bad("the form's token is invalid"))),
        Err(error) => return render(&page(&document, base).notice(bad(form_error_text(error)))),
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
                .committer()
                .apply(ApplyRequest {
                    base: form_base,
                    document,
                })
                .await;
            info!(target: "console", "console: operator {operator} submitted a configuration document: {reply:?}");
            let faults = reply_faults(&reply);
            let base = committed_base(&reply).or(form_base);
            let shown = page(&submission.document, base).notice(reply_notice(&reply));
            render(&shown.faults(&faults))
        }
    }
}

/// Returns the active revision and document, or a default document before the first one.
fn current_document(state: &EntryState) -> (Option<Revision>, Value) {
    let raw = state
        .document()
        .map(|document| document.raw().clone())
        .unwrap_or_default();
    (
        state.revision(),
        serde_json::to_value(raw).unwrap_or_default(),
    )
}

/// Returns the CSRF token of the operator's forms.
///
/// It is derived from the peer key, so a form loaded from one entry is valid at every other.
fn form_token(state: &EntryState, operator: &CallerName) -> String {
    state.settings.peer_key.token_for(operator)
}

/// Returns the revision on which the next edit is based after a successful commit.
const fn committed_base(reply: &ApplyReply) -> Option<Revision> {
    match reply {
        ApplyReply::Committed { revision } => Some(*revision),
        _ => None,
    }
}

/// Returns the faults that the commit reported.
fn reply_faults(reply: &ApplyReply) -> Faults {
    match reply {
        ApplyReply::Invalid { faults } => faults.clone(),
        _ => Faults::default(),
    }
}

/// Describes the result of a commit to the operator.
fn reply_notice(reply: &ApplyReply) -> Notice {
    match reply {
        ApplyReply::Committed { revision } => Notice::Good(format!(
            "revision {revision} was committed and is being distributed"
        )),
        ApplyReply::Invalid { .. } => bad("the document has faults; nothing was committed"),
        ApplyReply::Conflict { revision, changes } => Notice::Bad(format!(
            "conflict with another operator: revision {revision} is active, with {} changes since; \
             nothing was committed; reload the page",
            changes.len()
        )),
        ApplyReply::StoreUnavailable { reason } => {
            Notice::Bad(format!("nothing was committed: {reason}"))
        }
        ApplyReply::Unknown { reason } => Notice::Bad(format!(
            "it is unknown whether the document was committed: {reason}"
        )),
    }
}

/// Builds the notice of an action that failed.
fn bad(text: &str) -> Notice {
    Notice::Bad(text.into())
}

const fn form_error_text(error: FormError) -> &'static str {
    match error {
        FormError::TooManyFields => "the form has too many fields",
        FormError::UnknownAction => "the form's action is unknown",
        FormError::BadBase => "the form's revision is not a number",
    }
}
