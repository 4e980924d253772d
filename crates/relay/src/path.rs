//! The path of a request: the host reads it, finds its route, chooses a server, sends it there and
//! delivers the response.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use observe::metrics::routed::Refusal;
use policy::{
    attempt_timeout,
    dispatch::{self, Unclear},
};
use tokio::{select, time::timeout};
use types::{
    routed::{Declaration, Kind, Route, Server},
    service,
};

use crate::{
    attempt::{AttemptEnd, BufferedRequest, OpenResponse, ResponseStart},
    call::{AttemptFailure, Call, Resumer},
    deadline::Deadline,
    edge::{Problem, RequestInfo},
    fields,
    host::{OpenGuard, Shared},
    stream::{Events, ResponseBody, ResumePolicy, StreamTimer},
    trace::Trace,
};

/// Time after which callers may retry at a host that has no declaration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response that is buffered before delivery, in bytes. Only streams of events
/// are delivered piece by piece.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;

/// Handles a caller's request.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let open = shared.open_request();
    let mut response = match read_request(&shared, request, open).await {
        Ok(call) => serve(&shared, &Arc::new(call)).await,
        Err(refused) => refused,
    };
    if shared.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(shared: &Shared, problem: Problem) -> Response<ResponseBody> {
    shared.dialect.refuse(problem).map(ResponseBody::complete)
}

/// Reads a request and finds its route.
///
/// # Errors
///
/// The request is not forwarded; the value is this host's response to it.
async fn read_request(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    open: OpenGuard,
) -> Result<Call, Response<ResponseBody>> {
    let received = shared.now();
    let (head, body) = request.into_parts();
    let declaration = shared.declaration();
    let Ok(info) = shared.dialect.request_info(&head) else {
        let (cause, problem) = match declaration {
            Some(_) => (Refusal::Malformed, Problem::Malformed),
            None => (Refusal::NoDeclaration, Problem::NotRun(NOT_READY_RETRY_AFTER)),
        };
        shared.meters.refusal(cause);
        return Err(refuse(shared, problem));
    };
    let trace = Trace::begin(shared, &info.id, received);
    let Some(declaration) = declaration else {
        trace.refused(Refusal::NoDeclaration, BODY_TIMEOUT, Some(NOT_READY_RETRY_AFTER));
        return Err(fail(shared, &trace, Problem::NotRun(NOT_READY_RETRY_AFTER)));
    };
    let found = find_route(shared, &declaration, &info, body).await;
    let (route, service, body) = found.map_err(|problem| fail(shared, &trace, problem))?;
    let fingerprint = hash(&(&info.host, &info.path, &body));
    let buffered = BufferedRequest {
        info,
        ticket: shared.next_ticket(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    let destination = (route, service);
    let call = Call::new(shared, buffered, destination, fingerprint, received, open, trace);
    call.trace_arrival(declaration.version);
    Ok(call)
}

/// Returns the route of a request, the service that it goes to, and its body.
async fn find_route(
    shared: &Shared,
    declaration: &Declaration,
    info: &RequestInfo,
    body: Incoming,
) -> Result<(Route, service::Id, Bytes), Problem> {
    let route = shared.dispatcher().route(&info.host, &info.path).cloned();
    let route = route.ok_or(Problem::NoRoute)?;
    let body = collect(declaration, body).await?;
    let service = dispatch::split(&route, hash(&info.id)).cloned().ok_or(Problem::NoRoute)?;
    Ok((route, service, body))
}

/// Ends a request with this host's own response.
fn fail(shared: &Shared, trace: &Trace, problem: Problem) -> Response<ResponseBody> {
    let response = refuse(shared, problem);
    trace.failed(problem, response.status());
    response
}

/// Hashes a value, with the same result on every host.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

async fn collect(declaration: &Declaration, body: Incoming) -> Result<Bytes, Problem> {
    let max_bytes = usize::try_from(declaration.limits.body_bytes).unwrap_or(usize::MAX);
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, max_bytes).collect()).await;
    let collected = collected.map_err(|_| Problem::Malformed)?;
    let body = collected.map_err(|error| {
        if error.is::<LengthLimitError>() { Problem::TooLarge } else { Problem::Malformed }
    })?;
    Ok(body.to_bytes())
}

async fn serve(shared: &Arc<Shared>, call: &Arc<Call>) -> Response<ResponseBody> {
    shared.record_request(call);
    let ended = select! {
        biased;
        ended = attempts(shared, call) => ended,
        () = Deadline::at(shared, call.deadline()) => Err(call.timed_out()),
    };
    match ended {
        Ok(response) => {
            match response.body() {
                ResponseBody::Complete(_) => call.trace.completed(Some(response.status())),
                // The end of the stream is traced when its last event has been delivered.
                ResponseBody::Events(_) => call.trace.stream_started(response.status()),
            }
            response
        }
        Err(problem) => fail(shared, &call.trace, problem),
    }
}

async fn attempts(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Problem> {
    let mut server = call.first_server(shared).await?;
    let mut error_response = None;
    loop {
        let failure = match attempt(shared, call, &server).await {
            Ok(response) if !response.status().is_server_error() => return Ok(response),
            Ok(response) => {
                call.trace.attempt_ended(AttemptEnd::ServerError, Some(response.status()));
                error_response = Some(response);
                AttemptFailure::Failed(AttemptEnd::ServerError)
            }
            Err(ended) => ended,
        };
        server = match call.server_after(shared, failure).await {
            Ok(server) => server,
            // The server's own error response is more specific than this host's.
            Err(problem) => return error_response.ok_or(problem),
        };
    }
}

/// Sends a request to a server and delivers the response. An attempt is abandoned before the server
/// has responded only if the request may be executed again.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    server: &Arc<Server>,
) -> Result<Response<ResponseBody>, AttemptFailure> {
    let answer = async {
        let start = call.send(shared, server, None).await?;
        deliver(shared, call, start).await
    };
    if !call.may_repeat() {
        return answer.await.map_err(AttemptFailure::Failed);
    }
    let silence_timeout = match call.route.kind {
        Kind::Idempotent | Kind::NonIdempotent => {
            attempt_timeout::response(call.route.goal, call.time_left(shared))
        }
        Kind::Stream => attempt_timeout::first_event(call.route.goal),
    };
    call.attempt(silence_timeout, answer).await
}

async fn deliver(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    start: ResponseStart,
) -> Result<Response<ResponseBody>, AttemptEnd> {
    let ResponseStart { mut head, mut response } = start;
    fields::strip(&mut head.headers);
    if call.route.kind == Kind::Stream && head.status.is_success() {
        head.headers.remove(header::CONTENT_LENGTH);
        let body = ResponseBody::Events(Box::new(events(shared, call, response)));
        return Ok(Response::from_parts(head, body));
    }
    call.trace.response_started(Some(head.status));
    let body = Limited::new(&mut response.body, MAX_BUFFERED_BODY_BYTES).collect().await;
    let body = body.map_err(|_| AttemptEnd::Unclear(Unclear::Cut))?.to_bytes();
    response.finish();
    if !head.status.is_server_error() {
        call.handle.end(AttemptEnd::Completed);
    }
    if call.request.method != Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Ok(Response::from_parts(head, ResponseBody::complete(body)))
}

fn events(shared: &Arc<Shared>, call: &Arc<Call>, response: OpenResponse) -> Events {
    let end = Deadline::at(shared, call.deadline());
    let after = call.request.info.resume;
    if !call.may_repeat() {
        return Events::new(
            response,
            after,
            ResumePolicy::Never,
            StreamTimer::until_end(end),
            call.clone(),
        );
    }
    let resumer = Resumer { shared: shared.clone(), call: call.clone() };
    let first = response.attempt.started_at + resumer.first_event_timeout();
    let timer = StreamTimer::with_timeouts(end, first, attempt_timeout::next_event(call.route.gap));
    let resume = ResumePolicy::OtherServer(resumer, call.handle.leave_signal());
    Events::new(response, after, resume, timer, call.clone())
}
