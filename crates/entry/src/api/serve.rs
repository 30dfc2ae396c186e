//! The dropshot server of the callers' API.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, BuildError, ConfigDropshot, HandlerTaskMode,
    HttpError, HttpServer, Path, RawRequest, RequestContext, ServerBuilder, endpoint,
};
use http::{HeaderMap, Response, StatusCode};
use kumquatkeel_types::document::{CallerEntry, Document};
use kumquatkeel_types::{ErrorBody, ErrorCode, Outcome, Timestamp};
use schemars::JsonSchema;
use serde::Deserialize;
use slog::Drain;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::answer::{error_answer, json_answer, not_run};
use super::body::read_body;
use super::completions::{Sender, complete, read_text};
use super::headers::caller_of;
use super::models::models_of;
use super::plain::{PlainPath, call};
use super::{chat, sse::AnswerForm};
use crate::EntryState;

/// When a caller may come back to a stopping or full entry, which the balancer leaves out soon.
const COME_BACK: Duration = Duration::from_secs(1);

/// What the handlers of the callers' API share.
#[derive(Debug)]
pub struct ApiContext {
    pub(super) state: Arc<EntryState>,
    permits: Arc<Semaphore>,
}

type Context = RequestContext<ApiContext>;
type Answer = Result<Response<Body>, HttpError>;

/// Starts the callers' API.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn start_api(state: Arc<EntryState>) -> Result<HttpServer<ApiContext>, ApiError> {
    let config = ConfigDropshot {
        bind_address: state.settings.listen,
        default_request_body_max_bytes: state.settings.body_bytes,
        default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!());
    let context = ApiContext {
        permits: Arc::new(Semaphore::new(state.settings.requests)),
        state,
    };
    let server = ServerBuilder::new(description()?, context, log);
    Ok(server.config(config).start()?)
}

/// Says why the callers' API did not start.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ApiError {
    /// The description is wrong.
    #[display("describe the callers' API: {_0}")]
    Description(ApiDescriptionRegisterError),
    /// The server can't be built.
    #[display("start the callers' API: {_0}")]
    Build(BuildError),
}

fn description() -> Result<ApiDescription<ApiContext>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(completions)?;
    api.register(chat_completions)?;
    api.register(models)?;
    api.register(services)?;
    super::operators::register(&mut api)?;
    Ok(api)
}

/// The path of a plain call.
#[derive(Debug, Deserialize, JsonSchema)]
struct ServicePath {
    service: String,
    path: Vec<String>,
}

/// Completes a prompt.
#[endpoint { method = POST, path = "/v1/completions" }]
async fn completions(context: Context, request: RawRequest) -> Answer {
    let admitted = Admitted::of(&context, request).await;
    Ok(answer(async {
        let admitted = admitted?;
        let completion = read_text(&admitted.body)?;
        let state = admitted.state;
        let sender = admitted.sender();
        complete(
            state,
            &admitted.document,
            sender,
            completion,
            AnswerForm::Text,
        )
        .await
    })
    .await)
}

/// Continues a chat.
#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(context: Context, request: RawRequest) -> Answer {
    let admitted = Admitted::of(&context, request).await;
    Ok(answer(async {
        let admitted = admitted?;
        let completion = chat::read_chat(&admitted.body)?;
        let state = admitted.state;
        let sender = admitted.sender();
        complete(
            state,
            &admitted.document,
            sender,
            completion,
            AnswerForm::Chat,
        )
        .await
    })
    .await)
}

/// Lists the models and adapters that the caller may use.
#[endpoint { method = GET, path = "/v1/models" }]
async fn models(context: Context, request: RawRequest) -> Answer {
    let admitted = Admitted::of(&context, request).await;
    Ok(answer(async {
        let admitted = admitted?;
        let list = models_of(&admitted.document, &admitted.caller);
        Ok(json_answer(StatusCode::OK, Outcome::Done, &list))
    })
    .await)
}

/// Calls a plain service.
#[endpoint { method = POST, path = "/v1/services/{service}/{path:.*}", unpublished = true }]
async fn services(context: Context, path: Path<ServicePath>, request: RawRequest) -> Answer {
    let admitted = Admitted::of(&context, request).await;
    Ok(answer(async {
        let admitted = admitted?;
        let ServicePath { service, path } = path.into_inner();
        let at = PlainPath {
            service,
            path: path.join("/"),
        };
        let (state, sender) = (admitted.state, admitted.sender());
        call(state, &admitted.document, sender, at, admitted.body.clone()).await
    })
    .await)
}

async fn answer(made: impl Future<Output = Result<Response<Body>, ErrorBody>>) -> Response<Body> {
    made.await.unwrap_or_else(|body| error_answer(&body))
}

/// A request whose caller is known and whose body is read.
struct Admitted<'a> {
    state: &'a Arc<EntryState>,
    document: Arc<Document>,
    caller: CallerEntry,
    headers: HeaderMap,
    body: Bytes,
    arrived: Timestamp,
    permit: Arc<OwnedSemaphorePermit>,
}

impl<'a> Admitted<'a> {
    /// Checks the caller's key, then reads the body.
    async fn of(context: &'a Context, request: RawRequest) -> Result<Self, ErrorBody> {
        let ApiContext { state, permits } = context.context();
        let arrived = state.clock.now();
        if state.is_draining() {
            let message = "this entry is stopping";
            return Err(not_run(ErrorCode::Draining, message, COME_BACK));
        }
        let Some(document) = state.document() else {
            let message = "this entry has no configuration yet";
            return Err(not_run(ErrorCode::Unavailable, message, COME_BACK));
        };
        let (head, body) = request.into_inner().into_parts();
        let caller = caller_of(&document, &head.headers)?.clone();
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            let message = "this entry has too many requests in progress";
            return Err(not_run(ErrorCode::Overloaded, message, COME_BACK));
        };
        let (most, time) = (state.settings.body_bytes, state.settings.body_time);
        Ok(Self {
            state,
            caller,
            headers: head.headers,
            body: read_body(body, most, time).await?,
            document,
            arrived,
            permit: Arc::new(permit),
        })
    }

    fn sender(&self) -> Sender<'_> {
        Sender {
            caller: &self.caller,
            headers: &self.headers,
            arrived: self.arrived,
            permit: self.permit.clone(),
        }
    }
}
