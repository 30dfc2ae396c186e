//! The operators' HTTP endpoints and the console.
//!
//! | path | method | response |
//! |---|---|---|
//! | `/operator/document` | GET, PUT | the active configuration document; the result of committing a new one |
//! | `/operator/status` | GET | the active revision and the reports of all processes |
//! | `/operator/burn` | GET | this entry's request counts for the burn rate |
//! | `/console/{section}` | GET, POST | a console page |
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
use super::body::{parse_json, read_body};
use super::console;
use super::operator_auth::authenticate_operator;
use super::responses::{error_response, json_response, refused};
use crate::EntryState;

/// Largest request body of an operator: a document or a form.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

type Context = RequestContext<ApiContext>;
type HandlerResult = Result<Response<Body>, HttpError>;

/// Registers the operators' endpoints.
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

/// Path parameters of a console page.
#[derive(Debug, Deserialize, JsonSchema)]
struct PagePath {
    section: String,
}

/// Returns the active document and its revision, or null if there is none yet.
#[endpoint { method = GET, path = "/operator/document" }]
async fn read_document(context: Context) -> HandlerResult {
    let state = &context.context().state;
    Ok(authenticate(&context).map_or_else(
        |body| unauthorized(&body),
        |_| {
            let current = state
                .revision()
                .zip(state.document())
                .map(|(revision, document)| CurrentDocument {
                    revision,
                    document: document.raw().clone(),
                });
            json_response(StatusCode::OK, Outcome::Done, &current)
        },
    ))
}

/// Validates and commits a configuration document.
#[endpoint { method = PUT, path = "/operator/document" }]
async fn apply_document(context: Context, request: RawRequest) -> HandlerResult {
    let state = &context.context().state;
    if let Err(body) = authenticate(&context) {
        return Ok(unauthorized(&body));
    }
    let read = read_form_or_document(state, request)
        .await
        .and_then(|body| parse_json::<ApplyRequest>(&body));
    Ok(match read {
        Err(body) => error_response(&body),
        Ok(apply) => {
            let reply = state.committer().apply(apply).await;
            json_response(StatusCode::OK, Outcome::Done, &reply)
        }
    })
}

/// Returns the active revision and the newest report of each known process.
#[endpoint { method = GET, path = "/operator/status" }]
async fn read_status(context: Context) -> HandlerResult {
    let state = &context.context().state;
    Ok(authenticate(&context).map_or_else(
        |body| unauthorized(&body),
        |_| json_response(StatusCode::OK, Outcome::Done, &state.status()),
    ))
}

/// Returns this entry's request counts, from which the burn rate is computed.
#[endpoint { method = GET, path = "/operator/burn" }]
async fn read_burn(context: Context) -> HandlerResult {
    let state = &context.context().state;
    Ok(authenticate(&context).map_or_else(
        |body| unauthorized(&body),
        |_| json_response(StatusCode::OK, Outcome::Done, &state.burn_counts()),
    ))
}

/// Renders a console page.
#[endpoint { method = GET, path = "/console/{section}", unpublished = true }]
async fn show_page(context: Context, path: Path<PagePath>) -> HandlerResult {
    let state = &context.context().state;
    Ok(
        match (authenticate(&context), parse_section(&path.into_inner())) {
            (Err(body), _) => unauthorized(&body),
            (_, Err(body)) => error_response(&body),
            (Ok(operator), Ok(section)) => {
                html_response(console::render_section(state, &operator, section))
            }
        },
    )
}

/// Handles a submitted form of the console.
#[endpoint { method = POST, path = "/console/{section}", unpublished = true }]
async fn take_form(context: Context, path: Path<PagePath>, request: RawRequest) -> HandlerResult {
    let state = &context.context().state;
    let operator = match authenticate(&context) {
        Ok(operator) => operator,
        Err(body) => return Ok(unauthorized(&body)),
    };
    let section = match parse_section(&path.into_inner()) {
        Ok(section) => section,
        Err(body) => return Ok(error_response(&body)),
    };
    Ok(match read_form_or_document(state, request).await {
        Ok(form) => html_response(console::submit_form(state, &operator, section, &form).await),
        Err(body) => error_response(&body),
    })
}

fn parse_section(path: &PagePath) -> Result<Section, ErrorBody> {
    Section::of_field(&path.section)
        .ok_or_else(|| refused(ErrorCode::NotFound, "the console has no such page"))
}

/// Returns the operator that the key in the request belongs to.
fn authenticate(context: &Context) -> Result<CallerName, ErrorBody> {
    authenticate_operator(&context.context().state, context.request.headers())
        .ok_or_else(|| refused(ErrorCode::Unauthorized, "the key is not an operator's"))
}

async fn read_form_or_document(
    state: &Arc<EntryState>,
    request: RawRequest,
) -> Result<bytes::Bytes, ErrorBody> {
    let body = request.into_inner().into_body();
    read_body(state, body, MAX_DOCUMENT_BYTES).await
}

/// Builds a 401 response with a challenge that makes a browser ask for the key.
fn unauthorized(body: &ErrorBody) -> Response<Body> {
    let mut response = error_response(body);
    let challenge = HeaderValue::from_static("Basic realm=\"kumquatkeel\"");
    response.headers_mut().insert(WWW_AUTHENTICATE, challenge);
    response
}

fn html_response(page: String) -> Response<Body> {
    let mut response = Response::new(Body::with_content(page));
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/html; charset=utf-8"),
    );
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    headers.insert("x-frame-options", HeaderValue::from_static("DENY"));
    let policy = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'";
    headers.insert("content-security-policy", HeaderValue::from_static(policy));
    response
}
