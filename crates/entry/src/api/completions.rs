//! Text and chat completions: from the validated request through admission to the response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::Body;
use http::{HeaderMap, Response, StatusCode};
use kumquatkeel_core::admission::Arrival;
use kumquatkeel_core::demand::DemandKey;
use kumquatkeel_core::request::{FlowAnswer, FlowSpec};
use kumquatkeel_core::routing::RouteRequest;
use kumquatkeel_core::routing::prefix::prefix_blocks;
use kumquatkeel_types::document::{CallerEntry, Document, Offer};
use kumquatkeel_types::message::{CompletionWork, Work};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, RequestId, Timestamp};
use serde::Deserialize;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use super::body::parse_json;
use super::headers::{check_access, parse_deadline, parse_priority};
use super::request::{CommonFields, CompletionRequest};
use super::responses::{error_response, json_response, refused, set_request_id};
use super::sse::{CompletionKind, SseBody, completion_object};
use crate::EntryState;
use crate::path::{AdmittedRequest, FlowOutput, spawn_request};
use crate::state::ticket_of;

/// Estimated size of one token in messages between processes.
const BYTES_PER_TOKEN: u64 = 64;

/// A text completion request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TextRequest {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: Option<bool>,
    seed: Option<u64>,
    n: Option<u32>,
    #[serde(rename = "user")]
    _user: Option<String>,
}

/// Parses and validates the body of a text completion request.
pub(super) fn parse_text_request(body: &Bytes) -> Result<CompletionRequest, ErrorBody> {
    let raw: TextRequest = parse_json(body)?;
    let common = CommonFields {
        model: raw.model,
        max_tokens: raw.max_tokens,
        stream: raw.stream,
        seed: raw.seed,
        n: raw.n,
    };
    CompletionRequest::validate(common, raw.prompt)
}

/// Caller, headers, arrival time and request permit of a request.
pub(super) struct RequestMeta<'a> {
    pub(super) caller: &'a CallerEntry,
    pub(super) headers: &'a HeaderMap,
    pub(super) arrived: Timestamp,
    pub(super) permit: Arc<OwnedSemaphorePermit>,
}

/// Runs a completion and builds its response, streamed or in one piece.
pub(super) async fn complete(
    state: &Arc<EntryState>,
    document: &Document,
    meta: RequestMeta<'_>,
    completion: CompletionRequest,
    kind: CompletionKind,
) -> Result<Response<Body>, ErrorBody> {
    let offer = find_offer(document, meta.caller, &completion.model)?;
    let id = state.next_request();
    let with_request_id = |mut body: ErrorBody| {
        body.request = Some(id.clone());
        body
    };
    let stream = completion.stream;
    let model = completion.model.clone();
    let mut outputs = submit(state, document, &meta, offer, completion, id.clone())
        .await
        .map_err(with_request_id)?;
    if stream {
        return Ok(stream_response(outputs, kind, id, model).await);
    }
    let mut text = String::new();
    let answer = collect_output(&mut outputs, &mut text).await;
    match answer {
        Ok(FlowAnswer::Completed { reason, tokens }) => {
            let body = completion_object(kind, &id, &model, text, reason, tokens);
            let mut response = json_response(StatusCode::OK, Outcome::Done, &body);
            set_request_id(&mut response, &id);
            Ok(response)
        }
        Ok(FlowAnswer::Plain { .. }) => Err(with_request_id(interrupted())),
        Err(body) => Err(body),
    }
}

/// Resolves the `model` field to an offer of a service that the caller may use.
///
/// Fails with `not_found` for an unknown name, and with `forbidden` if no offer is allowed.
fn find_offer<'a>(
    document: &'a Document,
    caller: &CallerEntry,
    model: &str,
) -> Result<&'a Offer, ErrorBody> {
    let offers = document.offers(model);
    let Some(first) = offers.first() else {
        let message = format!("model: {model:?} is not served");
        return Err(refused(ErrorCode::NotFound, message));
    };
    let allowed = offers.iter().find(|o| caller.services.contains(&o.service));
    match allowed {
        Some(offer) => Ok(offer),
        None => check_access(caller, &first.service).map(|()| first),
    }
}

/// Waits for admission by the service's controller, then starts the request.
async fn submit(
    state: &Arc<EntryState>,
    document: &Document,
    meta: &RequestMeta<'_>,
    offer: &Offer,
    completion: CompletionRequest,
    id: RequestId,
) -> Result<mpsc::Receiver<FlowOutput>, ErrorBody> {
    let service = document
        .service(&offer.service)
        .ok_or_else(|| refused(ErrorCode::NotFound, "the service is not served"))?;
    let deadline = meta
        .arrived
        .after(parse_deadline(meta.headers, service.deadline_ms)?);
    let first_token = Duration::from_millis(u64::from(service.first_token_ms));
    let start_by = meta.arrived.after(first_token).min(deadline);
    let priority = parse_priority(meta.headers, offer.priority)?;
    let arrival = Arrival {
        ticket: ticket_of(&id),
        caller: meta.caller.name.clone(),
        priority,
        start_by,
    };
    let mut demand = state.demand.start(DemandKey {
        model: offer.model.clone(),
        adapter: offer.adapter.clone(),
    });
    let admission_permit = state
        .admit(&service.name, arrival, deadline)
        .await
        .map_err(|refusal| {
            demand.failed(refusal.code);
            state.refuse(service, refusal)
        })?;
    let answer_bytes = u64::from(completion.max_tokens) * BYTES_PER_TOKEN;
    let route = RouteRequest {
        service: service.name.clone(),
        model: Some(offer.model.clone()),
        adapter: offer.adapter.clone(),
        prefix: prefix_blocks(&completion.prompt),
        priority,
        first_token,
        bytes: completion.prompt.len() as u64 + answer_bytes,
    };
    let work = Work::Completion(CompletionWork {
        model: offer.model.clone(),
        adapter: offer.adapter.clone(),
        prompt: completion.prompt,
        max_tokens: completion.max_tokens,
        seed: completion.seed.unwrap_or(id.number),
        resume: Vec::new(),
    });
    let spec = FlowSpec {
        id,
        service: service.name.clone(),
        priority,
        work,
        idempotent: true,
        deadline,
        first_token,
    };
    let input = AdmittedRequest {
        spec,
        route,
        service: Arc::new(service.clone()),
        call: None,
        arrived: meta.arrived,
        permit: meta.permit.clone(),
        admission_permit,
        demand: Some(demand),
    };
    Ok(spawn_request(state, input))
}

/// Appends the tokens to `text` until the request ends, and returns its result.
pub(super) async fn collect_output(
    outputs: &mut mpsc::Receiver<FlowOutput>,
    text: &mut String,
) -> Result<FlowAnswer, ErrorBody> {
    while let Some(output) = outputs.recv().await {
        match output {
            FlowOutput::Token(token) => text.push_str(&token),
            FlowOutput::Done(answer) => return Ok(answer),
            FlowOutput::Failed(body) => return Err(body),
        }
    }
    Err(interrupted())
}

/// Builds a streamed response, or an error response if the request fails before its first output.
async fn stream_response(
    mut outputs: mpsc::Receiver<FlowOutput>,
    kind: CompletionKind,
    id: RequestId,
    model: String,
) -> Response<Body> {
    let first = outputs.recv().await;
    let first = match first {
        Some(FlowOutput::Failed(body)) => return error_response(&body),
        Some(output) => output,
        None => return error_response(&interrupted()),
    };
    SseBody::new(outputs, first, kind, id, model).into_response()
}

/// Builds the error for a request whose outputs ended without a result.
fn interrupted() -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Unknown,
        code: ErrorCode::Interrupted,
        message: "the answer was cut off".into(),
        request: None,
        retry_after_ms: None,
    }
}
