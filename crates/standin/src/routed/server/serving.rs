//! The way of a request through a server.

use std::{io, sync::Arc};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request::Parts};
use platform::remote::server::{self as remote, Call, Health, IncomingRequest};
use relay::edge::OrderStatus;
use tokio::time::{Instant, sleep};
use types::routed::{Report, State};

use super::{Arrival, Ending, Fault, OrderFault, Run, Shared, work::Work};
use crate::routed::{lock, wire::Connection};

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum After {
    Keep,
    Close,
    Reset,
}

/// An answer of another request that is due on the connection.
pub(super) type Stale = Option<Vec<u8>>;

pub(super) async fn serve(shared: Arc<Shared>, mut connection: Connection) {
    *lock(&shared.connections) += 1;
    let mut stale = None;
    loop {
        let request = match shared.settings.idle {
            Some(idle) => tokio::time::timeout(idle, connection.read()).await,
            None => Ok(connection.read().await),
        };
        let Ok(Ok(Some(request))) = request else { return };
        let after = answer(&shared, &mut connection, request, &mut stale).await;
        match after.unwrap_or(After::Close) {
            After::Keep => {}
            After::Close => return,
            After::Reset => return connection.reset(),
        }
    }
}

async fn answer(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    request: Request<Bytes>,
    stale: &mut Stale,
) -> io::Result<After> {
    let (head, body) = request.into_parts();
    note_arrival(shared, &head, &body);
    let expected = remote::expected(&head.headers);
    if expected.is_some_and(|expected| *expected != *shared.settings.id) {
        return not_run(shared, connection, &head, StatusCode::MISDIRECTED_REQUEST).await;
    }
    match remote::call(&head, &body) {
        Call::Report => {
            let lag = lock(&shared.script).lag;
            let report = shared.stock().report(shared.load(), lag);
            let report = Report { started_at: shared.settings.born, ..report };
            connection.write(&remote::report(&report)).await.map(|()| After::Keep)
        }
        Call::Order(None) => {
            let answer = remote::ordered(OrderStatus::Invalid, shared.settings.born);
            connection.write(&answer).await.map(|()| After::Keep)
        }
        Call::Order(Some(order)) => ordered(shared, connection, order).await,
        Call::Request(_) if head.uri.path() == &*shared.settings.health => {
            let is_ready = shared.registered.borrow().state == State::Ready;
            let health = if is_ready { Health::Healthy } else { Health::Unhealthy };
            let mut response = remote::health(&shared.settings.id, health);
            remote::load(response.headers_mut(), shared.load());
            connection.write(&response).await.map(|()| After::Keep)
        }
        Call::Request(asked) => requested(shared, connection, *asked, head, body, stale).await,
    }
}

fn note_arrival(shared: &Shared, head: &Parts, body: &[u8]) {
    if head.uri.path() != &*shared.settings.health
        && let Call::Request(asked) = remote::call(head, body)
        && let Some(id) = asked.id
    {
        lock(&shared.arrivals).push(Arrival { id, at: Instant::now() });
    }
}

async fn ordered(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    order: remote::Order,
) -> io::Result<After> {
    let (came, fault) = (Instant::now(), lock(&shared.script).orders.pop_front());
    if let Some(OrderFault::Late(late)) = fault {
        let shared = shared.clone();
        tokio::spawn(async move {
            sleep(late).await;
            carry_out(&shared, &order, came);
        });
        connection.closed().await;
        return Ok(After::Close);
    }
    let outcome = carry_out(shared, &order, came);
    if fault == Some(OrderFault::Lost) {
        return Ok(After::Close);
    }
    let answer = remote::ordered(outcome, shared.settings.born);
    connection.write(&answer).await.map(|()| After::Keep)
}

fn carry_out(shared: &Arc<Shared>, order: &remote::Order, came: Instant) -> OrderStatus {
    let (outcome, coming) = shared.stock().order(order, came);
    shared.register();
    if shared.stock().overload.is_some() {
        shared.crash();
    }
    if let Some(coming) = coming {
        let (shared, load) = (shared.clone(), lock(&shared.script).load);
        tokio::spawn(async move {
            sleep(load).await;
            shared.stock().finish(&coming);
            shared.register();
        });
    }
    outcome
}

/// Answers a request that does not run.
async fn not_run(
    shared: &Shared,
    connection: &mut Connection,
    head: &Parts,
    status: StatusCode,
) -> io::Result<After> {
    let mut response = Response::new(Bytes::from_static(b"{\"error\":\"not run\"}"));
    *response.status_mut() = status;
    remote::not_run(response.headers_mut());
    remote::load(response.headers_mut(), shared.load());
    shared.name_limit(response.headers_mut());
    if let Call::Request(asked) = remote::call(head, &[])
        && let Some(id) = &asked.id
    {
        remote::echo(response.headers_mut(), id);
    }
    connection.write(&response).await.map(|()| After::Keep)
}

/// A place among those that run, or that wait to.
struct Place<'a> {
    shared: &'a Shared,
    runs: bool,
}

impl<'a> Place<'a> {
    /// Takes a place, or none if the server is full.
    fn take(shared: &'a Shared) -> Option<Place<'a>> {
        let settings = &shared.settings;
        let is_taken = shared.load.send_if_modified(|load| {
            let is_free = load.running < settings.slots || load.waiting < settings.queue;
            load.waiting += u32::from(is_free);
            is_free
        });
        is_taken.then(|| Place { shared, runs: false })
    }

    /// Waits for a slot.
    async fn run(&mut self) {
        let mut changes = self.shared.load.subscribe();
        while !self.runs {
            self.runs = self.shared.load.send_if_modified(|load| {
                let is_free = load.running < self.shared.settings.slots;
                load.running += u32::from(is_free);
                load.waiting -= u32::from(is_free);
                is_free
            });
            if !self.runs {
                let _ = changes.changed().await;
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.shared.load.send_modify(|load| match self.runs {
            true => load.running -= 1,
            false => load.waiting -= 1,
        });
    }
}

async fn requested(
    shared: &Arc<Shared>,
    connection: &mut Connection,
    asked: IncomingRequest,
    head: Parts,
    body: Bytes,
    stale: &mut Stale,
) -> io::Result<After> {
    let came = Instant::now();
    let Some(id) = asked.id.clone() else {
        return not_run(shared, connection, &head, StatusCode::BAD_REQUEST).await;
    };
    lock(&shared.quota).came(&id, came.duration_since(shared.began));
    if shared.stock().expects(asked.model.as_ref(), asked.adapter.as_ref()) {
        return not_run(shared, connection, &head, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    if !shared.stock().has(asked.model.as_ref(), asked.adapter.as_ref()) {
        return not_run(shared, connection, &head, StatusCode::MISDIRECTED_REQUEST).await;
    }
    let fault = lock(&shared.script).fault();
    if let Some(Fault::NotRun(status)) = fault {
        return not_run(shared, connection, &head, status).await;
    }
    let Some(mut place) = Place::take(shared) else {
        return not_run(shared, connection, &head, StatusCode::SERVICE_UNAVAILABLE).await;
    };
    tokio::select! {
        () = place.run() => {}
        () = connection.closed() => return Ok(After::Close),
    }
    if let Some(stale) = stale.take() {
        connection.write_raw(&stale).await?;
    }
    let run = begin(shared, asked, head, body, Met { came, fault });
    let work = Work { shared, run, id, fault, connection };
    let (ending, after) = work.answer(stale).await;
    finish(shared, run, ending);
    Ok(after)
}

/// What a request met before it ran.
struct Met {
    came: Instant,
    fault: Option<Fault>,
}

fn begin(shared: &Shared, asked: IncomingRequest, head: Parts, body: Bytes, met: Met) -> usize {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str()).to_owned();
    let (method, headers) = (head.method, head.headers);
    let began = Instant::now();
    let mut runs = lock(&shared.runs);
    let (Met { came, fault }, ending, ended) = (met, None, None);
    runs.push(Run { asked, method, path, headers, body, came, began, fault, ending, ended });
    runs.len() - 1
}

fn finish(shared: &Shared, run: usize, ending: Ending) {
    lock(&shared.runs)[run].end(ending);
}
