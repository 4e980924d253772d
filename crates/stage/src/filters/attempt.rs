//! Sends a call to a backend server and brings the answer back.

use std::{convert::Infallible, sync::Arc};

use ::backend::wire;
use axum::{
    Extension, Json,
    body::Body,
    extract::{Request, State},
    http::{HeaderMap, HeaderName, header},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
};
use futures_util::StreamExt;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use types::request::Ran;

use crate::{
    answer::{Answer, Token},
    context::Context,
    filters::{Call, Delivery, Kind, Question, Shape, route::Candidates},
    problem::{self, Problem},
};

/// Headers that belong to one connection and are never passed on (RFC 9110, 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Answers a call to a model.
pub async fn model(
    State(context): State<Arc<Context>>,
    Extension(call): Extension<Call>,
    Extension(candidates): Extension<Candidates>,
) -> Response {
    let Kind::Model(question) = call.kind.clone() else {
        return Problem::new(problem::Kind::UnknownPath, "no call to a model").into_response();
    };
    let answer = Answer::new(context, call.clone(), question.clone(), &candidates.0);
    let delivered = match question.delivery {
        Delivery::Streamed => streamed(answer).await,
        Delivery::Whole => whole(answer, &call, &question).await,
    };
    let mut response = delivered.unwrap_or_else(Problem::into_response);
    if let Ok(id) = call.request.id.parse() {
        response.headers_mut().insert(wire::REQUEST_ID, id);
    }
    response
}

/// Waits for the first token, so that a failure before it is still a plain refusal.
async fn streamed(mut answer: Answer) -> Result<Response, Problem> {
    let first = answer.next().await?;
    let first = first.map_or_else(end, event);
    let rest = futures_util::stream::unfold(Some(answer), async |answer| {
        let mut answer = answer?;
        match answer.next().await {
            Ok(Some(token)) => Some((event(token), Some(answer))),
            Ok(None) => Some((end(), None)),
            // No end mark follows an error, or the caller would take a part for the whole.
            Err(problem) => Some((failure(&problem), None)),
        }
    });
    let events = futures_util::stream::once(async { first }).chain(rest);
    Ok(Sse::new(events.map(Ok::<_, Infallible>)).into_response())
}

fn end() -> Event {
    Event::default().data(wire::DONE)
}

fn event(token: Token) -> Event {
    Event::default().id(token.offset.to_string()).data(token.data)
}

fn failure(problem: &Problem) -> Event {
    Event::default().event("error").data(problem.body().to_string())
}

async fn whole(mut answer: Answer, call: &Call, question: &Question) -> Result<Response, Problem> {
    let mut text = String::new();
    while let Some(Token { data, .. }) = answer.next().await? {
        text.push_str(&content(question.shape, &data));
    }
    let model = call.request.model.as_ref().map(ToString::to_string);
    let choice = match question.shape {
        Shape::Chat => json!({"index": 0, "message": {"role": "assistant", "content": text}}),
        Shape::Text => json!({"index": 0, "text": text}),
    };
    let object = match question.shape {
        Shape::Chat => "chat.completion",
        Shape::Text => "text_completion",
    };
    let id = &call.request.id;
    let body = json!({"id": id, "object": object, "model": model, "choices": [choice]});
    Ok(Json(body).into_response())
}

fn content(shape: Shape, data: &str) -> String {
    let data: Value = serde_json::from_str(data).unwrap_or_default();
    let text = match shape {
        Shape::Chat => &data["choices"][0]["delta"]["content"],
        Shape::Text => &data["choices"][0]["text"],
    };
    text.as_str().unwrap_or_default().to_owned()
}

/// Answers a call to a plain service.
///
/// The body is streamed through and so can't be sent twice: only a failure before any byte left is
/// tried on the next server.
pub async fn plain(
    State(context): State<Arc<Context>>,
    Extension(call): Extension<Call>,
    Extension(candidates): Extension<Candidates>,
    request: Request,
) -> Response {
    let Kind::Plain { path, .. } = &call.kind else {
        return Problem::new(problem::Kind::UnknownPath, "no call to a service").into_response();
    };
    let Some(server) = candidates.0.first() else {
        return Problem::new(problem::Kind::NoServer, "no backend server").into_response();
    };
    let flight = context.fleet.begin(&server.id);
    let sent = context.backends.send(server.address, forward(&call, path, request)).await;
    match sent {
        Ok(response) => {
            let (mut parts, body) = response.into_parts();
            strip(&mut parts.headers);
            let body = body.map_frame(move |frame| {
                let _ = &flight;
                frame
            });
            Response::from_parts(parts, Body::new(body))
        }
        Err(error) if error.is_unsent() => {
            Problem::new(problem::Kind::NoServer, error.to_string()).into_response()
        }
        Err(error) => Problem::new(problem::Kind::BackendFailed, error.to_string())
            .ran(Ran::MayHaveRun)
            .into_response(),
    }
}

fn forward(call: &Call, path: &str, request: Request) -> http::Request<::backend::Body> {
    let (mut parts, body) = request.into_parts();
    strip(&mut parts.headers);
    parts.headers.remove(header::HOST);
    if let Ok(id) = call.request.id.parse() {
        parts.headers.insert(wire::REQUEST_ID, id);
    }
    if let Ok(uri) = path.parse() {
        parts.uri = uri;
    }
    parts.version = http::Version::HTTP_11;
    let body = body.map_err(|error| -> ::backend::BodyError { error.into() }).boxed_unsync();
    http::Request::from_parts(parts, body)
}

fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
