//! The way of a request: read, find its route, choose a server, send, deliver.

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
    attempt::{Begun, Failed, Held, Link},
    call::{Again, Call, Ended},
    edge::{Problem, RequestInfo},
    fields,
    host::{Entered, Shared},
    limit::Limit,
    stream::{Delivery, Events, Resume, Watch},
    trace::Trace,
};

/// When to come back to a host that has no declaration yet.
const COME_BACK: Duration = Duration::from_millis(300);

/// Longest wait for a request's body.
const BODY: Duration = Duration::from_secs(10);

/// Largest answer that is held whole before it is delivered, in bytes.
const WHOLE: usize = 1024 * 1024;

/// Answers a request of a caller.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Delivery> {
    let entered = shared.enter();
    let mut response = match read(&shared, request, entered).await {
        Ok(call) => serve(&shared, &Arc::new(call)).await,
        Err(refused) => refused,
    };
    if shared.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn refuse(shared: &Shared, problem: Problem) -> Response<Delivery> {
    shared.dialect.refuse(problem).map(Delivery::whole)
}

/// Reads a request and finds its route.
///
/// # Errors
///
/// The answer to one that goes no further.
async fn read(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    entered: Entered,
) -> Result<Call, Response<Delivery>> {
    let received = shared.now();
    let (head, body) = request.into_parts();
    let declaration = shared.declaration();
    let Ok(ask) = shared.dialect.request_info(&head) else {
        let (cause, problem) = match declaration {
            Some(_) => (Refusal::Malformed, Problem::Malformed),
            None => (Refusal::NoDeclaration, Problem::NotRun(COME_BACK)),
        };
        shared.meters.refusal(cause);
        return Err(refuse(shared, problem));
    };
    let trace = Trace::begin(shared, &ask.id, received);
    let Some(declaration) = declaration else {
        trace.refused(Refusal::NoDeclaration, BODY, Some(COME_BACK));
        return Err(fail(shared, &trace, Problem::NotRun(COME_BACK)));
    };
    let found = find(shared, &declaration, &ask, body).await;
    let (route, service, body) = found.map_err(|problem| fail(shared, &trace, problem))?;
    let fingerprint = hash(&(&ask.host, &ask.path, &body));
    let held = Held {
        ask,
        ticket: shared.ticket(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    let way = (route, service);
    let call = Call::new(shared, held, way, fingerprint, received, entered, trace);
    call.arrived(declaration.version);
    Ok(call)
}

/// The route of a request, the service that it goes to, and its body.
async fn find(
    shared: &Shared,
    declaration: &Declaration,
    ask: &RequestInfo,
    body: Incoming,
) -> Result<(Route, service::Id, Bytes), Problem> {
    let route = shared.dispatcher().route(&ask.host, &ask.path).cloned();
    let route = route.ok_or(Problem::NoRoute)?;
    let body = collect(declaration, body).await?;
    let service = dispatch::split(&route, hash(&ask.id)).cloned().ok_or(Problem::NoRoute)?;
    Ok((route, service, body))
}

/// Ends a request with an answer of our own.
fn fail(shared: &Shared, trace: &Trace, problem: Problem) -> Response<Delivery> {
    let response = refuse(shared, problem);
    trace.failed(problem, response.status());
    response
}

/// The same on every host.
fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

async fn collect(declaration: &Declaration, body: Incoming) -> Result<Bytes, Problem> {
    let most = usize::try_from(declaration.limits.body_bytes).unwrap_or(usize::MAX);
    let collected = timeout(BODY, Limited::new(body, most).collect()).await;
    let collected = collected.map_err(|_| Problem::Malformed)?;
    let body = collected.map_err(|error| {
        if error.is::<LengthLimitError>() { Problem::TooLarge } else { Problem::Malformed }
    })?;
    Ok(body.to_bytes())
}

async fn serve(shared: &Arc<Shared>, call: &Arc<Call>) -> Response<Delivery> {
    shared.arrived(call);
    let ended = select! {
        biased;
        ended = attempts(shared, call) => ended,
        () = Limit::at(shared, call.end()) => Err(call.timed_out()),
    };
    match ended {
        Ok(response) => {
            match response.body() {
                Delivery::Whole(_) => call.trace.answered(Some(response.status())),
                // Its events tell of their end.
                Delivery::Events(_) => call.trace.began(response.status()),
            }
            response
        }
        Err(problem) => fail(shared, &call.trace, problem),
    }
}

async fn attempts(shared: &Arc<Shared>, call: &Arc<Call>) -> Result<Response<Delivery>, Problem> {
    let mut server = call.first(shared).await?;
    let mut failure = None;
    loop {
        let end = match attempt(shared, call, &server).await {
            Ok(response) if !response.status().is_server_error() => return Ok(response),
            Ok(response) => {
                call.trace.attempt_ended(Failed::ServerError, Some(response.status()));
                failure = Some(response);
                Ended::Failed(Failed::ServerError)
            }
            Err(ended) => ended,
        };
        server = match call.after(shared, end).await {
            Ok(server) => server,
            // A server's own failure says more than ours.
            Err(problem) => return failure.ok_or(problem),
        };
    }
}

/// Sends a request to a server and has its answer delivered. A server is left early only if the
/// request may run again.
async fn attempt(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    server: &Arc<Server>,
) -> Result<Response<Delivery>, Ended> {
    let answer = async {
        let begun = call.send(shared, server, None).await?;
        deliver(shared, call, begun).await
    };
    if !call.may_repeat() {
        return answer.await.map_err(Ended::Failed);
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
    begun: Begun,
) -> Result<Response<Delivery>, Failed> {
    let Begun { mut head, mut link } = begun;
    fields::strip(&mut head.headers);
    if call.route.kind == Kind::Stream && head.status.is_success() {
        head.headers.remove(header::CONTENT_LENGTH);
        let body = Delivery::Events(Box::new(events(shared, call, link)));
        return Ok(Response::from_parts(head, body));
    }
    call.trace.first(Some(head.status));
    let body = Limited::new(&mut link.body, WHOLE).collect().await;
    let body = body.map_err(|_| Failed::Unclear(Unclear::Cut))?.to_bytes();
    link.finish();
    if !head.status.is_server_error() {
        call.account.end(Failed::Completed);
    }
    if call.held.method != Method::HEAD {
        head.headers.remove(header::CONTENT_LENGTH);
    }
    Ok(Response::from_parts(head, Delivery::whole(body)))
}

fn events(shared: &Arc<Shared>, call: &Arc<Call>, link: Link) -> Events {
    let end = Limit::at(shared, call.end());
    let after = call.held.ask.resume;
    if !call.may_repeat() {
        return Events::new(link, after, Resume::Never, Watch::until(end), call.clone());
    }
    let again = Again { shared: shared.clone(), call: call.clone() };
    let first = link.flight.began + again.first();
    let watch = Watch::pauses(end, first, attempt_timeout::next_event(call.route.gap));
    let resume = Resume::At(again, call.account.leave());
    Events::new(link, after, resume, watch, call.clone())
}
