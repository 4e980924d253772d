//! Delivers an answer to the caller: as server-sent events, in one body, or passed through.

use std::{
    convert::Infallible,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use ::backend::{StreamingResponse, wire};
use axum::{
    Json,
    body::Body,
    http::{HeaderMap, HeaderName, header},
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
};
use bytes::Bytes;
use futures_util::StreamExt;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use policy::retry::Point;
use serde_json::{Value, json};

use crate::{
    answer::{Answer, Token},
    filters::{Call, ModelRequest, Shape, account::Account},
    idle::TimeoutBody,
    problem::Problem,
    traffic::DispatchedAttempt,
};

/// Hop-by-hop headers, which are never passed on (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Delivers an answer token by token. Waits for the first token, so that a failure before it is
/// still an ordinary error response.
///
/// # Errors
///
/// Returns the problem that occurred before the first token.
pub async fn streamed(mut answer: Answer, account: Account) -> Result<Response, Problem> {
    let first = answer.next().await?.map_or_else(end, event);
    let rest = futures_util::stream::unfold(Some((answer, account)), async |state| {
        let (mut answer, account) = state?;
        match answer.next().await {
            Ok(Some(token)) => Some((event(token), Some((answer, account)))),
            Ok(None) => Some((end(), None)),
            // No end mark follows an error; with one, a partial answer would look complete.
            Err(problem) => {
                account.problem(&problem);
                Some((failure(&problem), None))
            }
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

/// Delivers an answer in one body.
///
/// # Errors
///
/// Returns the problem that ended the answer early.
pub async fn buffered(
    mut answer: Answer,
    call: &Call,
    model_request: &ModelRequest,
) -> Result<Response, Problem> {
    let mut text = String::new();
    while let Some(Token { data, .. }) = answer.next().await? {
        text.push_str(&content(model_request.shape, &data));
    }
    let model = call.request.model.as_ref().map(ToString::to_string);
    let choice = match model_request.shape {
        Shape::Chat => json!({"index": 0, "message": {"role": "assistant", "content": text}}),
        Shape::Text => json!({"index": 0, "text": text}),
    };
    let object = match model_request.shape {
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

/// Passes a plain service's response through; the attempt ends when the response body does.
pub fn plain(
    response: StreamingResponse,
    sent: DispatchedAttempt,
    account: Account,
    idle: Duration,
) -> Response {
    sent.answered();
    account.token();
    let (mut parts, body) = response.into_parts();
    strip(&mut parts.headers);
    let body = TrackedBody { body: TimeoutBody::new(body, idle), open: Some((sent, account)) };
    Response::from_parts(parts, Body::new(body))
}

/// Passes on a response whose attempt has already ended.
pub fn passed_through(response: StreamingResponse, account: &Account) -> Response {
    account.answered();
    let (mut parts, body) = response.into_parts();
    strip(&mut parts.headers);
    Response::from_parts(parts, Body::new(body))
}

/// Removes the hop-by-hop headers.
pub fn strip(headers: &mut HeaderMap) {
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

/// A body whose end also ends its attempt.
struct TrackedBody {
    body: TimeoutBody<Incoming>,
    open: Option<(DispatchedAttempt, Account)>,
}

impl TrackedBody {
    fn complete(&mut self) {
        if let Some((sent, account)) = self.open.take() {
            sent.complete();
            account.answered();
        }
    }

    fn fail(&mut self) {
        if let Some((sent, account)) = self.open.take() {
            sent.fail(Point::Body);
            account.body_failed();
        }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = ::backend::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ::backend::BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        match &frame {
            Poll::Pending => {}
            Poll::Ready(None) => self.complete(),
            Poll::Ready(Some(Err(_))) => self.fail(),
            // hyper may not poll for the end of a body whose length it knows.
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.complete(),
            Poll::Ready(Some(Ok(_))) => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.complete();
        }
    }
}
