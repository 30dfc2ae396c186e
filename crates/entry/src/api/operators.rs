//! The operators' interface and the console.
//!
//! | path | method | answer |
//! |---|---|---|
//! | `/operator/document` | GET, PUT | the document in force; what became of a new one |
//! | `/operator/status` | GET | the revision and all processes |
//! | `/operator/burn` | GET | this entry's request counts |
//! | `/console/{section}` | GET, POST | a page of the console |
//!
//! The key is checked before the body is read. Programs send it as `Authorization: Bearer`,
//! browsers as the password of `Authorization: Basic`.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Path, RawRequest, RequestContext,
    endpoint,
};
use http::header::{CONTENT_TYPE, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use kumquatkeel_console::Section;
use kumquatkeel_types::operator::{ApplyRequest, CurrentDocument};
use kumquatkeel_types::{CallerName, ErrorBody, ErrorCode, Outcome};
use schemars::JsonSchema;
use serde::Deserialize;

use super::ApiContext;
use super::answer::{error_answer, json_answer, refused};
use super::body::{read_body, read_json};
use super::console;
use super::rights::operator_of;
use crate::EntryState;

/// Largest document that is read, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

type Context = RequestContext<ApiContext>;
type Answer = Result<Response<Body>, HttpError>;

/// Adds the operators' endpoints.
pub(super) fn register(
    api: &mut ApiDescription<ApiContext>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(read_document)?;
    api.register(apply_document)?;
    api.register(read_status)?;
    api.register(read_burn)?;
    api.register(show_page)?;
    api.register(take_form)
}

/// The path of a page of the console.
#[derive(Debug, Deserialize, JsonSchema)]
struct PagePath {
    section: String,
}

/// Returns the document in force, or null before the first.
#[endpoint { method = GET, path = "/operator/document" }]
async fn read_document(context: Context) -> Answer {
    let state = &context.context().state;
    Ok(checked(&context).map_or_else(
        |body| unauthorized(&body),
        |_| {
            let current = state
                .revision()
                .zip(state.document())
                .map(|(revision, document)| CurrentDocument {
                    revision,
                    document: document.raw().clone(),
                });
            json_answer(StatusCode::OK, Outcome::Done, &current)
        },
    ))
}

/// Validates a document in full and commits it.
#[endpoint { method = PUT, path = "/operator/document" }]
async fn apply_document(context: Context, request: RawRequest) -> Answer {
    let state = &context.context().state;
    if let Err(body) = checked(&context) {
        return Ok(unauthorized(&body));
    }
    let read = read_request(state, request)
        .await
        .and_then(|body| read_json::<ApplyRequest>(&body));
    Ok(match read {
        Err(body) => error_answer(&body),
        Ok(apply) => {
            let reply = state.desk().apply(apply).await;
            json_answer(StatusCode::OK, Outcome::Done, &reply)
        }
    })
}

/// Returns the revision in force here and the reports of all processes known.
#[endpoint { method = GET, path = "/operator/status" }]
async fn read_status(context: Context) -> Answer {
    let state = &context.context().state;
    Ok(checked(&context).map_or_else(
        |body| unauthorized(&body),
        |_| json_answer(StatusCode::OK, Outcome::Done, &state.status()),
    ))
}

/// Returns this entry's request counts for the burn report.
#[endpoint { method = GET, path = "/operator/burn" }]
async fn read_burn(context: Context) -> Answer {
    let state = &context.context().state;
    Ok(checked(&context).map_or_else(
        |body| unauthorized(&body),
        |_| json_answer(StatusCode::OK, Outcome::Done, &state.burn_counts()),
    ))
}

/// Shows a page of the console.
#[endpoint { method = GET, path = "/console/{section}", unpublished = true }]
async fn show_page(context: Context, path: Path<PagePath>) -> Answer {
    let state = &context.context().state;
    Ok(match (checked(&context), section_of(&path.into_inner())) {
        (Err(body), _) => unauthorized(&body),
        (_, Err(body)) => error_answer(&body),
        (Ok(operator), Ok(section)) => html_answer(console::show(state, &operator, section)),
    })
}

/// Takes a form of the console.
#[endpoint { method = POST, path = "/console/{section}", unpublished = true }]
async fn take_form(context: Context, path: Path<PagePath>, request: RawRequest) -> Answer {
    let state = &context.context().state;
    let operator = match checked(&context) {
        Ok(operator) => operator,
        Err(body) => return Ok(unauthorized(&body)),
    };
    let section = match section_of(&path.into_inner()) {
        Ok(section) => section,
        Err(body) => return Ok(error_answer(&body)),
    };
    Ok(match read_request(state, request).await {
        Ok(form) => html_answer(console::take(state, &operator, section, &form).await),
        Err(body) => error_answer(&body),
    })
}

fn section_of(path: &PagePath) -> Result<Section, ErrorBody> {
    Section::of_field(&path.section)
        .ok_or_else(|| refused(ErrorCode::NotFound, "the console has no such page"))
}

/// Finds the operator whose key the request carries.
fn checked(context: &Context) -> Result<CallerName, ErrorBody> {
    operator_of(&context.context().state, context.request.headers())
        .ok_or_else(|| refused(ErrorCode::Unauthorized, "the key is not an operator's"))
}

async fn read_request(
    state: &Arc<EntryState>,
    request: RawRequest,
) -> Result<bytes::Bytes, ErrorBody> {
    let body = request.into_inner().into_body();
    read_body(body, MAX_DOCUMENT_BYTES, state.settings.body_time).await
}

/// Refuses, and lets a browser ask for the key.
fn unauthorized(body: &ErrorBody) -> Response<Body> {
    let mut answer = error_answer(body);
    let challenge = HeaderValue::from_static("Basic realm=\"kumquatkeel\"");
    answer.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    answer
}

fn html_answer(page: String) -> Response<Body> {
    let mut answer = Response::new(Body::with_content(page));
    let headers = answer.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/html; charset=utf-8"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    headers.insert("x-frame-options", HeaderValue::from_static("DENY"));
    let policy = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'";
    headers.insert("content-security-policy", HeaderValue::from_static(policy));
    answer
}
