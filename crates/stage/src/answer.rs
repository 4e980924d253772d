//! A model's whole answer, drawn from one engine after another if need be.
//!
//! Engines are always asked for a stream, also for a caller who wants the answer in one piece,
//! since only a stream can be resumed at its offset after a loss.

use std::{collections::VecDeque, sync::Arc};

use ::backend::{
    frame::{self, Frame},
    wire,
};
use futures_util::{StreamExt, stream::BoxStream};
use http::{Request, StatusCode, header};
use types::{prelude::*, request::Ran};

use crate::{
    context::Context,
    filters::{Call, Question},
    fleet::Flight,
    problem::{self, Problem},
};

/// A model's answer on its way.
pub struct Answer {
    context: Arc<Context>,
    call: Call,
    question: Arc<Question>,
    candidates: VecDeque<backend::Server>,
    source: Option<Source>,
    next: u64,
    attempt: request::Attempt,
    ran: Ran,
    is_over: bool,
}

struct Source {
    frames: BoxStream<'static, Result<Frame, frame::Error>>,
    server: backend::Id,
    _flight: Flight,
}

/// One token on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Its place in the answer.
    pub offset: u64,
    /// The engine's event data, in JSON.
    pub data: String,
}

impl Answer {
    /// Starts with the candidates for it, the best first.
    pub fn new(
        context: Arc<Context>,
        call: Call,
        question: Arc<Question>,
        candidates: &[backend::Server],
    ) -> Answer {
        let candidates = candidates.iter().cloned().collect();
        let ran = Ran::DidNotRun;
        Answer {
            context,
            call,
            question,
            candidates,
            source: None,
            next: 0,
            attempt: 0,
            ran,
            is_over: false,
        }
    }

    /// The next token, or nothing at the end.
    ///
    /// # Errors
    ///
    /// When no candidate is left that could go on.
    pub async fn next(&mut self) -> Result<Option<Token>, Problem> {
        while !self.is_over {
            let frame = match self.source.as_mut() {
                None => {
                    self.connect().await?;
                    continue;
                }
                Some(source) => source.frames.next().await,
            };
            match frame {
                Some(Ok(Frame::Token { offset, .. })) if offset < self.next => {}
                Some(Ok(Frame::Token { offset, data })) if offset == self.next => {
                    self.next += 1;
                    return Ok(Some(Token { offset, data }));
                }
                Some(Ok(Frame::Token { offset, .. })) => {
                    self.lose(&format!("token {offset} came in place of {}", self.next));
                }
                Some(Ok(Frame::Done)) => self.is_over = true,
                Some(Err(error)) => self.lose(&error.to_string()),
                None => self.lose("stream ended early"),
            }
        }
        self.source = None;
        Ok(None)
    }

    fn lose(&mut self, cause: &str) {
        let Some(source) = self.source.take() else { return };
        log::warn!(
            request = &*self.call.request.id, server = &*source.server, offset = self.next;
            "stream lost: {cause}"
        );
    }

    async fn connect(&mut self) -> Result<(), Problem> {
        let Some(server) = self.candidates.pop_front() else {
            let kind = match self.ran {
                Ran::DidNotRun => problem::Kind::NoServer,
                Ran::MayHaveRun | Ran::Ran => problem::Kind::BackendFailed,
            };
            return Err(Problem::new(kind, "no backend server is left to try").ran(self.ran));
        };
        let request = self.request();
        self.attempt += 1;
        let flight = self.context.fleet.begin(&server.id);
        let response = match self.context.backends.send(server.address, request).await {
            Ok(response) => response,
            Err(error) => {
                if !error.is_unsent() {
                    self.ran = Ran::MayHaveRun;
                }
                self.fail(&server.id, &error);
                return Ok(());
            }
        };
        if response.status() != StatusCode::OK {
            log::warn!(server = &*server.id, status = response.status().as_u16(); "engine refused");
            return Ok(());
        }
        self.ran = Ran::Ran;
        self.source = Some(Source {
            frames: frame::read(response.into_body()).boxed(),
            server: server.id,
            _flight: flight,
        });
        Ok(())
    }

    fn fail(&self, server: &backend::Id, error: &::backend::Error) {
        log::warn!(request = &*self.call.request.id, server = &**server; "attempt failed: {error}");
    }

    fn request(&self) -> Request<::backend::Body> {
        let mut request = Request::post(self.question.shape.path())
            .header(header::CONTENT_TYPE, "application/json")
            .header(wire::REQUEST_ID, &*self.call.request.id)
            .header(wire::ATTEMPT, self.attempt)
            .header(wire::PRIORITY, self.call.request.priority as u16);
        if 0 < self.next {
            request = request.header(wire::LAST_EVENT_ID, self.next - 1);
        }
        if let Some(key) = &self.call.request.key {
            request = request.header(crate::filters::identify::IDEMPOTENCY_KEY, &**key);
        }
        let body = ::backend::whole(self.question.body.clone());
        request.body(body).unwrap_or_else(|_| Request::new(::backend::empty()))
    }
}
