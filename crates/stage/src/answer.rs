//! A model's complete answer, assembled from one engine after another if attempts fail.
//!
//! Engines are always asked for a stream, even for a caller that wants a single response body: only
//! a stream can be resumed at its offset after a failure. `policy` decides which frames are
//! delivered and what follows a failure; this module carries the decisions out.

use std::pin::pin;

use ::backend::{
    StreamingResponse,
    frame::{self, Frame},
    wire,
};
use futures_util::{StreamExt, stream::BoxStream};
use http::{HeaderMap, Request, StatusCode, header};
use policy::{
    retry::{self, Body, Failure, Point},
    route::Index,
    stream::{self, Part, Stream},
    traffic::Requirements,
};
use tokio::{select, time::timeout};
use types::{
    prelude::*,
    request::{Ran, Repeat},
};

use crate::{
    context::Context,
    filters::{Call, ModelRequest, account::Account, attempt},
    kv,
    problem::{self, Problem},
    traffic::{DispatchedAttempt, NextAttempt},
};

/// A model's answer while it is being received.
pub struct Answer {
    context: Arc<Context>,
    account: Account,
    call: Call,
    model_request: Arc<ModelRequest>,
    requirements: Arc<Requirements>,
    stream: Stream,
    next: Option<DispatchedAttempt>,
    resume_from: Option<backend::Server>,
    source: Option<Source>,
    failed: Vec<Index>,
    ran: Ran,
    finish: Option<String>,
}

struct Source {
    frames: BoxStream<'static, Result<Frame, frame::Error>>,
    sent: DispatchedAttempt,
}

/// One token for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Position in the answer, from 0.
    pub offset: u64,
    /// The engine's event data, as JSON text.
    pub data: String,
}

impl Answer {
    /// Creates an answer; `first` is the first attempt, which has a server but is not sent yet.
    pub fn new(
        context: Arc<Context>,
        account: Account,
        call: Call,
        model_request: Arc<ModelRequest>,
        requirements: Arc<Requirements>,
        first: DispatchedAttempt,
    ) -> Answer {
        Answer {
            stream: Stream::new(call.request.id.clone()),
            context,
            account,
            call,
            model_request,
            requirements,
            next: Some(first),
            resume_from: None,
            source: None,
            failed: Vec::new(),
            ran: Ran::DidNotRun,
            finish: None,
        }
    }

    /// Returns the next token, or `None` at the end of the answer.
    ///
    /// # Errors
    ///
    /// Fails when no further attempt is allowed or possible.
    pub async fn next(&mut self) -> Result<Option<Token>, Problem> {
        loop {
            if self.stream.is_complete() {
                return Ok(None);
            }
            let Some(source) = self.source.as_mut() else {
                self.connect().await?;
                continue;
            };
            let idle_timeout =
                self.context.settings.bounds.idle.min(self.call.time_left(&self.context));
            match timeout(idle_timeout, source.frames.next()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(token) = self.accept_frame(frame).await? {
                        return Ok(Some(token));
                    }
                }
                Ok(Some(Err(error))) => self.stream_lost(&error.to_string()).await?,
                Ok(None) => self.stream_lost("stream ended early").await?,
                Err(_) => {
                    if let Some(token) = self.replace_idle().await? {
                        return Ok(Some(token));
                    }
                }
            }
        }
    }

    /// Asks another engine to continue the stream of one that is idle. The idle one is given up only
    /// once the other has accepted the request. Returns a token that the idle one sends before.
    async fn replace_idle(&mut self) -> Result<Option<Token>, Problem> {
        const CAUSE: &str = "no frame within the idle timeout";
        // Only a request that may be repeated can be continued elsewhere.
        if self.call.request.repeat == Repeat::Once {
            self.stream_lost(CAUSE).await?;
            return Ok(None);
        }
        let Some(mut idle) = self.source.take() else { return Ok(None) };
        let (attempt, point) = (self.stream.attempt(), self.break_point());
        let (server, index) = (idle.sent.server().clone(), idle.sent.index());
        let mut is_open = true;
        let replaced = {
            let mut replacement = pin!(async {
                self.failed.push(index);
                self.prepare_next(server, point, CAUSE).await?;
                while self.source.is_none() {
                    // The idle engine already runs the request.
                    if self.next.take_if(|next| next.index() == index).is_some() {
                        return Err(attempt::give_up(&self.call, &self.context, self.ran, CAUSE));
                    }
                    self.connect().await?;
                }
                Ok(())
            });
            loop {
                select! {
                    biased;
                    frame = idle.frames.next(), if is_open => match frame {
                        Some(Ok(frame)) => break Ok(Some(frame)),
                        Some(Err(_)) | None => is_open = false,
                    },
                    replaced = &mut replacement => break replaced.map(|()| None),
                }
            }
        };
        let frame = match replaced {
            Ok(frame) => frame,
            Err(_) if is_open && !self.call.time_left(&self.context).is_zero() => {
                (self.resume_from, self.source) = (None, Some(idle));
                return Ok(None);
            }
            Err(problem) => {
                self.record_failure(idle.sent, attempt, point, CAUSE);
                return Err(problem);
            }
        };
        let Some(frame) = frame else {
            self.record_failure(idle.sent, attempt, point, CAUSE);
            return Ok(None);
        };
        (self.next, self.resume_from, self.source) = (None, None, Some(idle));
        self.accept_frame(frame).await
    }

    /// Checks a frame against the stream's state; returns its token if it is the next one.
    async fn accept_frame(&mut self, frame: Frame) -> Result<Option<Token>, Problem> {
        let own = self.call.request.id.clone();
        let (request, part, finish, token) = match frame {
            Frame::Token { offset, request, finish, data } => {
                (request, Part::Token(offset), finish, Some(Token { offset, data }))
            }
            Frame::Done if self.is_finished() => (None, Part::End(self.stream.next()), None, None),
            // An engine that shuts down gracefully may end unfinished streams with a regular end
            // mark.
            Frame::Done => {
                self.stream_lost("stream ended before the answer was complete").await?;
                return Ok(None);
            }
        };
        let request = request.as_deref().unwrap_or(&own);
        let frame = stream::Frame { request, attempt: self.stream.attempt(), part };
        match self.stream.take(&frame) {
            stream::Verdict::Deliver => {
                if self.stream.next() == 1 {
                    self.answered();
                }
                self.finish = finish.or(self.finish.take());
                self.account.token();
                Ok(token)
            }
            stream::Verdict::Finish => {
                if let Some(source) = self.source.take() {
                    source.sent.complete();
                }
                self.account.answered();
                Ok(None)
            }
            stream::Verdict::Drop(reason) => {
                log::warn!(request = &*own; "frame dropped: {reason:?}");
                Ok(None)
            }
            stream::Verdict::Gap => {
                self.stream_lost("token missing from the stream").await?;
                Ok(None)
            }
        }
    }

    /// Whether the engine gave a finish reason, or sent as many tokens as were requested.
    fn is_finished(&self) -> bool {
        let wanted = u64::from(self.call.request.max_tokens);
        self.finish.is_some() || wanted <= self.stream.next()
    }

    fn answered(&self) {
        if let Some(source) = &self.source {
            source.sent.answered();
        }
    }

    /// Ends the current attempt because its stream failed.
    async fn stream_lost(&mut self, cause: &str) -> Result<(), Problem> {
        let Some(source) = self.source.take() else { return Ok(()) };
        let point = self.break_point();
        self.attempt_failed(source.sent, point, cause).await
    }

    /// Returns the point at which the attempt fails if its stream ends now.
    fn break_point(&self) -> Point {
        if self.stream.next() == 0 { Point::Head } else { Point::Stream }
    }

    /// Sends the pending attempt and waits for the response head.
    async fn connect(&mut self) -> Result<(), Problem> {
        let Some(sent) = self.next.take() else {
            return Err(Problem::new(problem::Kind::Internal, "no attempt is due").ran(self.ran));
        };
        if let Some(previous) = self.resume_from.take() {
            kv::transfer(&self.context, &self.call, &previous, &sent).await;
        }
        let request = self.request();
        self.account.attempted(self.stream.attempt(), &sent.server().id);
        let head_timeout =
            self.context.settings.bounds.idle.min(self.call.time_left(&self.context));
        let response = self.context.backends.send(sent.server().address, request);
        match timeout(head_timeout, response).await {
            Ok(Ok(response)) => self.response_started(sent, response).await,
            Ok(Err(error)) => {
                let point = if error.is_unsent() { Point::Connect } else { Point::Waiting };
                self.attempt_failed(sent, point, &error.to_string()).await
            }
            Err(_) => {
                self.attempt_failed(sent, Point::Waiting, "no response within the timeout").await
            }
        }
    }

    /// Handles the response head: starts reading the stream, or ends the attempt.
    async fn response_started(
        &mut self,
        sent: DispatchedAttempt,
        response: StreamingResponse,
    ) -> Result<(), Problem> {
        let status = response.status();
        if status == StatusCode::OK && self.is_for_this_attempt(response.headers()) {
            self.ran = self.ran.max(Ran::MayHaveRun);
            let frames = frame::read(response.into_body()).boxed();
            self.source = Some(Source { frames, sent });
            return Ok(());
        }
        let point = match status {
            StatusCode::OK => Point::Head,
            // An engine that no longer has the model ready answers 404.
            StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::NOT_FOUND => Point::Refused,
            status if status.is_server_error() || !attempt::is_final(status) => Point::Fault,
            status => {
                let detail = format!("the engine answers {status} to this request");
                sent.complete();
                return Err(Problem::new(problem::Kind::BadRequest, detail).ran(Ran::MayHaveRun));
            }
        };
        self.attempt_failed(sent, point, &format!("engine answers {status}")).await
    }

    /// Whether the response headers name this request and this attempt; a missing header matches.
    fn is_for_this_attempt(&self, headers: &HeaderMap) -> bool {
        let names = |name: &str, own: &str| headers.get(name).is_none_or(|value| value == own);
        names(wire::REQUEST_ID, &self.call.request.id)
            && names(wire::ATTEMPT, &self.stream.attempt().to_string())
    }

    /// Ends a failed attempt: prepares the next one, or returns the final problem.
    async fn attempt_failed(
        &mut self,
        sent: DispatchedAttempt,
        point: Point,
        cause: &str,
    ) -> Result<(), Problem> {
        let server = sent.server().clone();
        self.failed.push(sent.index());
        self.record_failure(sent, self.stream.attempt(), point, cause);
        self.prepare_next(server, point, cause).await
    }

    /// Records that an attempt failed.
    fn record_failure(
        &self,
        sent: DispatchedAttempt,
        attempt: request::Attempt,
        point: Point,
        cause: &str,
    ) {
        let server = &sent.server().id;
        log::warn!(
            request = &*self.call.request.id, server = &**server, attempt = attempt,
            offset = self.stream.next(); "attempt failed at {point:?}: {cause}"
        );
        self.account.failed_attempt(attempt, server, point.as_str());
        sent.fail(point);
    }

    /// Prepares the attempt that follows one at this server, or returns the final problem.
    async fn prepare_next(
        &mut self,
        server: backend::Server,
        point: Point,
        cause: &str,
    ) -> Result<(), Problem> {
        let failure = Failure {
            point,
            repeat: self.call.request.repeat,
            body: Body::Buffered,
            before: self.ran,
            attempts: self.stream.attempt() + 1,
            time_left: self.call.time_left(&self.context),
        };
        self.ran = self.ran.max(point.ran());
        let verdict = self.context.traffic.after_failure(&failure);
        if let retry::Verdict::GiveUp(ran) = verdict {
            return Err(attempt::give_up(&self.call, &self.context, ran, cause));
        }
        let next = self.stream.begin_attempt();
        self.account.retried(point.as_str());
        if verdict == retry::Verdict::Resume {
            self.account.resumed(next, self.stream.next());
            self.resume_from = Some(server);
        }
        let dispatched =
            next_attempt(&self.context, &self.call, &self.requirements, &self.failed).await;
        match dispatched {
            Some(sent) => {
                self.next = Some(sent);
                Ok(())
            }
            None => Err(attempt::give_up(&self.call, &self.context, self.ran, cause)),
        }
    }

    fn request(&self) -> Request<::backend::Body> {
        let mut request = Request::post(self.model_request.shape.path())
            .header(header::CONTENT_TYPE, "application/json")
            .header(wire::REQUEST_ID, &*self.call.request.id)
            .header(wire::ATTEMPT, self.stream.attempt())
            .header(wire::PRIORITY, self.call.request.priority as u16);
        if let Some(last) = self.stream.next().checked_sub(1) {
            request = request.header(wire::LAST_EVENT_ID, last);
        }
        if let Some(key) = &self.call.request.key {
            request = request.header(crate::filters::identify::IDEMPOTENCY_KEY, &**key);
        }
        let body = ::backend::full_body(self.model_request.body.clone());
        request.body(body).unwrap_or_else(|_| Request::new(::backend::empty_body()))
    }
}

/// Dispatches a further attempt as soon as a server may be used; `None` if there is no server.
///
/// Waits for a suspected server no longer than the call's target for the first token: if the
/// wait would be longer, the caller gets the final answer at once.
pub(crate) async fn next_attempt(
    context: &Context,
    call: &Call,
    requirements: &Requirements,
    failed: &[Index],
) -> Option<DispatchedAttempt> {
    /// Minimum wait before suspected servers are checked again.
    const MIN_WAIT: Duration = Duration::from_millis(5);
    let time_left = call.time_left(context).min(call.request.target.first_token);
    let until = context.now() + time_left;
    loop {
        match context.traffic.dispatch_again(requirements, failed) {
            NextAttempt::Dispatched(sent) => return Some(sent),
            NextAttempt::Unready => return None,
            NextAttempt::At(moment) => {
                let wait = moment.saturating_sub(context.now()).max(MIN_WAIT);
                if until <= context.now() + wait {
                    return None;
                }
                tokio::time::sleep(wait).await;
            }
        }
    }
}
