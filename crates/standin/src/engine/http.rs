//! HTTP interface of the engine: completions, load reports, orders and the prefix cache.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    io,
    sync::Arc,
};

use ::backend::wire::{self, Cache, CacheEvent};
use axum::{
    Json, Router,
    body::Bytes,
    extract::{Query, State},
    http::{HeaderMap, StatusCode},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
    routing::{get, post},
};
use futures_util::{Stream, StreamExt, stream};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use types::{
    order::{Ack, Order},
    prelude::*,
};

use super::{
    IDEMPOTENCY_KEY, POISON, Shared,
    batch::{Job, Token},
    memory::Work,
};
use crate::net::LoseAnswer;

const DEFAULT_MAX_TOKENS: u64 = 16;
const UNLOAD_TIME: Duration = Duration::from_millis(5);

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(completions))
        .route("/load", get(load))
        .route("/orders", post(order))
        .route("/cache-events", get(cache_events))
        .route("/kv/export", post(export))
        .route("/kv/import", post(import))
        .with_state(shared)
}

#[derive(Deserialize)]
struct ModelRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    prompt: Option<String>,
    messages: Option<Value>,
}

impl ModelRequest {
    fn prompt(&self) -> String {
        match (&self.messages, &self.prompt) {
            (Some(messages), _) => messages.to_string(),
            (None, Some(prompt)) => prompt.clone(),
            (None, None) => String::new(),
        }
    }
}

/// API that an answer is formatted for.
#[derive(Clone, Copy)]
enum Format {
    Chat,
    Text,
}

async fn chat(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    generate(&state.0, Format::Chat, &headers, &body).await
}

async fn completions(state: State<Arc<Shared>>, headers: HeaderMap, body: Bytes) -> Response {
    generate(&state.0, Format::Text, &headers, &body).await
}

async fn generate(
    shared: &Arc<Shared>,
    format: Format,
    headers: &HeaderMap,
    body: &Bytes,
) -> Response {
    let Ok(model_request) = serde_json::from_slice::<ModelRequest>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let request = header(headers, wire::REQUEST_ID).unwrap_or_default();
    let name = model::Name::parse(&model_request.model);
    let prompt = model_request.prompt();
    let tokens = {
        let mut state = shared.state();
        state.counts.arrivals += 1;
        if !state.memory.is_ready(&name) {
            return StatusCode::NOT_FOUND.into_response();
        }
        *state.counts.runs.entry(request.clone()).or_default() += 1;
        if let Some(key) = header(headers, IDEMPOTENCY_KEY) {
            *state.counts.runs_by_key.entry(key).or_default() += 1;
        }
        if state.leaving {
            log::debug!(request = request.as_str(); "request for a leaving engine");
        }
        enqueue(&mut state, headers, &model_request, &prompt)
    };
    if prompt.contains(POISON) {
        shared.crash_by_poison();
        return std::future::pending().await;
    }
    shared.wake.notify_one();
    let mut response = match model_request.stream {
        true => stream_answer(format, &request, &model_request.model, tokens).into_response(),
        false => full_answer(format, &request, &model_request.model, tokens).await,
    };
    for name in [wire::REQUEST_ID, wire::ATTEMPT] {
        if let Some(value) = headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

fn enqueue(
    state: &mut super::state::State,
    headers: &HeaderMap,
    model_request: &ModelRequest,
    prompt: &str,
) -> mpsc::UnboundedReceiver<Token> {
    let resume = header(headers, wire::LAST_EVENT_ID).and_then(|id| id.parse::<u64>().ok());
    let next = resume.map_or(0, |last| last + 1);
    let blocks = wire::blocks(&model_request.model, prompt);
    let cached = state.cache.hits(&blocks) * wire::BLOCK_BYTES;
    let uncached = (prompt.len() - cached).div_ceil(wire::TOKEN_BYTES) as u64;
    state.cache.store(&model_request.model, &blocks);
    let (sender, tokens) = mpsc::unbounded_channel();
    state.batch.push(Job {
        priority: header(headers, wire::PRIORITY).and_then(|p| p.parse().ok()).unwrap_or(0),
        prompt: prompt.to_owned(),
        prompt_left: uncached + next,
        next,
        end: model_request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(next + 1),
        tokens: sender,
    });
    tokens
}

fn stream_answer(
    format: Format,
    request: &str,
    model: &str,
    tokens: mpsc::UnboundedReceiver<Token>,
) -> Sse<impl Stream<Item = Result<Event, io::Error>> + use<>> {
    let (request, model) = (request.to_owned(), model.to_owned());
    let tokens = stream::unfold(Some(tokens), async |tokens| {
        let mut tokens = tokens?;
        match tokens.recv().await {
            Some(token) if token.is_last => Some((Ok(token), None)),
            Some(token) => Some((Ok(token), Some(tokens))),
            // The engine crashed before the answer was complete: the connection breaks without an
            // end mark.
            None => Some((Err(io::Error::other("engine crashed")), None)),
        }
    });
    let events = tokens.flat_map(move |token| {
        let token = match token {
            Ok(token) => token,
            Err(error) => return stream::iter(vec![Err(error)]),
        };
        let data = chunk(format, &request, &model, &token.text);
        let event = Event::default().id(token.offset.to_string()).data(data.to_string());
        let done = token.is_last.then(|| Event::default().data(wire::DONE));
        stream::iter([event].into_iter().chain(done).map(Ok).collect::<Vec<_>>())
    });
    Sse::new(events)
}

fn chunk(format: Format, request: &str, model: &str, text: &str) -> Value {
    match format {
        Format::Chat => json!({
            "id": request, "object": "chat.completion.chunk", "model": model,
            "choices": [{"index": 0, "delta": {"content": text}}],
        }),
        Format::Text => json!({
            "id": request, "object": "text_completion", "model": model,
            "choices": [{"index": 0, "text": text}],
        }),
    }
}

async fn full_answer(
    format: Format,
    request: &str,
    model: &str,
    mut tokens: mpsc::UnboundedReceiver<Token>,
) -> Response {
    let mut text = String::new();
    loop {
        let Some(token) = tokens.recv().await else { return lost_response() };
        text.push_str(&token.text);
        if token.is_last {
            break;
        }
    }
    let answer = match format {
        Format::Chat => json!({
            "id": request, "object": "chat.completion", "model": model,
            "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
        }),
        Format::Text => chunk(format, request, model, &text),
    };
    Json(answer).into_response()
}

async fn load(State(shared): State<Arc<Shared>>, headers: HeaderMap) -> Response {
    let mut load = shared.state().report(&shared.settings);
    let tag = tag(&load);
    if header(&headers, wire::KNOWN_RESIDENTS).as_deref() == Some(&*tag) {
        load.residents.clear();
    }
    ([(wire::RESIDENTS, tag)], Json(load)).into_response()
}

fn tag(load: &report::Load) -> String {
    let mut hasher = DefaultHasher::new();
    load.residents.hash(&mut hasher);
    format!("{:x}", hasher.finish())
}

async fn order(State(shared): State<Arc<Shared>>, Json(order): Json<Order>) -> Response {
    let delivery = next_delivery(&shared);
    match delivery {
        OrderDelivery::Delivered => Json(execute(&shared, &order)).into_response(),
        OrderDelivery::Lost => lost_response(),
        OrderDelivery::AckLost => {
            execute(&shared, &order);
            lost_response()
        }
        OrderDelivery::Late(lateness) => {
            tokio::spawn(async move {
                tokio::time::sleep(lateness).await;
                execute(&shared, &order);
            });
            lost_response()
        }
    }
}

/// How an order and its acknowledgement are delivered.
enum OrderDelivery {
    Delivered,
    Lost,
    AckLost,
    Late(Duration),
}

fn next_delivery(shared: &Shared) -> OrderDelivery {
    let fault = &mut shared.state().fault;
    if 0 < fault.lost_orders {
        fault.lost_orders -= 1;
        return OrderDelivery::Lost;
    }
    if 0 < fault.lost_acks {
        fault.lost_acks -= 1;
        return OrderDelivery::AckLost;
    }
    if 0 < fault.late_orders {
        fault.late_orders -= 1;
        return OrderDelivery::Late(fault.lateness);
    }
    OrderDelivery::Delivered
}

fn lost_response() -> Response {
    let mut response = StatusCode::OK.into_response();
    response.extensions_mut().insert(LoseAnswer);
    response
}

fn execute(shared: &Arc<Shared>, order: &Order) -> Ack {
    let mut guard = shared.state();
    let state = &mut *guard;
    if !state.is_up {
        return Ack::Refused { reason: "engine is down".into() };
    }
    let (ack, work) = state.memory.execute(&mut state.counts, order);
    let incarnation = state.incarnation;
    if work != Work::Done {
        tokio::spawn(finish(shared.clone(), incarnation, work));
    }
    ack
}

async fn finish(shared: Arc<Shared>, incarnation: backend::Incarnation, work: Work) {
    match work {
        Work::Done => {}
        Work::Load(_) => shared.settings.weights.load().await,
        Work::Unload(_) => tokio::time::sleep(UNLOAD_TIME).await,
    }
    let mut state = shared.state();
    if state.incarnation == incarnation && state.is_up {
        state.memory.finish(&work);
    }
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn cache_events(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<EventsQuery>,
) -> Json<Vec<CacheEvent>> {
    Json(shared.state().cache.events(query.from))
}

/// Exports the leading blocks that are cached, or answers with 404 if there are none.
async fn export(State(shared): State<Arc<Shared>>, Json(mut cache): Json<Cache>) -> Response {
    let hits = shared.state().cache.hits(&cache.blocks);
    if hits == 0 {
        return StatusCode::NOT_FOUND.into_response();
    }
    cache.blocks.truncate(hits);
    Json(cache).into_response()
}

async fn import(State(shared): State<Arc<Shared>>, Json(cache): Json<Cache>) -> StatusCode {
    shared.state().cache.store(&cache.model, &cache.blocks);
    StatusCode::OK
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
}
