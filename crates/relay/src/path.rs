//! The path of a request: read it, find its route, choose a server, send it, deliver the response.

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
    stream::{Delivery, Events, Resume, StreamTimer},
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
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Delivery> {
    let open = shared.open_request();
    let mut response = match read(&shared, request, open).await {
        Ok(call) => serve(&shared, &Arc::new(call)).await,
        Err(refused) => refused,
    };
    if shared.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(shared: &Shared, problem: Problem) -> Response<Delivery> {
    shared.dialect.refuse(problem).map(Delivery::complete)
}

/// Reads a request and finds its route.
///
/// # Errors
///
/// The response to a request that is not forwarded.
async fn read(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    open: OpenGuard,
) -> Result<Call, Response<Delivery>> {
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
    let found = find(shared, &declaration, &info, body).await;
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
    let way = (route, service);
    let call = Call::new(shared, buffered, way, fingerprint, received, open, trace);
    call.trace_arrival(declaration.version);
    Ok(call)
}

/// Returns the route of a request, the service that it goes to, and its body.
async fn find(
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
fn fail(shared: &Shared, trace: &Trace, problem: Problem) -> Response<Delivery> {
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
    let most = usize::try_from(declaration.limits.body_bytes).unwrap_or(usize::MAX);
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, most).collect()).await;
    let collected = collected.map_err(|_| Problem::Malformed)?;
    let body = collected.map_err(|error| {
        if error.is::<LengthLimitError>() { Problem::TooLarge } else { Problem::Malformed }
    })?;
    Ok(body.to_bytes())
}

async fn serve(shared: &Arc<Shared>, call: &Arc<Call>) -> Response<Delivery> {
    shared.record_request(call);
    let ended = select! {
        biased;
        ended = attempts(shared, call) => ended,
        () = Deadline::at(shared, call.end()) => Err(call.timed_out()),
    };
    match ended {
        Ok(response) => {
            match response.body() {
                Delivery::Complete(_) => call.trace.answered(Some(response.status())),
                // The end of the stream is traced when its last event has been delivered.
                Delivery::Events(_) => call.trace.began(response.status()),
            }
            response
        }
        Err(problem) => fail(shared, &call.trace, problem),
    }
}

async fn attempts(shared: &Arc<Shared>, call: &Arc<Call>) -> Result<Response<Delivery>, Problem> {
    let mut server = call.first_server(shared).await?;
    let mut failure = None;
    loop {
        let end = match attempt(shared, call, &server).await {
            Ok(response) if !response.status().is_server_error() => return Ok(response),
            Ok(response) => {
                call.trace.attempt_ended(AttemptEnd::ServerError, Some(response.status()));
                failure = Some(response);
                AttemptFailure::Failed(AttemptEnd::ServerError)
            }
            Err(ended) => ended,
        };
        server = match call.server_after(shared, end).await {
            Ok(server) => server,
            // The server's own error response is more specific than this host's.
            Err(problem) => return failure.ok_or(problem),
        };
    }
}

/// Sends a request to a server and delivers the response. A server is left before it has responded
/// only if the request may be executed again.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    server: &Arc<Server>,
) -> Result<Response<Delivery>, AttemptFailure> {
    let answer = async {
        let begun = call.send(shared, server, None).await?;
        deliver(shared, call, begun).await
    };
    if !call.may_repeat() {
        return answer.await.map_err(AttemptFailure::Failed);
    }
    let patience = match call.route.kind {
        Kind::Idempotent | Kind::NonIdempotent => {
            attempt_timeout::response(call.route.goal, call.left(shared))
        }
        Kind::Stream => attempt_timeout::first_event(call.route.goal),
    };
    call.attempt(patience, answer).await
}

async fn deliver(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    begun: ResponseStart,
) -> Result<Response<Delivery>, AttemptEnd> {
    let ResponseStart { mut head, mut response } = begun;
    fields::strip(&mut head.headers);
    if call.route.kind == Kind::Stream && head.status.is_success() {
        head.headers.remove(header::CONTENT_LENGTH);
        let body = Delivery::Events(Box::new(events(shared, call, response)));
        return Ok(Response::from_parts(head, body));
    }
    call.trace.first(Some(head.status));
    let body = Limited::new(&mut response.body, MAX_BUFFERED_BODY_BYTES).collect().await;
    let body = body.map_err(|_| AttemptEnd::Unclear(Unclear::Cut))?.to_bytes();
    response.finish();
    if !head.status.is_server_error() {
        call.handle.end(AttemptEnd::Completed);
    }
    if call.request.method != Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Ok(Response::from_parts(head, Delivery::complete(body)))
}

fn events(shared: &Arc<Shared>, call: &Arc<Call>, response: OpenResponse) -> Events {
    let end = Deadline::at(shared, call.end());
    let after = call.request.info.resume;
    if !call.may_repeat() {
        return Events::new(
            response,
            after,
            Resume::Never,
            StreamTimer::until_end(end),
            call.clone(),
        );
    }
    let resumer = Resumer { shared: shared.clone(), call: call.clone() };
    let first = response.flight.began + resumer.first_event_timeout();
    let timer = StreamTimer::with_timeouts(end, first, attempt_timeout::next_event(call.route.gap));
    let resume = Resume::OtherServer(resumer, call.handle.leave_signal());
    Events::new(response, after, resume, timer, call.clone())
}
