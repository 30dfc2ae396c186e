//! Calls to plain services: targets that are reached over HTTP and serve no models.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use kumquatkeel_core::admission::Arrival;
use kumquatkeel_core::request::{FlowAnswer, FlowSpec};
use kumquatkeel_core::response::is_final_status;
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::document::{Document, Service, ServiceKind};
use kumquatkeel_types::message::{PlainWork, Work};
use kumquatkeel_types::{
    CallerName, ErrorBody, ErrorCode, IdempotencyKey, Outcome, RequestId, ServiceName,
};

use super::completions::{RequestMeta, collect_output};
use super::headers::{check_access, parse_deadline, parse_idempotency_key, parse_priority};
use super::responses::{refused, set_outcome, set_request_id};
use crate::EntryState;
use crate::call::KeyedCall;
use crate::path::{AdmittedRequest, spawn_request};
use crate::state::ticket_of;

/// Content type of a body that is sent without one.
const DEFAULT_CONTENT_TYPE: &str = "application/json";
/// Priority of a call that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Longest path below a service.
const MAX_PATH_BYTES: usize = 1_024;

/// Service name and path of a plain call, as the caller wrote them.
pub(super) struct PlainPath {
    pub(super) service: String,
    pub(super) path: String,
}

/// Runs a plain call and builds its response.
pub(super) async fn call_service(
    state: &Arc<EntryState>,
    document: &Document,
    meta: RequestMeta<'_>,
    plain_path: PlainPath,
    body: Bytes,
) -> Result<Response<Body>, ErrorBody> {
    let service = find_service(document, &plain_path.service)?;
    check_access(meta.caller, &service.name)?;
    let key = parse_idempotency_key(meta.headers)?;
    if key.is_none() && !service.idempotent {
        let reason = "idempotency-key: is needed, for the service's calls must not be repeated";
        return Err(refused(ErrorCode::InvalidRequest, reason));
    }
    let work = build_work(&plain_path.path, &meta, body, key)?;
    let id = state.next_request();
    let answer = run(state, &meta, service, work, id.clone()).await;
    answer
        .and_then(|answer| build_response(answer, &id))
        .map_err(|mut body| {
            body.request = Some(id.clone());
            body
        })
}

fn find_service<'a>(document: &'a Document, name: &str) -> Result<&'a Service, ErrorBody> {
    let found = ServiceName::try_from(name)
        .ok()
        .and_then(|name| document.service(&name))
        .filter(|service| service.kind == ServiceKind::Plain);
    found.ok_or_else(|| {
        refused(
            ErrorCode::NotFound,
            format!("service {name:?} is not served"),
        )
    })
}

fn build_work(
    path: &str,
    meta: &RequestMeta<'_>,
    body: Bytes,
    key: Option<IdempotencyKey>,
) -> Result<PlainWork, ErrorBody> {
    let invalid = |reason: &str| refused(ErrorCode::InvalidRequest, reason);
    if path.len() > MAX_PATH_BYTES {
        return Err(invalid("path: is too long"));
    }
    let content_type = match meta.headers.get(CONTENT_TYPE).map(HeaderValue::to_str) {
        None => DEFAULT_CONTENT_TYPE,
        Some(Ok(text)) => text,
        Some(Err(_)) => return Err(invalid("content-type: must be visible ASCII")),
    };
    let body = String::from_utf8(body.into()).map_err(|_| invalid("body: is not UTF-8"))?;
    Ok(PlainWork {
        caller: Some(meta.caller.name.clone()),
        path: format!("/{path}"),
        content_type: content_type.into(),
        body,
        key,
    })
}

async fn run(
    state: &Arc<EntryState>,
    meta: &RequestMeta<'_>,
    service: &Service,
    work: PlainWork,
    id: RequestId,
) -> Result<FlowAnswer, ErrorBody> {
    let limit = parse_deadline(meta.headers, service.deadline_ms)?;
    let deadline = meta.arrived.after(limit);
    let priority = parse_priority(meta.headers, DEFAULT_PRIORITY)?;
    let arrival = Arrival {
        ticket: ticket_of(&id),
        caller: meta.caller.name.clone(),
        priority,
        start_by: deadline,
    };
    let admission_permit = state
        .admit(&service.name, arrival, deadline)
        .await
        .map_err(|refusal| state.refuse(service, refusal))?;
    let input = AdmittedRequest {
        call: keyed_call(&meta.caller.name, service, &work),
        route: build_route(service, &work, priority, limit),
        spec: FlowSpec {
            id,
            service: service.name.clone(),
            priority,
            work: Work::Plain(work),
            idempotent: service.idempotent,
            deadline,
            first_token: limit,
        },
        service: Arc::new(service.clone()),
        arrived: meta.arrived,
        permit: meta.permit.clone(),
        admission_permit,
        demand: None,
    };
    let mut outputs = spawn_request(state, input);
    collect_output(&mut outputs, &mut String::new()).await
}

fn build_route(service: &Service, work: &PlainWork, priority: u8, limit: Duration) -> RouteRequest {
    RouteRequest {
        service: service.name.clone(),
        model: None,
        adapter: None,
        prefix: Vec::new(),
        priority,
        first_token: limit,
        bytes: work.body.len() as u64 * 2,
    }
}

/// Returns the call as recorded in the ledger, or `None` for an idempotent service.
///
/// Calls of idempotent services may be repeated, so they are not recorded.
fn keyed_call(caller: &CallerName, service: &Service, work: &PlainWork) -> Option<KeyedCall> {
    if service.idempotent {
        return None;
    }
    let parts = [&work.path, &work.content_type, &work.body];
    Some(KeyedCall {
        caller: caller.clone(),
        service: service.name.clone(),
        key: work.key.clone()?,
        digest: hash_parts(parts.map(String::as_str)),
    })
}

fn build_response(answer: FlowAnswer, id: &RequestId) -> Result<Response<Body>, ErrorBody> {
    let FlowAnswer::Plain {
        status,
        content_type,
        body,
    } = answer
    else {
        return Err(invalid_answer("the service's answer has no body"));
    };
    let status = StatusCode::from_u16(status).ok();
    let status = status
        .filter(|status| is_final_status(status.as_u16()))
        .ok_or_else(|| invalid_answer("the service's answer has no valid status"))?;
    let content_type = HeaderValue::try_from(content_type)
        .unwrap_or_else(|_| HeaderValue::from_static(DEFAULT_CONTENT_TYPE));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    set_outcome(&mut response, Outcome::Done);
    set_request_id(&mut response, id);
    Ok(response)
}

/// Builds the error for an answer of the service that can't be passed on.
fn invalid_answer(message: &str) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Unknown,
        code: ErrorCode::TargetError,
        message: message.into(),
        request: None,
        retry_after_ms: None,
    }
}
