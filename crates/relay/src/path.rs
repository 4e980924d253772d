//! The path of a request: the host reads it, finds its route, chooses a server, sends it there and
//! delivers the response.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header, request::Parts, response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use observe::metrics::routed::Refusal;
use policy::{
    attempt_timeout,
    dispatch::{
        self, Ticket, Unclear,
        poison::fingerprint::{Content, Fingerprint},
    },
};
use tokio::{select, time::timeout};
use types::{
    backend,
    routed::{Declaration, Kind, Route},
    service,
    time::Moment,
};

use crate::{
    attempt::{AttemptEnd, BodyEnd, BufferedRequest, OpenResponse, ResponseStart},
    call::{Call, Resumer},
    caller::Caller,
    callers::Closer,
    customers,
    deadline::Deadline,
    edge::{Problem, RequestInfo},
    fields,
    host::{OpenGuard, Shared},
    race::{self, Failure, Lost},
    stream::{Events, ResponseBody, ResumePolicy, StreamTimer},
    trace::Trace,
};

/// Time after which callers may retry at a host that has no declaration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Timeout for receiving a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles a caller's request, which arrived at `received`.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    received: Moment,
) -> Response<ResponseBody> {
    let open = shared.open_request();
    let mut response = match read_request(&shared, request, received, open).await {
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
    received: Moment,
    open: OpenGuard,
) -> Result<Call, Response<ResponseBody>> {
    let read_at = shared.now();
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
    let Some(mut declaration) = declaration else {
        trace.refused(Refusal::NoDeclaration, BODY_TIMEOUT, Some(NOT_READY_RETRY_AFTER));
        return Err(fail(shared, &trace, Problem::NotRun(NOT_READY_RETRY_AFTER)));
    };
    let mut destination = find_destination(shared, &info);
    if destination.as_ref().is_err_and(|problem| problem.depends_on_declaration()) {
        // The request may have arrived later than it is dated, under a later declaration.
        if !shared.confirm_for(read_at).await {
            trace.refused(Refusal::Unconfirmed, BODY_TIMEOUT, Some(NOT_READY_RETRY_AFTER));
            return Err(fail(shared, &trace, Problem::NotRun(NOT_READY_RETRY_AFTER)));
        }
        destination = find_destination(shared, &info);
        declaration = shared.declaration().unwrap_or(declaration);
    }
    let destination = destination.map_err(|problem| fail(shared, &trace, problem))?;
    let body = collect(&declaration, body).await;
    let body = body.map_err(|problem| fail(shared, &trace, problem))?;
    let Destination { route, service, caller } = destination;
    let fingerprint = fingerprint(&head, &info, &caller, &body);
    let buffered = BufferedRequest {
        info,
        ticket: shared.next_ticket(),
        closer: head.extensions.get::<Closer>().cloned().unwrap_or_default(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    let destination = (route, service, caller);
    let call = Call::new(shared, buffered, destination, fingerprint, received, open, trace);
    call.trace_arrival(declaration.version);
    Ok(call)
}

/// Returns the digest by which the request is known at every host.
fn fingerprint(head: &Parts, info: &RequestInfo, caller: &Caller, body: &Bytes) -> Fingerprint {
    let current = caller.current();
    let target = head.uri.path_and_query().map_or(&*info.path, |target| target.as_str());
    let caller = caller.named(&current);
    Content { host: &info.host, method: head.method.as_str(), target, caller, body }.fingerprint()
}

/// Where a request goes, and on whose behalf.
struct Destination {
    route: Route,
    service: service::Id,
    caller: Caller,
}

/// Finds the route of a request and identifies its caller.
fn find_destination(shared: &Shared, info: &RequestInfo) -> Result<Destination, Problem> {
    let route = shared.dispatcher().route(&info.host, &info.path).cloned();
    let route = route.ok_or(Problem::NoRoute)?;
    let caller = Caller::identify(shared, &route, info.credential)?;
    // All attempts of a stream go to the service that began it.
    let id = info.resume.and(info.resumes.as_ref()).unwrap_or(&info.id);
    let service = dispatch::split(&route, hash(id)).cloned().ok_or(Problem::NoRoute)?;
    Ok(Destination { route, service, caller })
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
    let ended = select! {
        biased;
        ended = attempts(shared, call) => ended,
        () = Deadline::at(shared, call.deadline()) => Err(call.timed_out()),
        () = call.clone().revoked_strictly() => Err(call.end_revoked()),
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

/// A server's response, as far as it is received before it is delivered.
enum Reply {
    Complete(response::Parts, Bytes, BodyEnd),
    Stream(ResponseStart),
}

async fn attempts(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
) -> Result<Response<ResponseBody>, Problem> {
    customers::admit(shared, call).await?;
    shared.record_request(call);
    let server = call.first_server(shared).await?;
    let first = (call.request.ticket, server);
    let patience = || patience(shared, call);
    let begin = async |ticket, server: backend::Id| attempt(shared, call, ticket, &server).await;
    let next = async |ticket, end, status| call.next_server(shared, ticket, end, status).await;
    let reply = race::run(call, first, patience, begin, next).await;
    match reply {
        Ok(reply) => Ok(deliver(shared, call, reply)),
        Err(Lost::Ended(problem)) => Err(problem),
        // Only attempts that this race has started are in flight.
        Err(Lost::InFlight) => Err(Problem::Unclear),
    }
}

/// Returns the time for which a server may be silent before the request is sent to another one as
/// well.
fn patience(shared: &Shared, call: &Call) -> Duration {
    match call.route.kind {
        Kind::Idempotent | Kind::NonIdempotent => {
            attempt_timeout::response(call.route.goal, call.time_left(shared))
        }
        Kind::Stream => attempt_timeout::first_event(call.route.goal),
    }
}

/// Sends a request to a server and receives the response, of a stream only the head and the first
/// event: a caller that has the head can't be refused any more.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Call,
    ticket: Ticket,
    server: &backend::Id,
) -> Result<Reply, Failure<Reply>> {
    let mut start = call.send(shared, ticket, server, None).await?;
    let status = start.head.status;
    if call.route.kind == Kind::Stream && status.is_success() {
        start.response.receive_event(call.request.info.resume).await?;
        return Ok(Reply::Stream(start));
    }
    let ResponseStart { head, mut response } = start;
    call.trace.response_started(Some(status));
    let body = shared.large_bodies.receive(&call.service, &mut response.body).await;
    let body = body.map_err(AttemptEnd::Unclear)?;
    let end = response.end;
    // A server that fails may also close the connection before the body.
    if end == BodyEnd::Close && body.is_empty() {
        return Err(AttemptEnd::Unclear(Unclear::Cut).into());
    }
    response.finish();
    let reply = Reply::Complete(head, body, end);
    if status.is_server_error() {
        return Err(Failure { end: AttemptEnd::ServerError, answer: Some((status, reply)) });
    }
    Ok(reply)
}

fn deliver(shared: &Arc<Shared>, call: &Arc<Call>, reply: Reply) -> Response<ResponseBody> {
    match reply {
        Reply::Stream(ResponseStart { mut head, response }) => {
            fields::strip(&mut head.headers);
            head.headers.remove(header::CONTENT_LENGTH);
            let body = ResponseBody::Events(Box::new(events(shared, call, response)));
            Response::from_parts(head, body)
        }
        Reply::Complete(mut head, body, end) => {
            fields::strip(&mut head.headers);
            if !head.status.is_server_error() {
                call.handle.end(end.attempt_end());
            }
            if call.request.method != Method::HEAD {
                head.headers.remove(header::CONTENT_LENGTH);
            }
            Response::from_parts(head, ResponseBody::complete(body))
        }
    }
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
    let signal = call.handle.hedge_signal(response.attempt.ticket);
    Events::new(response, after, ResumePolicy::OtherServer(resumer, signal), timer, call.clone())
}
