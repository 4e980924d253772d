//! One attempt to get a response from a server.

use std::{io, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, Version, header, response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use policy::{
    customer,
    dispatch::{NotRun, Ticket, Unclear, Unreachable},
    event::Splitter,
    paths::Path,
};
use tokio::{task::yield_now, time::Instant};
use types::{host, routed::Server, time::Moment};

use crate::{
    body,
    call::Call,
    callers::Closer,
    connect::{Connection, WriteGuard},
    edge::{Answer, Departure, Execution, ForwardOptions, RequestInfo, Seal},
    fields,
    host::Shared,
    paths,
    stream::StreamError,
};

/// A caller's request, buffered completely so that it can be sent again.
pub(crate) struct BufferedRequest {
    pub(crate) info: RequestInfo,
    pub(crate) ticket: Ticket,
    /// Closes the caller's connection.
    pub(crate) closer: Closer,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// How an attempt ended.
pub(crate) type AttemptEnd = policy::dispatch::End;

/// A response whose head has arrived.
pub(crate) struct ResponseStart {
    pub(crate) head: response::Parts,
    pub(crate) response: OpenResponse,
}

/// A response whose body is still to be read, with its connection.
pub(crate) struct OpenResponse {
    pub(crate) body: Incoming,
    /// The beginning of the body, which was received ahead of the rest.
    pub(crate) first: Option<Bytes>,
    pub(crate) end: BodyEnd,
    /// Time after which the server closes the connection if it is idle.
    pub(crate) keep_alive: Option<Duration>,
    pub(crate) attempt: Attempt,
}

impl BodyEnd {
    /// Returns how an attempt ended whose body was received up to its end.
    pub(crate) fn attempt_end(self) -> AttemptEnd {
        match self {
            BodyEnd::Framed => AttemptEnd::Completed,
            BodyEnd::Close => AttemptEnd::Closed,
        }
    }
}

impl OpenResponse {
    /// Receives the body of a stream up to the first event after the event `after`, or to its end.
    ///
    /// # Errors
    ///
    /// The connection failed, or was closed where the body has no other end, or what was received is
    /// no event.
    pub(crate) async fn receive_event(&mut self, after: Option<u64>) -> Result<(), AttemptEnd> {
        let mut splitter = Splitter::new(after);
        let mut received = BytesMut::new();
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| AttemptEnd::Unclear(body::failure(&error)))?;
            let Ok(data) = frame.into_data() else { continue };
            let output = splitter.take(data.clone());
            if output.has_event && received.is_empty() {
                self.first = Some(data);
                return Ok(());
            }
            received.extend_from_slice(&data);
            if output.has_event {
                self.first = Some(received.freeze());
                return Ok(());
            }
            if let Some(fault) = output.fault {
                return Err(StreamError::Fault(fault).attempt_end());
            }
        }
        self.first = (!received.is_empty()).then(|| received.freeze());
        match self.end {
            BodyEnd::Framed => Ok(()),
            BodyEnd::Close => Err(AttemptEnd::Unclear(Unclear::Cut)),
        }
    }

    /// Ends the attempt after the body was received completely.
    pub(crate) fn finish(self) {
        self.attempt.finish(self.keep_alive);
    }
}

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The framing: a length or chunks.
    Framed,
    /// The end of the connection, which looks the same as a failure.
    Close,
}

/// Whether a connection may be used for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reuse {
    Allowed,
    Never,
}

/// An attempt in flight, with its connection to the server.
pub(crate) struct Attempt {
    shared: Arc<Shared>,
    pub(crate) ticket: Ticket,
    pub(crate) server: Arc<Server>,
    pub(crate) started_at: Instant,
    connection: Option<Connection>,
    reuse: Reuse,
}

impl Attempt {
    fn new(shared: Arc<Shared>, ticket: Ticket, server: Arc<Server>) -> Attempt {
        Attempt {
            shared,
            ticket,
            server,
            started_at: Instant::now(),
            connection: None,
            reuse: Reuse::Never,
        }
    }

    /// Returns the connection to the pool after a complete response, if it may be reused.
    fn finish(mut self, keep_alive: Option<Duration>) {
        let connection =
            self.connection.take().inspect(|connection| connection.set_reset_on_close(false));
        // Once the server is reached directly again, connections through other hosts are not kept.
        let path = self.shared.paths().path(&self.server.id);
        let is_kept = |connection: &Connection| {
            self.reuse == Reuse::Allowed
                && (connection.gateway().is_none() || path == Path::Relayed)
        };
        if let Some(connection) = connection.filter(is_kept) {
            let now = self.shared.now();
            let server = &self.server;
            self.shared.pool.put(now, &server.id, server.address, connection, keep_alive);
        }
    }
}

/// A request that may be sent on a connection to its server.
pub(crate) struct Prepared {
    attempt: Attempt,
    connection: Connection,
    caller: customer::Caller,
}

/// Takes or opens a connection to a server, without sending anything of the request.
///
/// # Errors
///
/// There is no connection, or the request may no longer be sent.
pub(crate) async fn prepare(
    shared: &Arc<Shared>,
    ticket: Ticket,
    server: &Arc<Server>,
    call: &Call,
) -> Result<Prepared, AttemptEnd> {
    let attempt = Attempt::new(shared.clone(), ticket, server.clone());
    let connection = match idle_connection(shared, server).await {
        Some(connection) => connection,
        None => paths::open(shared, server).await.map_err(|error| unreachable(&error))?,
    };
    call.trace.connected(ticket, attempt.started_at.elapsed(), connection.gateway());
    // The server may have started to drain or to back off, and the request may have become poison,
    // while the connection was established.
    if !shared.dispatcher().may_send(ticket, shared.now()) {
        return Err(AttemptEnd::Unreachable(Unreachable::Closed));
    }
    // The caller's key may have been removed or moved to another customer since the server was
    // chosen.
    let Some(caller) = call.renew_caller(shared) else {
        return Err(AttemptEnd::Unreachable(Unreachable::Closed));
    };
    Ok(Prepared { attempt, connection, caller })
}

/// Sends a request to a server and waits for the head of the response.
///
/// # Errors
///
/// The attempt failed; the value states whether the request may have been executed.
pub(crate) async fn begin(
    shared: &Arc<Shared>,
    prepared: Prepared,
    call: &Call,
    after: Option<u64>,
) -> Result<ResponseStart, AttemptEnd> {
    let Prepared { mut attempt, mut connection, caller } = prepared;
    let ticket = attempt.ticket;
    let server = attempt.server.clone();
    let buffered = &call.request;
    let path = connection.path();
    let sent_at = shared.now();
    shared.dispatcher().sent(ticket, path, sent_at);
    // Taken here, as connecting may take most of a second.
    let left = call.time_left(shared);
    let options = call.forward_options(&server, &caller, left, after);
    let request = request(shared, buffered, &options);
    connection.set_reset_on_close(true);
    let guard = Arc::new(write_guard(shared, ticket, call.deadline()));
    connection.set_write_guard(Some(guard.clone()));
    let sent = connection.send(request).await;
    connection.set_write_guard(None);
    let response = sent.map_err(|mut error| match error.take_message() {
        _ if guard.is_unsent() => AttemptEnd::Unreachable(Unreachable::Closed),
        // A pooled connection had been closed before a byte of the request was sent.
        Some(_) => AttemptEnd::Unreachable(Unreachable::Closed),
        None if connection.is_head_endless() => AttemptEnd::Unclear(Unclear::Endless),
        None if error.error().is_parse_too_large() => AttemptEnd::Unclear(Unclear::Endless),
        None if error.error().is_parse() => AttemptEnd::Unclear(Unclear::Garbled),
        None => AttemptEnd::Unclear(Unclear::Cut),
    })?;
    let (head, body) = response.into_parts();
    if path == Path::Direct {
        shared.paths().responded(&server.id, &server.service, shared.now());
    }
    attempt.reuse = reuse(&head, &connection);
    attempt.connection = Some(connection);
    let answer = shared.dialect.answer(head.status, &head.headers);
    if let Some(load) = answer.load {
        shared.dispatcher().server_load(&server.id, load, shared.now());
    }
    let validated = validate(&buffered.info, &server, &head, &answer);
    // A server that garbles its answers still counts its requests against the limit that it states.
    if validated != Err(AttemptEnd::NotRun(NotRun::Instance)) {
        shared.observe_limit(&server.id, answer.limit, sent_at);
    }
    // A rejection counts without a seal, and whether or not it states that the request did not run.
    if let Some(back_off) = answer.back_off.filter(|_| names_request(&buffered.info, &answer)) {
        shared.dispatcher().back_off(&server.id, back_off, shared.now());
    }
    if is_genuine(&validated) {
        shared.dispatcher().response_started(ticket, shared.now());
        shared.observe_tolerance(&server.id, answer.tolerance);
        // A rejection may name no request, and then anything may have sent it.
        if answer.departure == Departure::Leaving && names_request(&buffered.info, &answer) {
            shared.server_leaves(&server.id);
        }
    }
    validated?;
    let end = body_end(&head.headers, &body);
    let keep_alive = answer.keep_alive;
    Ok(ResponseStart {
        head,
        response: OpenResponse { body, first: None, end, keep_alive, attempt },
    })
}

/// Permits the first write of a request while its deadline is ahead and its server may get requests.
///
/// The task that drives the connection may run long after the request was handed to it.
fn write_guard(shared: &Arc<Shared>, ticket: Ticket, deadline: Moment) -> WriteGuard {
    let shared = shared.clone();
    WriteGuard::before_first_byte(move || {
        let now = shared.now();
        now < deadline
            && shared.dispatcher().may_send(ticket, now)
            && !shared.are_servers_outdated()
    })
}

/// Returns a pooled connection that shows no sign of being closed.
async fn idle_connection(shared: &Shared, server: &Server) -> Option<Connection> {
    let is_usable = |gateway: &host::Id| shared.paths().is_usable(gateway);
    while let Some(connection) =
        shared.pool.take(shared.now(), &server.id, server.address, is_usable)
    {
        // Lets the connection's task first read what arrived while the connection was idle: an end
        // of the stream, or bytes that belong to no request.
        yield_now().await;
        if connection.sender.is_ready() {
            return Some(connection);
        }
    }
    None
}

/// Returns whether the connection may be used for another request after this response.
fn reuse(head: &response::Parts, connection: &Connection) -> Reuse {
    let closes = fields::names(&head.headers, &header::CONNECTION)
        .any(|token| token.eq_ignore_ascii_case("close"));
    // The response arrived before the request was sent completely: the remaining bytes would delay
    // the next request.
    if closes || head.version != Version::HTTP_11 || !connection.is_flushed() {
        return Reuse::Never;
    }
    Reuse::Allowed
}

fn body_end(headers: &HeaderMap, body: &Incoming) -> BodyEnd {
    let is_framed = body.is_end_stream()
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if is_framed { BodyEnd::Framed } else { BodyEnd::Close }
}

fn unreachable(error: &io::Error) -> AttemptEnd {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
            AttemptEnd::Unreachable(Unreachable::Refused)
        }
        _ => AttemptEnd::Unreachable(Unreachable::Timeout),
    }
}

/// Checks that a response is a final one, that it belongs to this request, that the server itself
/// made it, and that it does not state that the request was not executed.
fn validate(
    info: &RequestInfo,
    server: &Server,
    head: &response::Parts,
    answer: &Answer,
) -> Result<(), AttemptEnd> {
    const GARBLED: AttemptEnd = AttemptEnd::Unclear(Unclear::Garbled);
    // Checked before the marks, which are not believed beside such a status.
    if !is_final(head.status) {
        return Err(GARBLED);
    }
    match (&answer.id, answer.execution) {
        (Some(id), _) if *id != info.id => return Err(GARBLED),
        (_, Execution::NotRun) => {
            return Err(AttemptEnd::NotRun(not_run(server, head.status, answer)));
        }
        (None, Execution::Unstated) => return Err(GARBLED),
        (Some(_), Execution::Unstated) => {}
    }
    let must_be_sealed = head.status.is_success() || head.status == StatusCode::NOT_MODIFIED;
    let is_unsealed = must_be_sealed && answer.seal == Seal::Missing;
    // No encoding was requested, so a server's own response has none.
    let is_encoded = head.headers.contains_key(header::CONTENT_ENCODING);
    if is_unsealed || is_encoded || implies_not_run(head.status) {
        return Err(GARBLED);
    }
    Ok(())
}

/// Returns whether HTTP defines a class of final responses for a status. The HTTP client accepts
/// statuses up to 999.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether a response states that it answers this request.
fn names_request(info: &RequestInfo, answer: &Answer) -> bool {
    answer.id.as_ref() == Some(&info.id)
}

/// Returns whether the server itself made the response to this request, by the result of
/// [`validate`].
fn is_genuine(validated: &Result<(), AttemptEnd>) -> bool {
    matches!(validated, Ok(()) | Err(AttemptEnd::NotRun(NotRun::Full | NotRun::NotHeld)))
}

/// Returns why a server did not execute a request, for a response that states so.
fn not_run(server: &Server, status: StatusCode, answer: &Answer) -> NotRun {
    if status != StatusCode::MISDIRECTED_REQUEST {
        return NotRun::Full;
    }
    match &answer.instance {
        Some(instance) if *instance != server.name => NotRun::Instance,
        Some(_) | None => NotRun::NotHeld,
    }
}

/// Returns whether callers take a status to mean that the request was not executed. A server that
/// did not execute it states so by more than the status.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn request(
    shared: &Shared,
    buffered: &BufferedRequest,
    options: &ForwardOptions<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(buffered.body.clone()));
    *request.method_mut() = buffered.method.clone();
    *request.uri_mut() = buffered.uri.clone();
    let headers = request.headers_mut();
    *headers = buffered.headers.clone();
    fields::strip(headers);
    headers.remove(header::CONTENT_LENGTH);
    if !buffered.body.is_empty() || buffered.headers.contains_key(header::CONTENT_LENGTH) {
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(buffered.body.len()));
    }
    shared.dialect.forward_headers(headers, options);
    request
}
