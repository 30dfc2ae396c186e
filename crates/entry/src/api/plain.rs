//! Calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};
use kumquatkeel_core::admission::Arrival;
use kumquatkeel_core::request::{FlowAnswer, FlowSpec};
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_types::digest::hash_parts;
use kumquatkeel_types::document::{Document, Service, ServiceKind};
use kumquatkeel_types::message::{PlainWork, Work};
use kumquatkeel_types::{
    CallerName, ErrorBody, ErrorCode, IdempotencyKey, Outcome, RequestId, ServiceName,
};

use super::answer::{name_outcome, name_request, refused};
use super::completions::{Sender, collect};
use super::headers::{check_right, deadline_of, key_of, priority_of};
use crate::EntryState;
use crate::call::KeyedCall;
use crate::path::{AdmittedRequest, spawn_request};
use crate::state::ticket_of;

/// The content type of a body whose sender names none.
const DEFAULT_TYPE: &str = "application/json";
/// The priority of a plain call.
const PRIORITY: u8 = 5;
/// Longest path below a service, in bytes.
const MOST_PATH_BYTES: usize = 1_024;

/// The service and path of a plain call.
pub(super) struct PlainPath {
    pub(super) service: String,
    pub(super) path: String,
}

/// Runs a plain call and makes its answer.
pub(super) async fn call(
    state: &Arc<EntryState>,
    document: &Document,
    sender: Sender<'_>,
    at: PlainPath,
    body: Bytes,
) -> Result<Response<Body>, ErrorBody> {
    let service = service_of(document, &at.service)?;
    check_right(sender.caller, &service.name)?;
    let key = key_of(sender.headers)?;
    if key.is_none() && !service.idempotent {
        let reason = "idempotency-key: is needed, for the service's calls must not be repeated";
        return Err(refused(ErrorCode::InvalidRequest, reason));
    }
    let work = work_of(&at.path, &sender, body, key)?;
    let id = state.next_request();
    let answer = run(state, &sender, service, work, id.clone()).await;
    answer
        .and_then(|answer| answer_of(answer, &id))
        .map_err(|mut body| {
            body.request = Some(id.clone());
            body
        })
}

fn service_of<'a>(document: &'a Document, name: &str) -> Result<&'a Service, ErrorBody> {
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

fn work_of(
    path: &str,
    sender: &Sender<'_>,
    body: Bytes,
    key: Option<IdempotencyKey>,
) -> Result<PlainWork, ErrorBody> {
    let invalid = |reason: &str| refused(ErrorCode::InvalidRequest, reason);
    if path.len() > MOST_PATH_BYTES {
        return Err(invalid("path: is too long"));
    }
    let content_type = match sender.headers.get(CONTENT_TYPE).map(HeaderValue::to_str) {
        None => DEFAULT_TYPE,
        Some(Ok(text)) => text,
        Some(Err(_)) => return Err(invalid("content-type: must be visible ASCII")),
    };
    let body = String::from_utf8(body.into()).map_err(|_| invalid("body: is not UTF-8"))?;
    Ok(PlainWork {
        caller: Some(sender.caller.name.clone()),
        path: format!("/{path}"),
        content_type: content_type.into(),
        body,
        key,
    })
}

async fn run(
    state: &Arc<EntryState>,
    sender: &Sender<'_>,
    service: &Service,
    work: PlainWork,
    id: RequestId,
) -> Result<FlowAnswer, ErrorBody> {
    let limit = deadline_of(sender.headers, service.deadline_ms)?;
    let deadline = sender.arrived.after(limit);
    let priority = priority_of(sender.headers, PRIORITY)?;
    let arrival = Arrival {
        ticket: ticket_of(&id),
        caller: sender.caller.name.clone(),
        priority,
        start_by: deadline,
    };
    let admission_permit = state
        .admission
        .admit(&service.name, arrival)
        .await
        .map_err(|refusal| state.refuse(service, refusal))?;
    let input = AdmittedRequest {
        call: keyed_call(&sender.caller.name, service, &work),
        route: route_of(service, &work, priority, limit),
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
        arrived: sender.arrived,
        permit: sender.permit.clone(),
        admission_permit,
        demand: None,
    };
    let mut outputs = spawn_request(state, input);
    collect(&mut outputs, &mut String::new()).await
}

fn route_of(service: &Service, work: &PlainWork, priority: u8, limit: Duration) -> RouteRequest {
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

/// Returns the call as the ledger keeps it; calls that may be repeated need no ledger.
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

fn answer_of(answer: FlowAnswer, id: &RequestId) -> Result<Response<Body>, ErrorBody> {
    let FlowAnswer::Plain {
        status,
        content_type,
        body,
    } = answer
    else {
        return Err(unreadable("the service's answer has no body"));
    };
    let status = StatusCode::from_u16(status)
        .map_err(|_| unreadable("the service's answer has no valid status"))?;
    let content_type = HeaderValue::try_from(content_type)
        .unwrap_or_else(|_| HeaderValue::from_static(DEFAULT_TYPE));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    name_outcome(&mut response, Outcome::Done);
    name_request(&mut response, id);
    Ok(response)
}

fn unreadable(message: &str) -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Unknown,
        code: ErrorCode::TargetError,
        message: message.into(),
        request: None,
        retry_after_ms: None,
    }
}
