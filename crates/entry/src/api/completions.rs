//! Completions and chat completions: from the checked request to the answer.

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

use super::answer::{error_answer, json_answer, name_request, refused};
use super::body::read_json;
use super::headers::{check_right, deadline_of, priority_of};
use super::request::{Common, Completion};
use super::sse::{AnswerForm, SseBody, whole_answer};
use crate::EntryState;
use crate::path::{AdmittedRequest, FlowOutput, spawn_request};
use crate::state::ticket_of;

/// Bytes that one token takes between processes.
const TOKEN_BYTES: u64 = 64;

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

/// Reads a text completion request.
pub(super) fn read_text(body: &Bytes) -> Result<Completion, ErrorBody> {
    let raw: TextRequest = read_json(body)?;
    let common = Common {
        model: raw.model,
        max_tokens: raw.max_tokens,
        stream: raw.stream,
        seed: raw.seed,
        n: raw.n,
    };
    Completion::check(common, raw.prompt)
}

/// Who sends a request, and when it came.
pub(super) struct Sender<'a> {
    pub(super) caller: &'a CallerEntry,
    pub(super) headers: &'a HeaderMap,
    pub(super) arrived: Timestamp,
    pub(super) permit: Arc<OwnedSemaphorePermit>,
}

/// Runs a completion and makes its answer.
pub(super) async fn complete(
    state: &Arc<EntryState>,
    document: &Document,
    sender: Sender<'_>,
    completion: Completion,
    form: AnswerForm,
) -> Result<Response<Body>, ErrorBody> {
    let offer = offer_of(document, sender.caller, &completion.model)?;
    let id = state.next_request();
    let name_id = |mut body: ErrorBody| {
        body.request = Some(id.clone());
        body
    };
    let stream = completion.stream;
    let model = completion.model.clone();
    let mut outputs = start(state, document, &sender, offer, completion, id.clone())
        .await
        .map_err(name_id)?;
    if stream {
        return Ok(stream_answer(outputs, form, id, model).await);
    }
    let mut text = String::new();
    let answer = collect(&mut outputs, &mut text).await;
    match answer {
        Ok(FlowAnswer::Completed { reason, tokens }) => {
            let body = whole_answer(form, &id, &model, text, reason, tokens);
            let mut response = json_answer(StatusCode::OK, Outcome::Done, &body);
            name_request(&mut response, &id);
            Ok(response)
        }
        Ok(FlowAnswer::Plain { .. }) => Err(name_id(cut_off())),
        Err(body) => Err(body),
    }
}

/// Finds what the `model` field stands for among the services that the caller may use.
fn offer_of<'a>(
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
        None => check_right(caller, &first.service).map(|()| first),
    }
}

/// Waits at the service's gate, then starts the request.
async fn start(
    state: &Arc<EntryState>,
    document: &Document,
    sender: &Sender<'_>,
    offer: &Offer,
    completion: Completion,
    id: RequestId,
) -> Result<mpsc::Receiver<FlowOutput>, ErrorBody> {
    let service = document
        .service(&offer.service)
        .ok_or_else(|| refused(ErrorCode::NotFound, "the service is not served"))?;
    let deadline = sender
        .arrived
        .after(deadline_of(sender.headers, service.deadline_ms)?);
    let first_token = Duration::from_millis(u64::from(service.first_token_ms));
    let start_by = sender.arrived.after(first_token).min(deadline);
    let priority = priority_of(sender.headers, offer.priority)?;
    let arrival = Arrival {
        ticket: ticket_of(&id),
        caller: sender.caller.name.clone(),
        priority,
        start_by,
    };
    let mut demand = state.demand.start(DemandKey {
        model: offer.model.clone(),
        adapter: offer.adapter.clone(),
    });
    let admission_permit = state
        .admission
        .admit(&service.name, arrival)
        .await
        .map_err(|refusal| {
            demand.failed(refusal.code);
            state.refuse(service, refusal)
        })?;
    let answer_bytes = u64::from(completion.max_tokens) * TOKEN_BYTES;
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
        arrived: sender.arrived,
        permit: sender.permit.clone(),
        admission_permit,
        demand: Some(demand),
    };
    Ok(spawn_request(state, input))
}

/// Gathers a whole answer.
pub(super) async fn collect(
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
    Err(cut_off())
}

/// Answers with a stream, or with an error when the first output is one.
async fn stream_answer(
    mut outputs: mpsc::Receiver<FlowOutput>,
    form: AnswerForm,
    id: RequestId,
    model: String,
) -> Response<Body> {
    let first = outputs.recv().await;
    let first = match first {
        Some(FlowOutput::Failed(body)) => return error_answer(&body),
        Some(output) => output,
        None => return error_answer(&cut_off()),
    };
    SseBody::new(outputs, first, form, id, model).into_response()
}

fn cut_off() -> ErrorBody {
    ErrorBody {
        outcome: Outcome::Unknown,
        code: ErrorCode::Interrupted,
        message: "the answer was cut off".into(),
        request: None,
        retry_after_ms: None,
    }
}
